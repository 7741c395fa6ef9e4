#include "plugin/admission.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <lua.hpp>
#include <optional>
#include <sstream>

namespace bellstair::plugin {
namespace {

constexpr int kCheckEvery = 1000;  // instructions of the script between looks at the clock
constexpr std::size_t kMostLine = 400;

// All memory of the script comes from here, up to a limit.
struct Budget {
  std::size_t used = 0, most = 0;
};
void* allocate(void* context, void* block, std::size_t old_size, std::size_t new_size) {
  auto& budget = *static_cast<Budget*>(context);
  const auto held = block == nullptr ? 0 : old_size;
  if (new_size == 0) {
    budget.used -= held;
    std::free(block);
    return nullptr;
  }
  if (new_size > held && budget.used + (new_size - held) > budget.most) return nullptr;
  void* out = std::realloc(block, new_size);
  if (out != nullptr) budget.used = budget.used - held + new_size;
  return out;
}

}  // namespace

struct Admission::State {
  Budget budget;
  lua_State* lua = nullptr;
  const config::Names& names;
  core::Time time, most_pause;
  std::chrono::steady_clock::time_point until;

  State(const config::Plugin& config, const config::Names& known, core::Time pause)
      : names(known), time(config.time), most_pause(pause) {
    budget.most = config.memory;
    lua = lua_newstate(allocate, &budget);
    if (lua == nullptr) throw Unusable("plugin.memory_kb: is too little for any script");
    *static_cast<State**>(lua_getextraspace(lua)) = this;
  }
  ~State() { lua_close(lua); }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  static State& of(lua_State* lua) { return **static_cast<State**>(lua_getextraspace(lua)); }

  static void check_time(lua_State* lua, lua_Debug*) {
    if (std::chrono::steady_clock::now() > of(lua).until) luaL_error(lua, "it took too long");
  }

  // Runs `work` on the script's stack, where an error of whatever kind ends nothing but the call.
  std::string guarded(lua_CFunction work, void* with) {
    until = std::chrono::steady_clock::now() + time;
    lua_sethook(lua, check_time, LUA_MASKCOUNT, kCheckEvery);
    lua_pushcfunction(lua, work);
    lua_pushlightuserdata(lua, with);
    std::string error;
    if (lua_pcall(lua, 1, 0, 0) != LUA_OK) {
      const char* text = lua_type(lua, -1) == LUA_TSTRING ? lua_tostring(lua, -1) : nullptr;
      error = std::string(text == nullptr ? "it failed" : text).substr(0, kMostLine);
    }
    lua_settop(lua, 0);
    lua_sethook(lua, nullptr, 0, 0);
    return error;
  }

  // Only what computes: no io, os, package, debug or coroutines, nothing that loads code or catches the error
  // that ends a call in time. No metatables either: finalizers run where the hook that looks at the clock
  // does not.
  static int open(lua_State* lua) {
    const luaL_Reg kLibraries[] = {{LUA_GNAME, luaopen_base},
                                   {LUA_TABLIBNAME, luaopen_table},
                                   {LUA_STRLIBNAME, luaopen_string},
                                   {LUA_MATHLIBNAME, luaopen_math}};
    for (const auto& library : kLibraries) {
      luaL_requiref(lua, library.name, library.func, 1);
      lua_pop(lua, 1);
    }
    for (const char* name : {"dofile", "loadfile", "load", "collectgarbage", "print", "warn", "pcall",
                             "xpcall", "setmetatable"}) {
      lua_pushnil(lua);
      lua_setglobal(lua, name);
    }
    // Patterns and long texts are worked on in C, where the hook that looks at the clock is not called.
    lua_getglobal(lua, LUA_STRLIBNAME);
    for (const char* name :
         {"rep", "find", "match", "gmatch", "gsub", "dump", "format", "pack", "unpack", "packsize"}) {
      lua_pushnil(lua);
      lua_setfield(lua, -2, name);
    }
    lua_pushcfunction(lua, contains);
    lua_setfield(lua, -2, "contains");
    lua_pop(lua, 1);
    const auto& text = *static_cast<const std::string*>(lua_touserdata(lua, 1));
    if (luaL_loadbufferx(lua, text.data(), text.size(), "=script", "t") != LUA_OK) lua_error(lua);
    lua_call(lua, 0, 0);
    lua_getglobal(lua, "admit");
    if (!lua_isfunction(lua, -1)) luaL_error(lua, "it defines no function 'admit'");
    return 0;
  }

