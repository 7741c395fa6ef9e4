// HTTP/1.1 as a client speaks it, on http-parser. Pure: bytes in, answers out.
#pragma once

#include <http_parser.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bellstair::platform {

struct HttpAnswer {
  unsigned status = 0;
  std::map<std::string, std::string, std::less<>> headers;  // names in lower case
  std::string body;
  bool keep_alive = true;
  [[nodiscard]] std::string_view header(std::string_view lower_case_name) const;
  // A header that holds a plain decimal number.
  [[nodiscard]] std::optional<double> number(std::string_view lower_case_name) const;
};

using HttpHeaders = std::vector<std::pair<std::string_view, std::string>>;

// Header values must be free of line ends; the callers see to it.
[[nodiscard]] std::string http_call(std::string_view method, std::string_view path, std::string_view host,
                                    const HttpHeaders& headers, std::string_view body);

// Reads the answer to one call at a time.
class HttpReader {
 public:
  static constexpr std::size_t kMaxHeaderBytes = std::size_t{16} * 1024;

  explicit HttpReader(std::size_t most_body) : most_body_(most_body) { expect(); }
  void expect();  // a new answer
  // False: what came is no HTTP, or too large. An answer with more behind it is good, its connection of no
  // more use.
  [[nodiscard]] bool feed(std::string_view bytes);
  // The connection's end; true if that completes the answer.
  [[nodiscard]] bool finish();
  [[nodiscard]] bool complete() const { return complete_; }
  [[nodiscard]] bool begun() const { return begun_; }
  [[nodiscard]] HttpAnswer take() { return std::move(answer_); }

 private:
  static const http_parser_settings& callbacks();
  http_parser parser_{};
  HttpAnswer answer_;
  std::string field_, value_;
  bool in_value_ = false, complete_ = false, begun_ = false;
  std::size_t header_bytes_ = 0, most_body_;
  void keep_header();
  bool count(std::size_t bytes);
};

// "pending:7;x1:0.61" -> values by name; what is malformed is left out.
[[nodiscard]] std::map<std::string, double, std::less<>> parse_meter(std::string_view text);

}  // namespace bellstair::platform
