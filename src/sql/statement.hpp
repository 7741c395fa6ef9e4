// As much of SQL as a front needs to know of a statement.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bellstair::sql {

// The group of tables that a statement reads or writes: 17 for `sales_17.orders`. Names in strings and
// comments do not count, nor does the schema `staging`. 0: none is named.
[[nodiscard]] std::int64_t table_group(std::string_view statement);

// Where the question marks stand that bind values: not those in texts, names and comments.
[[nodiscard]] std::vector<std::size_t> placeholders(std::string_view statement);

// "select" for `(SELECT 1)`: what kind of statement it is, in lower case.
[[nodiscard]] std::string first_word(std::string_view statement);

}  // namespace bellstair::sql
