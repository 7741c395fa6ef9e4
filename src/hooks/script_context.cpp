#include "hooks/script_context.hpp"

#include <cmath>

namespace bellstair::hooks {
namespace {

constexpr double kMaxExactInteger = 9e15;  // below 2^53, up to which a double represents every whole number

}  // namespace

void push_number(lua_State* lua, double value) {
  if (value == std::floor(value) && std::abs(value) < kMaxExactInteger) {
    lua_pushinteger(lua, static_cast<lua_Integer>(value));
  } else {
    lua_pushnumber(lua, value);
  }
}

void push_text(lua_State* lua, std::string_view text) { lua_pushlstring(lua, text.data(), text.size()); }

std::string_view text_argument(lua_State* lua, int index) {
  std::size_t size = 0;
  const char* text = luaL_checklstring(lua, index, &size);
  return {text, size};
}

}  // namespace bellstair::hooks
