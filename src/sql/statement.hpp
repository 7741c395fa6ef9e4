// As much of SQL as a front needs to know of a statement.
#pragma once

#include <cstdint>
#include <string_view>

namespace bellstair::sql {

// The group of tables that a statement reads or writes: 17 for `sales_17.orders`. Names in strings and
// comments do not count, nor does the schema `staging`. 0: none is named.
[[nodiscard]] std::int64_t table_group(std::string_view statement);

}  // namespace bellstair::sql
