#include "hooks/request_handle.hpp"

#include <string>
#include <string_view>
#include <vector>

#include "hooks/script_context.hpp"

namespace bellstair::hooks {
namespace {

constexpr int kNoSuchField = -1;

double milliseconds(Time time) { return std::chrono::duration<double, std::milli>(time).count(); }

int push_name(lua_State* lua, const std::vector<std::string>& names, std::size_t index) {
  if (index < names.size()) {
    push_text(lua, names[index]);
  } else {
    lua_pushnil(lua);
  }
  return 1;
}

int push_tags(lua_State* lua, const std::vector<std::string>& tags) {
  lua_createtable(lua, static_cast<int>(tags.size()), 0);
  for (std::size_t i = 0; i < tags.size(); ++i) {
    push_text(lua, tags[i]);
    lua_rawseti(lua, -2, static_cast<lua_Integer>(i) + 1);
  }
  return 1;
}

// The functions below return the number of pushed values; 0 means nil.

int push_common_field(lua_State* lua, const RequestView& request, Field field) {
  const auto& names = *ScriptContext::of(lua).names;
  switch (field) {
    case Field::request_class:
      return push_name(lua, names.classes, request.cls);
    case Field::tenant:
      return push_name(lua, names.tenants, request.tenant);
    case Field::front:
      return push_name(lua, names.fronts, request.front);
    case Field::tags:
      return push_tags(lua, request.tags);
    default:
      return kNoSuchField;
  }
}

int push_request_field(lua_State* lua, const RequestView& request, Field field) {
  switch (field) {
    case Field::statement:
      push_text(lua, request.statement ? *request.statement : std::string_view());
      return 1;
    case Field::statement_size:
      push_number(lua, static_cast<double>(request.statement_size));
      return 1;
    case Field::limit:
      push_number(lua, milliseconds(request.limit));
      return 1;
    case Field::group:
      push_number(lua, static_cast<double>(request.group));
      return 1;
    case Field::cpu:
      if (!request.cpu) return 0;
      push_number(lua, milliseconds(*request.cpu));
      return 1;
    case Field::ram:
      push_number(lua, request.ram);
      return 1;
    case Field::second:
      lua_pushboolean(lua, request.second ? 1 : 0);
      return 1;
    default:
      return kNoSuchField;
  }
}

int push_answer_field(lua_State* lua, const RequestView& request, Field field) {
  switch (field) {
    case Field::kind:
      push_text(lua, request.kind);
      return 1;
    case Field::duration:
      push_number(lua, milliseconds(request.duration));
      return 1;
    case Field::attempts:
      push_number(lua, static_cast<double>(request.attempts));
      return 1;
    case Field::later:
      if (request.later == Time::zero()) return 0;
      push_number(lua, milliseconds(request.later));
      return 1;
    default:
      return kNoSuchField;
  }
}

// Returns the field named by the text at index 2. The function's upvalue maps names to fields.
Field field_argument(lua_State* lua) {
  lua_pushvalue(lua, 2);
  lua_rawget(lua, lua_upvalueindex(1));
  return lua_isnil(lua, -1) ? Field::unknown : static_cast<Field>(lua_tointeger(lua, -1));
}

// The metamethod __index.
int read_field(lua_State* lua) {
  const auto& handle = *static_cast<RequestHandle*>(lua_touserdata(lua, 1));
  if (handle.request == nullptr) return luaL_error(lua, "the request is over");
  const auto field = field_argument(lua);
  int pushed = push_common_field(lua, *handle.request, field);
  if (pushed == kNoSuchField) {
    pushed = handle.phase == Phase::request ? push_request_field(lua, *handle.request, field)
                                            : push_answer_field(lua, *handle.request, field);
  }
  if (pushed != kNoSuchField) return pushed;
  // An unknown name is an error rather than nil, so that a misspelt name fails when the script first runs.
  return luaL_error(lua, "there is no field '%s'",
                    lua_type(lua, 2) == LUA_TSTRING ? lua_tostring(lua, 2) : "?");
}

}  // namespace

RequestHandleRefs register_request_handle(lua_State* lua) {
  RequestHandleRefs refs;
  lua_createtable(lua, 0, 2);
  lua_createtable(lua, 0, static_cast<int>(kFieldCount));
  for (std::size_t i = 0; i < kFieldCount; ++i) {
    lua_pushstring(lua, kFieldNames[i]);
    lua_pushvalue(lua, -1);
    refs.field_names[i] = luaL_ref(lua, LUA_REGISTRYINDEX);
    lua_pushinteger(lua, static_cast<lua_Integer>(i));
    lua_rawset(lua, -3);
  }
  lua_pushcclosure(lua, read_field, 1);
  lua_setfield(lua, -2, "__index");
  refs.metatable = luaL_ref(lua, LUA_REGISTRYINDEX);
  return refs;
}

RequestHandle* push_request_handle(lua_State* lua, const RequestHandleRefs& refs, const RequestView& request,
                                   Phase phase) {
  auto* handle = static_cast<RequestHandle*>(lua_newuserdatauv(lua, sizeof(RequestHandle), 0));
  *handle = {&request, phase};
  lua_rawgeti(lua, LUA_REGISTRYINDEX, refs.metatable);
  lua_setmetatable(lua, -2);
  return handle;
}

}  // namespace bellstair::hooks
