#include "hooks/lua_store_api.hpp"

#include <string>
#include <string_view>

#include "hooks/script_context.hpp"
#include "hooks/store.hpp"

namespace bellstair::hooks {
namespace {

Store& store_of(lua_State* lua) {
  auto* store = ScriptContext::of(lua).store;
  if (store == nullptr) luaL_error(lua, "the state can't be used while the script is being loaded");
  return *store;
}

std::string_view key_argument(lua_State* lua) {
  const auto key = text_argument(lua, 1);
  if (key.empty() || key.size() > Store::kMaxKeyBytes)
    luaL_error(lua, "a key of the state must have 1 to %d bytes", static_cast<int>(Store::kMaxKeyBytes));
  return key;
}

Time ttl_argument(lua_State* lua, int index) {
  const double seconds = luaL_checknumber(lua, index);
  const double limit = std::chrono::duration<double>(Store::kMaxTtl).count();
  if (!(seconds > 0 && seconds <= limit))
    luaL_error(lua, "the time to live must be more than 0 and at most %f seconds", limit);
  return Time(static_cast<std::int64_t>(seconds * 1e9));
}

int state_get(lua_State* lua) {
  const auto* item = store_of(lua).get(ScriptContext::of(lua).now, key_argument(lua));
  if (item == nullptr) return 0;
  if (const auto* number = std::get_if<double>(item)) {
    push_number(lua, *number);
  } else {
    push_text(lua, std::get<std::string>(*item));
  }
  return 1;
}

int state_set(lua_State* lua) {
  auto& store = store_of(lua);
  const auto now = ScriptContext::of(lua).now;
  const auto key = key_argument(lua);
  const auto ttl = ttl_argument(lua, 3);
  bool stored = false;
  if (lua_type(lua, 2) == LUA_TNUMBER) {
    stored = store.set(now, key, lua_tonumber(lua, 2), ttl);
  } else {
    const auto text = text_argument(lua, 2);
    if (text.size() > Store::kMaxValueBytes)
      return luaL_error(lua, "a value of the state must have at most %d bytes",
                        static_cast<int>(Store::kMaxValueBytes));
    stored = store.set(now, key, std::string(text), ttl);
  }
  return stored ? 0 : luaL_error(lua, "the state is full");
}

int state_incr(lua_State* lua) {
  auto& store = store_of(lua);
  const auto now = ScriptContext::of(lua).now;
  const auto sum = store.incr(now, key_argument(lua), luaL_optnumber(lua, 3, 1), ttl_argument(lua, 2));
  if (!sum) return luaL_error(lua, "the state is full, or the value is a text");
  push_number(lua, *sum);
  return 1;
}

int state_delete(lua_State* lua) {
  store_of(lua).erase(key_argument(lua));
  return 0;
}

}  // namespace

void register_store_api(lua_State* lua) {
  lua_createtable(lua, 0, 4);
  for (const auto& [name, function] :
       {luaL_Reg{"get", state_get}, {"set", state_set}, {"incr", state_incr}, {"delete", state_delete}}) {
    lua_pushcfunction(lua, function);
    lua_setfield(lua, -2, name);
  }
  lua_setglobal(lua, "state");
}

}  // namespace bellstair::hooks
