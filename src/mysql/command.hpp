// Reads and writes commands of the MySQL client/server protocol: queries, and the preparation and execution
// of statements. The read functions throw MalformedPacket.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mysql/protocol.hpp"
#include "sql/value.hpp"

namespace bellstair::mysql {

inline constexpr std::size_t kMaxParameters = 4096;  // of a statement, its attributes included

struct Attribute {
  std::string name;
  sql::Value value;
};
struct ParameterTypes {  // a client may omit them after a statement's first execute
  std::vector<std::uint16_t> types;
};
struct Execute {
  std::uint32_t statement = 0;
  std::vector<sql::Value> values;
  std::vector<Attribute> attributes;
};
// `types`: the types of the statement's previous execute, which are replaced if the payload contains types.
// `with_attributes`: whether the connection supports query attributes.
[[nodiscard]] Execute read_execute(std::string_view payload, std::size_t parameters, bool with_attributes,
                                   ParameterTypes& types);
[[nodiscard]] std::uint32_t read_statement_id(std::string_view payload);  // of any command on a statement
[[nodiscard]] std::string write_execute(const Execute& execute, bool with_attributes);

struct Query {
  std::string text;
  std::vector<Attribute> attributes;
};
[[nodiscard]] Query read_query(std::string_view payload, bool with_attributes);
[[nodiscard]] std::string write_query(const Query& query, bool with_attributes);

struct Prepared {
  std::uint32_t statement = 0;
  std::uint16_t columns = 0, parameters = 0;
};
[[nodiscard]] std::string write_prepared(const Prepared& prepared);
[[nodiscard]] Prepared read_prepared(std::string_view payload);

}  // namespace bellstair::mysql
