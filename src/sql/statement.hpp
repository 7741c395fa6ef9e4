// Scans a SQL statement for what the broker needs: its data group, its placeholders and its first word.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bellstair::sql {

// The data group of the tables that a statement reads or writes: 17 for `sales_17.orders`. Ignores names in
// strings and comments, and the schema `staging`. 0: no table with a group is named.
[[nodiscard]] std::int64_t table_group(std::string_view statement);

// The positions of the `?` placeholders. Ignores question marks in strings, names and comments.
[[nodiscard]] std::vector<std::size_t> placeholders(std::string_view statement);

// The first word in lower case, which identifies the kind of statement: "select" for `(SELECT 1)`.
[[nodiscard]] std::string first_word(std::string_view statement);

}  // namespace bellstair::sql
