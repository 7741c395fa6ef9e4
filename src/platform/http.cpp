#include "platform/http.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace bellstair::platform {
namespace {
std::optional<double> parse_number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
    return std::nullopt;
  return value;
}
}  // namespace

std::string_view HttpResponse::header(std::string_view name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

std::optional<double> HttpResponse::number(std::string_view name) const { return parse_number(header(name)); }

std::string format_request(std::string_view method, std::string_view path, std::string_view host,
                           const HttpHeaders& headers, std::string_view body) {
  std::string out;
  out.reserve(256 + body.size());
  out.append(method).append(" ").append(path).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n");
  for (const auto& [name, value] : headers) out.append(name).append(": ").append(value).append("\r\n");
  if (!body.empty() || method == "POST" || method == "PUT")
    out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  return out.append("\r\n").append(body);
}

const http_parser_settings& HttpReader::callbacks() {
  static const http_parser_settings reader_callbacks = [] {
    http_parser_settings settings{};
    const auto find_reader = [](http_parser* parser) -> HttpReader& {
      return *static_cast<HttpReader*>(parser->data);
    };
    static const auto reader_of = find_reader;
    settings.on_header_field = [](http_parser* parser, const char* at, std::size_t size) {
      auto& reader = reader_of(parser);
      if (reader.in_value_) reader.store_header();
      reader.field_.append(at, size);
      return reader.count_header_bytes(size) ? 0 : 1;
    };
    settings.on_header_value = [](http_parser* parser, const char* at, std::size_t size) {
      auto& reader = reader_of(parser);
      reader.in_value_ = true;
      reader.value_.append(at, size);
      return reader.count_header_bytes(size) ? 0 : 1;
    };
    settings.on_headers_complete = [](http_parser* parser) {
      auto& reader = reader_of(parser);
      reader.store_header();
      reader.response_.status = parser->status_code;
      // A response is rejected before its body is read if its Content-Length is above the limit.
      const bool has_length = (parser->flags & F_CONTENTLENGTH) != 0;
      return has_length && parser->content_length > reader.max_body_ ? -1 : 0;
    };
    settings.on_body = [](http_parser* parser, const char* at, std::size_t size) {
      auto& reader = reader_of(parser);
      if (reader.response_.body.size() + size > reader.max_body_) return 1;
      reader.response_.body.append(at, size);
      return 0;
    };
    settings.on_message_complete = [](http_parser* parser) {
      auto& reader = reader_of(parser);
      reader.complete_ = true;
      reader.response_.keep_alive = http_should_keep_alive(parser) != 0;
      http_parser_pause(parser, 1);
      return 0;
    };
    return settings;
  }();
  return reader_callbacks;
}

void HttpReader::begin_response() {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  response_ = {};
  field_.clear();
  value_.clear();
  in_value_ = complete_ = begun_ = false;
  header_bytes_ = 0;
}

bool HttpReader::feed(std::string_view bytes) {
  if (complete_) return false;
  begun_ = begun_ || !bytes.empty();
  parser_.data = this;
  const auto used = http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
  if (complete_ && response_.status < 200 && response_.status != 101) {
    // An interim response (1xx): the final one follows. The headers of all of them count together, so that
    // their number is limited.
    const auto header_bytes = header_bytes_ + used;
    begin_response();
    begun_ = true;
    header_bytes_ = header_bytes;
    return header_bytes <= kMaxHeaderBytes && (used == bytes.size() || feed(bytes.substr(used)));
  }
  if (complete_) {
    if (used < bytes.size()) {
      response_.keep_alive = false;
      response_.excess = bytes.substr(used);
    }
    return true;
  }
  return HTTP_PARSER_ERRNO(&parser_) == HPE_OK && used == bytes.size();
}

bool HttpReader::finish() {
  if (complete_ || !begun_) return false;
  parser_.data = this;
  http_parser_execute(&parser_, &callbacks(), nullptr, 0);
  return complete_;
}

void HttpReader::store_header() {
  if (field_.empty()) return;
  std::ranges::transform(field_, field_.begin(), [](unsigned char c) { return std::tolower(c); });
  response_.headers[field_] = value_;
  field_.clear();
  value_.clear();
  in_value_ = false;
}

bool HttpReader::count_header_bytes(std::size_t bytes) { return (header_bytes_ += bytes) <= kMaxHeaderBytes; }

std::map<std::string, double, std::less<>> parse_load_report(std::string_view text) {
  std::map<std::string, double, std::less<>> out;
  while (!text.empty()) {
    const auto end = std::min(text.find(';'), text.size());
    const auto part = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    const auto colon = part.find(':');
    if (colon == std::string_view::npos) continue;
    if (const auto value = parse_number(part.substr(colon + 1)))
      out.insert_or_assign(std::string(part.substr(0, colon)), *value);
  }
  return out;
}

}  // namespace bellstair::platform
