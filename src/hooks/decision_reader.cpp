#include "hooks/decision_reader.hpp"

#include <algorithm>
#include <optional>

namespace bellstair::hooks {
namespace {

constexpr double kMaxNumber = 1e9;
constexpr double kNanosecondsPerMillisecond = 1e6;

bool is_tag(std::string_view text) {
  const auto is_printable = [](unsigned char c) { return c > 0x20 && c < 0x7f && c != ','; };
  return !text.empty() && text.size() <= kMaxTagBytes && std::ranges::all_of(text, is_printable);
}

class DecisionReader {
 public:
  DecisionReader(lua_State* lua, const RequestHandleRefs& refs) : lua_(lua), refs_(refs) {}

  [[nodiscard]] std::string read(HookDecision& decision) {
    decision.cpu = read_time(Field::cpu);
    decision.ram = read_number(Field::ram);
    if (const auto second = read_number(Field::second)) decision.second = *second != 0;
    decision.refuse = read_time(Field::refuse);
    read_tags(decision);
    return problem_;
  }

 private:
  // Pushes the field of the table on top of the stack.
  void push_field(Field field) {
    lua_rawgeti(lua_, LUA_REGISTRYINDEX, refs_.field_names[static_cast<std::size_t>(field)]);
    lua_rawget(lua_, -2);
  }

  std::optional<double> read_number(Field field) {
    push_field(field);
    std::optional<double> value;
    if (lua_type(lua_, -1) == LUA_TNUMBER) value = lua_tonumber(lua_, -1);
    if (field == Field::second && lua_isboolean(lua_, -1)) value = lua_toboolean(lua_, -1);
    const bool is_set = !lua_isnil(lua_, -1);
    lua_pop(lua_, 1);
    const bool in_range = value && *value >= 0 && *value <= kMaxNumber;
    if (!is_set || in_range) return value;
    problem_ =
        std::string("'") + kFieldNames[static_cast<std::size_t>(field)] + "' is not a number from 0 to 1e9";
    return std::nullopt;
  }

  // Scripts give times in milliseconds.
  std::optional<Time> read_time(Field field) {
    const auto value = read_number(field);
    if (!value) return std::nullopt;
    return Time(static_cast<std::int64_t>(*value * kNanosecondsPerMillisecond));
  }

  void read_tags(HookDecision& decision) {
    push_field(Field::tags);
    if (lua_istable(lua_, -1)) {
      for (std::size_t i = 1; i <= kMaxTags && read_tag(i, decision); ++i) {
      }
    } else if (!lua_isnil(lua_, -1)) {
      problem_ = "'tags' is not a list";
    }
    lua_pop(lua_, 1);
  }

  // Reads one element of the list on top of the stack. Returns false at the end of the list.
  bool read_tag(std::size_t index, HookDecision& decision) {
    lua_rawgeti(lua_, -1, static_cast<lua_Integer>(index));
    std::size_t size = 0;
    const char* text = lua_type(lua_, -1) == LUA_TSTRING ? lua_tolstring(lua_, -1, &size) : nullptr;
    const bool at_end = lua_isnil(lua_, -1);
    if (text != nullptr) decision.tags.emplace_back(text, size);
    lua_pop(lua_, 1);
    if (at_end) return false;
    if (text == nullptr || !is_tag(decision.tags.back())) problem_ = "'tags' contains an invalid tag";
    return true;
  }

  lua_State* lua_;
  const RequestHandleRefs& refs_;
  std::string problem_;
};

}  // namespace

std::string read_decision(lua_State* lua, const RequestHandleRefs& refs, HookDecision& decision) {
  if (lua_isnil(lua, -1)) return {};
  if (!lua_istable(lua, -1)) return "expected nil or a table";
  return DecisionReader(lua, refs).read(decision);
}

}  // namespace bellstair::hooks
