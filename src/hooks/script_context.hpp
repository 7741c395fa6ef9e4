// The state that the C functions of one Lua machine share.
#pragma once

#include <array>
#include <lua.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "hooks/lua_allocator.hpp"
#include "hooks/machine.hpp"
#include "hooks/request_handle.hpp"
#include "hooks/slice_timer.hpp"
#include "hooks/spec.hpp"
#include "hooks/store.hpp"

namespace bellstair::hooks {

inline constexpr std::size_t kMaxMessageBytes = 400;  // of an error or a log line; longer ones are truncated
inline constexpr std::size_t kMaxLogLines = 4;        // of one slice; further lines are dropped

struct ScriptContext {
  ScriptContext(const Spec& hook, const SettingNames& initial_names)
      : spec(hook),
        names(std::make_shared<const SettingNames>(initial_names)),
        allocator(hook.memory_limit, slice_timer) {}
  ScriptContext(const ScriptContext&) = delete;
  ScriptContext& operator=(const ScriptContext&) = delete;

  // Returns the context of the machine. Its address is in the extra space of the main thread and all other
  // threads.
  [[nodiscard]] static ScriptContext& of(lua_State* lua) {
    return **static_cast<ScriptContext**>(lua_getextraspace(lua));
  }

  Spec spec;
  std::shared_ptr<const SettingNames> names;
  Store* store = nullptr;  // null while the script is being loaded
  SliceTimer slice_timer;
  LuaAllocator allocator;
  Time now{};                          // of the slice, since the epoch
  std::vector<std::string> log_lines;  // of the slice
  RequestHandleRefs request_handle_refs;
};

// Pushes a number. Whole numbers are pushed as integers, which scripts print without a decimal point.
void push_number(lua_State* lua, double value);
void push_text(lua_State* lua, std::string_view text);
// Returns the text argument at `index`; raises an error if the argument is not a text.
[[nodiscard]] std::string_view text_argument(lua_State* lua, int index);

}  // namespace bellstair::hooks
