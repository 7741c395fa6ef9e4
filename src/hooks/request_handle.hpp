// The `request` object of scripts: reads fields of a request, or of its outcome, when they are asked for.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <lua.hpp>

#include "hooks/spec.hpp"

namespace bellstair::hooks {

// Fields of the tables that scripts read and return; the order is that of kFieldNames.
enum class Field : std::uint8_t {
  request_class,
  tenant,
  front,
  statement,
  statement_size,
  limit,
  group,
  cpu,
  ram,
  second,
  tags,
  kind,
  duration,
  attempts,
  later,
  refuse,
  unknown
};
inline constexpr auto kFieldCount = static_cast<std::size_t>(Field::unknown);
inline constexpr std::array<const char*, kFieldCount> kFieldNames{
    "class", "tenant", "front", "statement", "statement_size", "limit",    "group", "cpu",
    "ram",   "second", "tags",  "kind",      "duration",       "attempts", "later", "refuse"};

// References into the Lua registry. The names are interned once, so that to read a decision allocates
// nothing.
struct RequestHandleRefs {
  int metatable = LUA_NOREF;
  std::array<int, kFieldCount> field_names{};
};

// The userdata behind the object. A script may keep it for longer than the call lasts; `request` is then null
// and every access an error.
struct RequestHandle {
  const RequestView* request;
  Phase phase;
};

// Makes the metatable and interns the names. Raises Lua errors.
[[nodiscard]] RequestHandleRefs register_request_view(lua_State* lua);
// Leaves a new view on the stack. `request` outlives it or is reset before. Raises Lua errors.
[[nodiscard]] RequestHandle* push_request_view(lua_State* lua, const RequestHandleRefs& refs,
                                               const RequestView& request, Phase phase);

}  // namespace bellstair::hooks
