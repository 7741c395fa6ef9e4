// What the parser says where a rule must match and does not.
#pragma once

#include <tao/pegtl.hpp>

#include "hcl/grammar.hpp"
#include "hcl/parse_state.hpp"

namespace bellstair::hcl::grammar {

// `in`: the input of PEGTL, or the part of it that an action is for.
template <class Input>
Position position_of(const Input& in) {
  const auto at = in.position();
  return {at.line, at.column};
}

template <class Input>
[[noreturn]] void fail(const Input& in, const std::string& what) {
  throw ParseFailure{{position_of(in), what}};
}

template <class>
inline constexpr const char* expected = nullptr;
template <>
inline constexpr const char* expected<comment_end> = "the comment does not end: expected '*/'";
template <>
inline constexpr const char* expected<escape_rest> =
    "unknown escape: expected one of \\n \\r \\t \\\" \\\\ \\uNNNN \\UNNNNNNNN";
template <>
inline constexpr const char* expected<text_body> = "the text does not end in its line: expected '\"'";
template <>
inline constexpr const char* expected<heredoc_delimiter> = "expected the word that ends the text";
template <>
inline constexpr const char* expected<peg::eol> = "expected the end of the line";
template <>
inline constexpr const char* expected<heredoc_end> =
    "the text does not end: expected a line with its word alone";
template <>
inline constexpr const char* expected<number_end> =
    "a number goes on with letters: expected a unit to be in a text, as in \"2ms\"";
template <>
inline constexpr const char* expected<element> = "expected a value or ']'";
template <>
inline constexpr const char* expected<list_items> = "expected a value or ']'";
template <>
inline constexpr const char* expected<list_end> = "expected ',' or ']'";
template <>
inline constexpr const char* expected<assignment_sign> = "expected '=' or ':' after the name";
template <>
inline constexpr const char* expected<member_value> = "expected a value";
template <>
inline constexpr const char* expected<object_items> = "expected a name or '}'";
template <>
inline constexpr const char* expected<object_end> = "expected ',', a new line or '}'";
template <>
inline constexpr const char* expected<attribute_value> =
    "expected a value: a text, a number, true, false, null, a list or an object";
template <>
inline constexpr const char* expected<item_end> = "expected the end of the line";
template <>
inline constexpr const char* expected<block_begin> = "expected a label or '{'";
template <>
inline constexpr const char* expected<block_head> = "expected a label or '{'";
template <>
inline constexpr const char* expected<items> = "expected a name or '}'";
template <>
inline constexpr const char* expected<block_end> = "expected a name or '}'";
template <>
inline constexpr const char* expected<item_rest> = "expected '=' or a block after the name";
template <>
inline constexpr const char* expected<end> = "expected the name of an attribute or block";
template <>
inline constexpr const char* expected<native_file> = "expected attributes and blocks";
template <>
inline constexpr const char* expected<json_file> = "expected an object";
template <>
inline constexpr const char* expected<without_operation> = "expected the end of the line";
template <>
inline constexpr const char* expected<inline_space> = "expected '='";
template <>
inline constexpr const char* expected<space> = "expected a value";

// PEGTL calls raise() where a rule must match and does not.
template <class Rule>
struct Control : peg::normal<Rule> {
  template <class Input, class... States>
  [[noreturn]] static void raise(const Input& in, States&&...) {
    static_assert(expected<Rule> != nullptr, "every rule that must match says what was expected");
    throw ParseFailure{{position_of(in), expected<Rule>}};
  }
};

}  // namespace bellstair::hcl::grammar
