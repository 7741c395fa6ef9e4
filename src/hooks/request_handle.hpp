// The `request` object of scripts, which reads fields of a request or of its outcome on access.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <lua.hpp>

#include "hooks/spec.hpp"

namespace bellstair::hooks {

// Fields of the tables that scripts read and return, in the order of kFieldNames.
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

// References into the Lua registry. The field names are interned once, so that reading a decision allocates
// nothing.
struct RequestHandleRefs {
  int metatable = LUA_NOREF;
  std::array<int, kFieldCount> field_names{};
};

// The userdata of the object. A script may hold it for longer than the call lasts; `request` is then null,
// and every access raises an error.
struct RequestHandle {
  const RequestView* request;
  Phase phase;
};

// Creates the metatable and interns the field names. Raises Lua errors.
[[nodiscard]] RequestHandleRefs register_request_handle(lua_State* lua);
// Pushes a new handle onto the stack. `request` must outlive the handle, or the handle's pointer must be
// reset first. Raises Lua errors.
[[nodiscard]] RequestHandle* push_request_handle(lua_State* lua, const RequestHandleRefs& refs,
                                                 const RequestView& request, Phase phase);

}  // namespace bellstair::hooks