  // string.contains(text, part): plain, and linear in the text.
  static int contains(lua_State* lua) {
    std::size_t size = 0, part_size = 0;
    const char* text = luaL_checklstring(lua, 1, &size);
    const char* part = luaL_checklstring(lua, 2, &part_size);
    const std::string_view whole(text, size), wanted(part, part_size);
    lua_pushboolean(lua, whole.find(wanted) != std::string_view::npos ? 1 : 0);
    return 1;
  }

  struct Verdict {
    const core::Submission* asked = nullptr;
    std::optional<double> cpu, ram, second, later;
  };

  static std::optional<double> field(lua_State* lua, const char* name) {
    lua_getfield(lua, -1, name);
    std::optional<double> out;
    if (lua_isboolean(lua, -1) != 0) {
      out = lua_toboolean(lua, -1);
    } else if (!lua_isnil(lua, -1)) {
      int fine = 0;
      const double value = lua_tonumberx(lua, -1, &fine);
      if (fine == 0 || !(value >= 0 && value <= 1e9)) luaL_error(lua, "'%s' is no number in range", name);
      out = value;
    }
    lua_pop(lua, 1);
    return out;
  }

  static int call(lua_State* lua) {
    auto& verdict = *static_cast<Verdict*>(lua_touserdata(lua, 1));
    const auto& asked = *verdict.asked;
    const auto& names = of(lua).names;
    lua_getglobal(lua, "admit");
    lua_newtable(lua);
    const auto text = [lua](const char* name, std::string_view value) {
      lua_pushlstring(lua, value.data(), value.size());
      lua_setfield(lua, -2, name);
    };
    const auto number = [lua](const char* name, double value) {
      lua_pushnumber(lua, value);
      lua_setfield(lua, -2, name);
    };
    text("class", names.class_names.at(asked.cls));
    for (const auto& [name, index] : names.tenants) {
      if (index == asked.tenant) text("tenant", name);
    }
    text("statement", asked.body);
    number("limit", std::chrono::duration<double, std::milli>(asked.limit).count());
    number("group", static_cast<double>(asked.data_group));
    if (asked.cost) number("cpu", std::chrono::duration<double, std::milli>(*asked.cost).count());
    number("ram", asked.memory_mb);
    lua_pushboolean(lua, asked.repeat ? 1 : 0);
    lua_setfield(lua, -2, "second");
    lua_call(lua, 1, 1);
    if (lua_isnil(lua, -1)) return 0;
    if (!lua_istable(lua, -1)) return luaL_error(lua, "'admit' returned neither nil nor a table");
    verdict.cpu = field(lua, "cpu");
    verdict.ram = field(lua, "ram");
    verdict.second = field(lua, "second");
    verdict.later = field(lua, "refuse");
    return 0;
  }
};

Admission::Admission(const config::Plugin& config, const config::Names& names, core::Time most_pause) {
  std::ifstream in(config.script, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw Unusable("plugin.script: cannot read '" + config.script + "'");
  state_ = std::make_unique<State>(config, names, most_pause);
  auto script = text.str();
  if (const auto error = state_->guarded(State::open, &script); !error.empty())
    throw Unusable("plugin.script: " + error);
}

Admission::~Admission() = default;

std::string Admission::admit(core::Submission& asked) {
  State::Verdict verdict;
  verdict.asked = &asked;
  if (const auto error = state_->guarded(State::call, &verdict); !error.empty()) return "plugin: " + error;
  const auto ms = [](double value) { return core::Time(static_cast<std::int64_t>(value * 1e6)); };
  if (verdict.cpu) asked.cost = ms(*verdict.cpu);
  if (verdict.ram) asked.memory_mb = *verdict.ram;
  if (verdict.second) asked.repeat = *verdict.second != 0;
  if (verdict.later) asked.barred = std::min(ms(*verdict.later), state_->most_pause);
  return {};
}

}  // namespace bellstair::plugin
