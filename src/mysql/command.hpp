// Commands of the MySQL client/server protocol: queries, and the preparing and executing of statements.
// Readers throw MalformedPacket.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mysql/protocol.hpp"
#include "sql/value.hpp"

namespace bellstair::mysql {

struct Attribute {
  std::string name;
  sql::Value value;
};
struct ParameterTypes {  // a client sends them with the first execute only
  std::vector<std::uint16_t> types;
};
struct Execute {
  std::uint32_t statement = 0;
  std::vector<sql::Value> values;
  std::vector<Attribute> attributes;
};
// `types`: as an earlier execute of the statement left them. `attributes`: whether the capability is on.
[[nodiscard]] Execute read_execute(std::string_view payload, std::size_t parameters, bool attributes,
                                   ParameterTypes& types);
[[nodiscard]] std::uint32_t execute_statement(std::string_view payload);  // its id alone
[[nodiscard]] std::string write_execute(const Execute& execute, bool attributes);

struct Query {
  std::string text;
  std::vector<Attribute> attributes;
};
[[nodiscard]] Query read_query(std::string_view payload, bool attributes);
[[nodiscard]] std::string write_query(const Query& query, bool attributes);

struct Prepared {
  std::uint32_t statement = 0;
  std::uint16_t columns = 0, parameters = 0;
};
[[nodiscard]] std::string write_prepared(const Prepared& prepared);
[[nodiscard]] Prepared read_prepared(std::string_view payload);

}  // namespace bellstair::mysql
