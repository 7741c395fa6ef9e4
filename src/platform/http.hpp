// The client side of HTTP/1.1, based on http-parser. Pure: formats requests and parses responses, without
// I/O.
#pragma once

#include <http_parser.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bellstair::platform {

struct HttpResponse {
  unsigned status = 0;
  std::map<std::string, std::string, std::less<>> headers;  // names in lower case
  std::string body;
  // What the connection held behind the message, which its framing doesn't account for; its first bytes.
  std::string excess;
  bool keep_alive = true;
  [[nodiscard]] std::string_view header(std::string_view lower_case_name) const;
  // The value of a header that is a decimal number; none if it is missing or not a number.
  [[nodiscard]] std::optional<double> number(std::string_view lower_case_name) const;
};

using HttpHeaders = std::vector<std::pair<std::string_view, std::string>>;

// Header values must not contain line breaks.
[[nodiscard]] std::string format_request(std::string_view method, std::string_view path,
                                         std::string_view host, const HttpHeaders& headers,
                                         std::string_view body);

// Parses the response to one request at a time.
class HttpReader {
 public:
  static constexpr std::size_t kMaxHeaderBytes = std::size_t{16} * 1024;

  explicit HttpReader(std::size_t max_body) : max_body_(max_body) { begin_response(); }
  void begin_response();  // discards the state of the last one
  // Returns false if the bytes are not a valid HTTP response or the response is too large. A response that is
  // followed by more bytes is complete, but its `keep_alive` is false and `excess` holds these bytes.
  [[nodiscard]] bool feed(std::string_view bytes);
  // To be called when the connection has ended. Returns true if that completes the response.
  [[nodiscard]] bool finish();
  [[nodiscard]] bool complete() const { return complete_; }
  [[nodiscard]] bool begun() const { return begun_; }
  [[nodiscard]] std::size_t memory() const { return response_.body.capacity() + header_bytes_; }  // bytes
  [[nodiscard]] HttpResponse take() { return std::move(response_); }

 private:
  static const http_parser_settings& callbacks();
  http_parser parser_{};
  HttpResponse response_;
  std::string field_, value_;
  bool in_value_ = false, complete_ = false, begun_ = false;
  std::size_t header_bytes_ = 0, max_body_;
  void store_header();
  bool count_header_bytes(std::size_t bytes);  // false: above kMaxHeaderBytes
};

// Parses "pending:7;x1:0.61" into values by name. Ignores malformed entries.
[[nodiscard]] std::map<std::string, double, std::less<>> parse_load_report(std::string_view text);

}  // namespace bellstair::platform
