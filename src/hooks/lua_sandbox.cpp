#include "hooks/lua_sandbox.hpp"

#include <algorithm>
#include <initializer_list>
#include <string_view>

#include "hooks/chain.hpp"
#include "hooks/lua_prelude.hpp"
#include "hooks/lua_store_api.hpp"
#include "hooks/request_handle.hpp"
#include "hooks/script_context.hpp"

namespace bellstair::hooks {
namespace {

// Limit in bytes for all texts that one call of a C function processes, since it cannot be preempted.
constexpr std::size_t kMaxTextBytes = std::size_t{64} * 1024;
constexpr int kMaxUnpackedValues = 200;

// Calls the library function in the upvalue, unless the texts among its arguments are too long in total.
int call_bounded(lua_State* lua) {
  std::size_t sum = 0;
  const int count = lua_gettop(lua);
  for (int i = 1; i <= count; ++i) {
    if (lua_type(lua, i) == LUA_TSTRING) sum += lua_rawlen(lua, i);
  }
  if (sum > kMaxTextBytes)
    return luaL_error(lua, "the texts among the arguments are longer than %d bytes in total",
                      static_cast<int>(kMaxTextBytes));
  lua_pushvalue(lua, lua_upvalueindex(1));
  lua_insert(lua, 1);
  lua_call(lua, count, LUA_MULTRET);
  return lua_gettop(lua);
}

// string.rep(text, times, separator)
int string_rep(lua_State* lua) {
  std::size_t size = 0, separator_size = 0;
  luaL_checklstring(lua, 1, &size);
  const auto times = luaL_checkinteger(lua, 2);
  luaL_optlstring(lua, 3, "", &separator_size);
  const auto limit = static_cast<lua_Integer>(kMaxTextBytes);
  if (times > limit || (times > 0 && times * static_cast<lua_Integer>(size + separator_size) > limit))
    return luaL_error(lua, "the text would be longer than %d bytes", static_cast<int>(kMaxTextBytes));
  return call_bounded(lua);
}

// table.unpack(list, first, last)
int table_unpack(lua_State* lua) {
  const auto first = luaL_optinteger(lua, 2, 1);
  const auto last = luaL_opt(lua, luaL_checkinteger, 3, luaL_len(lua, 1));
  if (last >= first &&
      static_cast<lua_Unsigned>(last) - static_cast<lua_Unsigned>(first) >= kMaxUnpackedValues)
    return luaL_error(lua, "too many values to unpack: at most %d", kMaxUnpackedValues);
  return call_bounded(lua);
}

// string.contains(text, part)
int string_contains(lua_State* lua) {
  lua_pushboolean(lua, contains(text_argument(lua, 1), text_argument(lua, 2)) ? 1 : 0);
  return 1;
}

// string.starts(text, prefix)
int string_starts(lua_State* lua) {
  lua_pushboolean(lua, text_argument(lua, 1).starts_with(text_argument(lua, 2)) ? 1 : 0);
  return 1;
}

// string.ends(text, suffix)
int string_ends(lua_State* lua) {
  lua_pushboolean(lua, text_argument(lua, 1).ends_with(text_argument(lua, 2)) ? 1 : 0);
  return 1;
}

// log(text)
int log_line(lua_State* lua) {
  auto& lines = ScriptContext::of(lua).log_lines;
  const auto text = text_argument(lua, 1);
  if (lines.size() < kMaxLogLines) lines.emplace_back(text.substr(0, kMaxMessageBytes));
  return 0;
}

// clock(): returns the time at which the slice started, in seconds since the epoch.
int read_clock(lua_State* lua) {
  lua_pushnumber(lua, std::chrono::duration<double>(ScriptContext::of(lua).now).count());
  return 1;
}

// Set fields of the table on top of the stack, or globals, to nil.
void remove_fields(lua_State* lua, std::initializer_list<const char*> names) {
  for (const char* name : names) {
    lua_pushnil(lua);
    lua_setfield(lua, -2, name);
  }
}
void remove_globals(lua_State* lua, std::initializer_list<const char*> names) {
  for (const char* name : names) {
    lua_pushnil(lua);
    lua_setglobal(lua, name);
  }
}

// Replaces a function of the table on top of the stack by `wrapper`, which gets the old function as its
// upvalue.
void wrap_field(lua_State* lua, const char* name, lua_CFunction wrapper) {
  lua_getfield(lua, -1, name);
  lua_pushcclosure(lua, wrapper, 1);
  lua_setfield(lua, -2, name);
}

void open_base(lua_State* lua) {
  const luaL_Reg libraries[] = {{LUA_GNAME, luaopen_base},
                                {LUA_TABLIBNAME, luaopen_table},
                                {LUA_STRLIBNAME, luaopen_string},
                                {LUA_MATHLIBNAME, luaopen_math}};
  for (const auto& library : libraries) {
    luaL_requiref(lua, library.name, library.func, 1);
    lua_pop(lua, 1);
  }
  // Scripts get no metatables, because finalizers run inside the garbage collector, which cannot be
  // preempted. The message handler of xpcall cannot be preempted either.
  remove_globals(lua, {"dofile", "loadfile", "load", "collectgarbage", "print", "warn", "xpcall",
                       "setmetatable", "getmetatable"});
}

// Makes random numbers the same in each run.
void restrict_math(lua_State* lua) {
  lua_getglobal(lua, LUA_MATHLIBNAME);
  lua_getfield(lua, -1, "randomseed");
  lua_pushinteger(lua, 1);
  lua_call(lua, 1, 0);
  remove_fields(lua, {"randomseed"});
  lua_pop(lua, 1);
}

// Removes pattern matching, which may take exponential time on short texts. The remaining functions take
// linear time on texts of limited length.
void restrict_string(lua_State* lua) {
  lua_getglobal(lua, LUA_STRLIBNAME);
  remove_fields(lua, {"find", "match", "gmatch", "gsub", "dump", "pack", "unpack", "packsize"});
  for (const char* name : {"byte", "char", "format", "lower", "reverse", "upper"})
    wrap_field(lua, name, call_bounded);
  wrap_field(lua, "rep", string_rep);
  for (const auto& [name, function] :
       {luaL_Reg{"contains", string_contains}, {"starts", string_starts}, {"ends", string_ends}}) {
    lua_pushcfunction(lua, function);
    lua_setfield(lua, -2, name);
  }
}

void restrict_table(lua_State* lua) {
  lua_getglobal(lua, LUA_TABLIBNAME);
  wrap_field(lua, "unpack", table_unpack);
}

void load_prelude(lua_State* lua) {
  if (luaL_loadbufferx(lua, kPrelude.data(), kPrelude.size(), "=prelude", "t") != LUA_OK) lua_error(lua);
  lua_call(lua, 0, 0);
}

}  // namespace

void open_sandbox(lua_State* lua) {
  open_base(lua);
  restrict_math(lua);
  restrict_string(lua);
  restrict_table(lua);
  lua_pop(lua, 2);
  register_store_api(lua);
  lua_register(lua, "log", log_line);
  lua_register(lua, "clock", read_clock);
  load_prelude(lua);
  ScriptContext::of(lua).request_handle_refs = register_request_handle(lua);
}

}  // namespace bellstair::hooks
