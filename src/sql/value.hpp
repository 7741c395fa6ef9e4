// The bound values of a prepared statement, and their conversion to text for engines that accept only text.
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
struct Bytes {  // binary data; written in hex as a literal
  std::string bytes;
  bool operator==(const Bytes&) const = default;
};
using Value = std::variant<Null, std::int64_t, std::uint64_t, double, std::string, Bytes>;

// The opaque form in which the core carries the values. pack() never returns an empty text, since that stands
// for a statement without parameters.
[[nodiscard]] std::string pack(const std::vector<Value>& values);
[[nodiscard]] std::optional<std::vector<Value>> unpack(std::string_view packed);

// The statement with its placeholders replaced by the values as literals. nullopt: their numbers differ.
[[nodiscard]] std::optional<std::string> with_literals(std::string_view statement,
                                                       const std::vector<Value>& values);

// A value as unquoted text, e.g. for a key or a number. nullopt for NULL.
[[nodiscard]] std::optional<std::string> as_text(const Value& value);

}  // namespace bellstair::sql
