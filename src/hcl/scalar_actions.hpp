// Grammar actions that build texts, numbers, true, false and null, and actions that reject unsupported
// syntax. The parser never backtracks over a rule that has an action, since its effect on the state could not
// be undone.
#pragma once

#include <charconv>
#include <cstdint>
#include <string>
#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/unescape.hpp>

#include "hcl/grammar.hpp"
#include "hcl/heredoc.hpp"
#include "hcl/parse_errors.hpp"
#include "hcl/parse_state.hpp"

namespace bellstair::hcl::grammar {

template <class Rule>
struct Action : peg::nothing<Rule> {};

template <>
struct Action<TextBegin> {
  template <class Input>
  static void apply(const Input& in, ParseState& state) {
    state.text.clear();
    state.text_at = position_of(in);
  }
};
template <>
struct Action<PlainByte> {
  template <class Input>
  static void apply(const Input& in, ParseState& state) {
    state.text.append(in.begin(), in.end());
  }
};
template <>
struct Action<PlainTemplate> {
  template <class Input>
  static void apply(const Input& in, ParseState& state) {
    state.text.append(in.begin() + 1, in.end());
  }
};
template <>
struct Action<TemplateBegin> {
  template <class Input>
  static void apply(const Input& in, ParseState&) {
    fail(in, "templates are not supported: '" + in.string() + "' (as literal text: '" + in.string()[0] +
                 in.string() + "')");
  }
};
template <>
struct Action<PlainEscape> {
  template <class Input>
  static void apply(const Input& in, ParseState& state) {
    const char c = *in.begin();
    state.text += c == 'n' ? '\n' : c == 'r' ? '\r' : c == 't' ? '\t' : c;
  }
};
template <>
struct Action<JsonEscape> {
  template <class Input>
  static void apply(const Input& in, ParseState& state) {
    if (!state.json) fail(in, kExpected<EscapeRest>);
    const char c = *in.begin();
    state.text += c == 'b' ? '\b' : c == 'f' ? '\f' : c;
  }
};
template <>
struct Action<Unicode> {
  template <class Input>
  static void apply(const Input& in, ParseState& state) {
    try {
      peg::unescape::unescape_j::apply(in, state.text);  // surrogate pairs too
    } catch (const peg::parse_error&) {
      fail(in, "the escape is not a Unicode code point");
    }
  }
};
template <>
struct Action<LongUnicode> {
  template <class Input>
  static void apply(const Input& in, ParseState& state) {
    try {
      peg::unescape::unescape_u::apply(in, state.text);
    } catch (const peg::parse_error&) {
      fail(in, "the escape is not a Unicode code point");
    }
  }
};
template <>
struct Action<Text> {
  static void apply0(ParseState& state) { state.push(state.text_at, std::move(state.text)); }
};
template <>
struct Action<HeredocDelimiter> {
  template <class Input>
  static void apply(const Input& in, ParseState& state) {
    state.heredoc_delimiter = in.string();
    state.text_at = position_of(in);
  }
};
template <>
struct Action<Heredoc> {
  template <class Input>
  static void apply(const Input& in, ParseState& state) {
    unescape_templates(state.text, state.text_at);
    if (in.size() > 2 && in.begin()[2] == '-') remove_common_indent(state.text);
    state.push(state.text_at, std::move(state.text));
  }
};
template <>
struct Action<Integer> {
  template <class Input>
  static void apply(const Input& in, ParseState& state) {
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(in.begin(), in.end(), value);
    if (error != std::errc()) fail(in, "the number is out of range");
    state.push(position_of(in), value);
  }
};
template <>
struct Action<DecimalNumber> {
  template <class Input>
  static void apply(const Input& in, ParseState& state) {
    double value = 0;
    const auto [end, error] = std::from_chars(in.begin(), in.end(), value);
    if (error != std::errc()) fail(in, "the number is out of range");
    state.push(position_of(in), value);
  }
};
template <>
struct Action<LiteralTrue> {
  template <class Input>
  static void apply(const Input& in, ParseState& state) {
    state.push(position_of(in), true);
  }
};
template <>
struct Action<LiteralFalse> {
  template <class Input>
  static void apply(const Input& in, ParseState& state) {
    state.push(position_of(in), false);
  }
};
template <>
struct Action<LiteralNull> {
  template <class Input>
  static void apply(const Input& in, ParseState& state) {
    state.push(position_of(in), nullptr);
  }
};

// ---- unsupported syntax

template <>
struct Action<FunctionCall> {
  template <class Input>
  static void apply(const Input& in, ParseState&) {
    fail(in, "functions are not supported: '" + in.string() + "...)'");
  }
};
template <>
struct Action<ForExpression> {
  template <class Input>
  static void apply(const Input& in, ParseState&) {
    fail(in, "'for' expressions are not supported");
  }
};
template <>
struct Action<Reference> {
  template <class Input>
  static void apply(const Input& in, ParseState&) {
    fail(in, "references are not supported: '" + in.string() + "' (a text must be in quotes)");
  }
};
template <>
struct Action<Operation> {
  template <class Input>
  static void apply(const Input& in, ParseState&) {
    fail(in, "operators are not supported: '" + in.string() + "'");
  }
};
template <>
struct Action<TrailingOperation> : Action<Operation> {};

}  // namespace bellstair::hcl::grammar
