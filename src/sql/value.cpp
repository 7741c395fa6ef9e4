#include "sql/value.hpp"

#include <array>
#include <charconv>
#include <cstring>

#include "sql/statement.hpp"

namespace bellstair::sql {
namespace {

constexpr const char* kHexDigits = "0123456789abcdef";

template <class T>
void put(std::string& out, const T& value) {
  std::array<char, sizeof(T)> raw{};
  std::memcpy(raw.data(), &value, sizeof(T));
  out.append(raw.data(), raw.size());
}

// Reads the output of pack(). Returns nullopt if bytes are missing or invalid.
class Unpacker {
 public:
  explicit Unpacker(std::string_view in) : in_(in) {}
  template <class T>
  std::optional<T> take() {
    if (in_.size() < sizeof(T)) return std::nullopt;
    T value{};
    std::memcpy(&value, in_.data(), sizeof(T));
    in_.remove_prefix(sizeof(T));
    return value;
  }
  std::optional<std::string> take_text() {
    const auto size = take<std::uint64_t>();
    if (!size || *size > in_.size()) return std::nullopt;
    std::string out(in_.substr(0, *size));
    in_.remove_prefix(*size);
    return out;
  }
  std::optional<Value> take_value() {
    const auto index = take<char>();
    if (!index) return std::nullopt;
    switch (*index) {  // of the type in Value
      case 0:
        return Null{};
      case 1:
        return as_value(take<std::int64_t>());
      case 2:
        return as_value(take<std::uint64_t>());
      case 3:
        return as_value(take<double>());
      case 4:
        return as_value(take_text());
      case 5: {
        auto bytes = take_text();
        return bytes ? std::optional<Value>(Bytes{std::move(*bytes)}) : std::nullopt;
      }
      default:
        return std::nullopt;
    }
  }
  [[nodiscard]] bool empty() const { return in_.empty(); }

 private:
  template <class T>
  static std::optional<Value> as_value(std::optional<T> taken) {
    if (!taken) return std::nullopt;
    return Value(std::move(*taken));
  }

  std::string_view in_;
};

std::string number(double value) {
  std::array<char, 40> buffer{};
  const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
  return error == std::errc() ? std::string(buffer.data(), end) : "NULL";
}

std::string quoted(std::string_view text) {
  std::string out = "'";
  for (const char c : text) {
    if (c == '\'' || c == '\\') out += c;
    if (c == '\0') {
      out += "\\0";
    } else {
      out += c;
    }
  }
  return out + "'";
}

std::string hex(std::string_view bytes) {
  std::string out = "x'";
  for (const char c : bytes) {
    out += kHexDigits[static_cast<unsigned char>(c) >> 4];
    out += kHexDigits[static_cast<unsigned char>(c) & 15];
  }
  return out + "'";
}

struct Literal {
  std::string operator()(const Null&) const { return "NULL"; }
  std::string operator()(std::int64_t value) const { return std::to_string(value); }
  std::string operator()(std::uint64_t value) const { return std::to_string(value); }
  std::string operator()(double value) const { return number(value); }
  std::string operator()(const std::string& value) const { return quoted(value); }
  std::string operator()(const Bytes& value) const { return hex(value.bytes); }
};

}  // namespace

std::string pack(const std::vector<Value>& values) {
  std::string out;
  put(out, static_cast<std::uint32_t>(values.size()));
  for (const auto& value : values) {
    out.push_back(static_cast<char>(value.index()));
    if (const auto* i = std::get_if<std::int64_t>(&value)) put(out, *i);
    if (const auto* u = std::get_if<std::uint64_t>(&value)) put(out, *u);
    if (const auto* d = std::get_if<double>(&value)) put(out, *d);
    const auto* text = std::get_if<std::string>(&value);
    if (const auto* bytes = std::get_if<Bytes>(&value)) text = &bytes->bytes;
    if (text != nullptr) {
      put(out, static_cast<std::uint64_t>(text->size()));
      out.append(*text);
    }
  }
  return out;
}

std::optional<std::vector<Value>> unpack(std::string_view packed) {
  Unpacker in(packed);
  const auto count = in.take<std::uint32_t>();
  if (!count) return std::nullopt;
  std::vector<Value> values;
  for (std::uint32_t i = 0; i < *count; ++i) {
    auto value = in.take_value();
    if (!value) return std::nullopt;
    values.push_back(std::move(*value));
  }
  return in.empty() ? std::optional(std::move(values)) : std::nullopt;
}

std::optional<std::string> with_literals(std::string_view statement, const std::vector<Value>& values) {
  const auto positions = placeholders(statement);
  if (positions.size() != values.size()) return std::nullopt;
  std::string out;
  std::size_t copied = 0;
  for (std::size_t i = 0; i < positions.size(); ++i) {
    out.append(statement.substr(copied, positions[i] - copied));
    out.append(std::visit(Literal{}, values[i]));
    copied = positions[i] + 1;
  }
  return out.append(statement.substr(copied));
}

std::optional<std::string> as_text(const Value& value) {
  if (std::holds_alternative<Null>(value)) return std::nullopt;
  if (const auto* text = std::get_if<std::string>(&value)) return *text;
  if (const auto* bytes = std::get_if<Bytes>(&value)) return bytes->bytes;
  return std::visit(Literal{}, value);
}

}  // namespace bellstair::sql
