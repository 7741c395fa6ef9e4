// Bound values of a prepared statement, and what becomes of them where an engine takes only text.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bellstair::sql {

struct Null {
  bool operator==(const Null&) const = default;
};
struct Bytes {  // no text: written in hex where it has to be a literal
  std::string bytes;
  bool operator==(const Bytes&) const = default;
};
using Value = std::variant<Null, std::int64_t, std::uint64_t, double, std::string, Bytes>;

// As the core carries them: opaque, and none is not the same as no statement with parameters.
[[nodiscard]] std::string pack(const std::vector<Value>& values);
[[nodiscard]] std::optional<std::vector<Value>> unpack(std::string_view packed);

// The statement with its values as literals; none if their number does not fit.
[[nodiscard]] std::optional<std::string> with_literals(std::string_view statement,
                                                       const std::vector<Value>& values);

// A value as text, as for an id or a number in a mapping. None for NULL.
[[nodiscard]] std::optional<std::string> as_text(const Value& value);

}  // namespace bellstair::sql
