// The global table `state` of scripts, which stores values of a hook between calls. Times to live are in
// seconds.
//   state.get(key), state.set(key, value, ttl), state.incr(key, ttl [, by]), state.delete(key)
#pragma once

#include <lua.hpp>

namespace bellstair::hooks {

// Raises Lua errors.
void register_store_api(lua_State* lua);

}  // namespace bellstair::hooks
