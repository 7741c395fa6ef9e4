// Reads the table that a script returns from on_request.
#pragma once

#include <lua.hpp>
#include <string>

#include "hooks/request_handle.hpp"
#include "hooks/spec.hpp"

namespace bellstair::hooks {

// Reads the value on top of the stack, which needs three free slots. Allocates no Lua memory and raises no
// errors. Returns a description of the last invalid field, or an empty string if the value is valid.
[[nodiscard]] std::string read_decision(lua_State* lua, const RequestHandleRefs& refs,
                                        HookDecision& decision);

}  // namespace bellstair::hooks
