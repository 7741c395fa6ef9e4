// The parser's error messages, reported where a rule must match and does not.
#pragma once

#include <tao/pegtl.hpp>

#include "hcl/grammar.hpp"
#include "hcl/parse_state.hpp"

namespace bellstair::hcl::grammar {

// `in` is the PEGTL input, or the part of it that an action is called for.
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
inline constexpr const char* kExpected = nullptr;
template <>
inline constexpr const char* kExpected<CommentEnd> = "the comment does not end: expected '*/'";
template <>
inline constexpr const char* kExpected<EscapeRest> =
    "unknown escape: expected one of \\n \\r \\t \\\" \\\\ \\uNNNN \\UNNNNNNNN";
template <>
inline constexpr const char* kExpected<TextBody> = "the text does not end in its line: expected '\"'";
template <>
inline constexpr const char* kExpected<HeredocDelimiter> = "expected the delimiter of the heredoc";
template <>
inline constexpr const char* kExpected<peg::eol> = "expected the end of the line";
template <>
inline constexpr const char* kExpected<HeredocEnd> =
    "the heredoc does not end: expected a line with only its delimiter";
template <>
inline constexpr const char* kExpected<NumberEnd> =
    "a number is followed by letters: a value with a unit must be a text, as in \"2ms\"";
template <>
inline constexpr const char* kExpected<Element> = "expected a value or ']'";
template <>
inline constexpr const char* kExpected<ListItems> = "expected a value or ']'";
template <>
inline constexpr const char* kExpected<ListEnd> = "expected ',' or ']'";
template <>
inline constexpr const char* kExpected<AssignmentSign> = "expected '=' or ':' after the name";
template <>
inline constexpr const char* kExpected<MemberValue> = "expected a value";
template <>
inline constexpr const char* kExpected<ObjectItems> = "expected a name or '}'";
template <>
inline constexpr const char* kExpected<ObjectEnd> = "expected ',', a new line or '}'";
template <>
inline constexpr const char* kExpected<AttributeValue> =
    "expected a value: a text, a number, true, false, null, a list or an object";
template <>
inline constexpr const char* kExpected<ItemEnd> = "expected the end of the line";
template <>
inline constexpr const char* kExpected<BlockBegin> = "expected a label or '{'";
template <>
inline constexpr const char* kExpected<BlockHead> = "expected a label or '{'";
template <>
inline constexpr const char* kExpected<Items> = "expected a name or '}'";
template <>
inline constexpr const char* kExpected<BlockEnd> = "expected a name or '}'";
template <>
inline constexpr const char* kExpected<ItemRest> = "expected '=' or a block after the name";
template <>
inline constexpr const char* kExpected<End> = "expected the name of an attribute or block";
template <>
inline constexpr const char* kExpected<NativeFile> = "expected attributes and blocks";
template <>
inline constexpr const char* kExpected<JsonFile> = "expected an object";
template <>
inline constexpr const char* kExpected<WithoutOperation> = "expected the end of the line";
template <>
inline constexpr const char* kExpected<InlineSpace> = "expected '='";
template <>
inline constexpr const char* kExpected<Space> = "expected a value";

// PEGTL calls raise() where a rule must match and does not.
template <class Rule>
struct Control : peg::normal<Rule> {
  template <class Input, class... States>
  [[noreturn]] static void raise(const Input& in, States&&...) {
    static_assert(kExpected<Rule> != nullptr, "every rule that must match needs a message in kExpected");
    throw ParseFailure{{position_of(in), kExpected<Rule>}};
  }
};

}  // namespace bellstair::hcl::grammar
