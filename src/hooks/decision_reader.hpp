// Reads the table that a script returns from on_request.
#pragma once

#include <lua.hpp>
#include <string>

#include "hooks/request_handle.hpp"
#include "hooks/spec.hpp"

namespace bellstair::hooks {

// Reads the value on top of the stack, which needs three free places. Allocates no memory of Lua and raises
// no errors. Returns what is wrong with the value, the last such thing; empty if nothing is.
[[nodiscard]] std::string read_decision(lua_State* lua, const RequestHandleRefs& refs,
                                        HookDecision& decision);

}  // namespace bellstair::hooks
