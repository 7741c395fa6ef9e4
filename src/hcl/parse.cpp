#include "hcl/parse.hpp"

#include <tao/pegtl.hpp>

#include "hcl/grammar.hpp"
#include "hcl/parse_errors.hpp"
#include "hcl/parse_state.hpp"
#include "hcl/scalar_actions.hpp"
#include "hcl/structure_actions.hpp"

namespace bellstair::hcl {
namespace {

constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";

}  // namespace

Body parse(std::string_view text, const std::string& file) {
  if (text.size() > kMaxText)
    throw Invalid(file, {{{}, "is longer than " + std::to_string(kMaxText) + " bytes"}});
  if (text.starts_with(kByteOrderMark)) text.remove_prefix(kByteOrderMark.size());
  ParseState state;
  state.open_blocks.emplace_back();
  const auto first = text.find_first_not_of(" \t\r\n");
  state.json = first != std::string_view::npos && text[first] == '{';
  grammar::peg::memory_input in(text.data(), text.size(), file);
  try {
    if (state.json) {
      grammar::peg::parse<grammar::JsonFile, grammar::Action, grammar::Control>(in, state);
      Body out;
      out.attributes = std::move(std::get<std::vector<Member>>(state.values.at(0).content));
      return out;
    }
    grammar::peg::parse<grammar::NativeFile, grammar::Action, grammar::Control>(in, state);
    return std::move(state.open_blocks.front().block.body);
  } catch (const ParseFailure& failure) {
    throw Invalid(file, {failure.problem});
  }
}

}  // namespace bellstair::hcl
