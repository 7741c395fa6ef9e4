// Grammar actions that build lists, objects, attributes and blocks.
#pragma once

#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "hcl/grammar.hpp"
#include "hcl/parse_errors.hpp"
#include "hcl/parse_state.hpp"
#include "hcl/scalar_actions.hpp"

namespace bellstair::hcl::grammar {

// Adds the member. Throws ParseFailure if the name is already used. `what` is "the name" or "the attribute".
inline void add_member(std::vector<Member>& members, FirstLines& first_lines, Member member,
                       const char* what) {
  const auto [first, is_new] = first_lines.try_emplace(member.name, member.at.line);
  if (!is_new) {
    throw ParseFailure{{member.at, std::string(what) + " '" + member.name +
                                       "' is defined more than once; first in line " +
                                       std::to_string(first->second)}};
  }
  members.push_back(std::move(member));
}

template <>
struct Action<ListBegin> {
  template <class Input>
  static void apply(const Input& in, ParseState& state) {
    state.enter_nested(position_of(in));
    state.nested.push_back({state.values.size(), state.names.size()});
  }
};
template <>
struct Action<ObjectBegin> : Action<ListBegin> {};
template <>
struct Action<List> {
  template <class Input>
  static void apply(const Input& in, ParseState& state) {
    const auto from = state.values.begin() + static_cast<std::ptrdiff_t>(state.nested.back().values);
    state.nested.pop_back();
    std::vector<Value> out(std::make_move_iterator(from), std::make_move_iterator(state.values.end()));
    state.values.erase(from, state.values.end());
    state.push(position_of(in), std::move(out));
  }
};
template <>
struct Action<Object> {
  template <class Input>
  static void apply(const Input& in, ParseState& state) {
    const auto [first_value, first_name] = state.nested.back();
    state.nested.pop_back();
    std::vector<Member> out;
    FirstLines first_lines;
    for (std::size_t i = 0; first_value + i < state.values.size(); ++i) {
      auto member = std::move(state.names[first_name + i]);
      member.value = std::move(state.values[first_value + i]);
      add_member(out, first_lines, std::move(member), "the name");
    }
    state.values.resize(first_value);
    state.names.resize(first_name);
    state.push(position_of(in), std::move(out));
  }
};
template <>
struct Action<KeyWord> {
  template <class Input>
  static void apply(const Input& in, ParseState& state) {
    state.names.push_back({position_of(in), in.string(), {}});
  }
};
template <>
struct Action<KeyText> {
  static void apply0(ParseState& state) { state.names.push_back({state.text_at, std::move(state.text), {}}); }
};

template <>
struct Action<ItemName> : Action<KeyWord> {};
template <>
struct Action<Attribute> {
  static void apply0(ParseState& state) {
    auto attribute = std::move(state.names.back());
    state.names.pop_back();
    attribute.value = std::move(state.values.back());
    state.values.pop_back();
    auto& open = state.open_blocks.back();
    add_member(open.block.body.attributes, open.first_lines, std::move(attribute), "the attribute");
  }
};
template <>
struct Action<LabelWord> : Action<KeyWord> {};
template <>
struct Action<LabelText> : Action<KeyText> {};
template <>
struct Action<BlockBegin> {
  template <class Input>
  static void apply(const Input& in, ParseState& state) {
    // Outside of values, the stack of names contains only the type and labels of this block.
    state.enter_nested(position_of(in));
    Block block;
    block.at = state.names.front().at;
    block.type = std::move(state.names.front().name);
    for (std::size_t i = 1; i < state.names.size(); ++i)
      block.labels.push_back(std::move(state.names[i].name));
    block.body.at = block.at;
    state.names.clear();
    state.open_blocks.push_back({std::move(block), {}});
  }
};
template <>
struct Action<BlockEnd> {
  static void apply0(ParseState& state) {
    auto block = std::move(state.open_blocks.back().block);
    state.open_blocks.pop_back();
    state.open_blocks.back().block.body.blocks.push_back(std::move(block));
  }
};

}  // namespace bellstair::hcl::grammar
