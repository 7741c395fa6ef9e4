#include "hcl/parse.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/unescape.hpp>

namespace bellstair::hcl {
namespace {
namespace peg = tao::pegtl;

template <class Where>
Position position(const Where& at) {
  return {at.line, at.column};
}

struct Refused {
  Problem problem;
};

struct State {
  bool json = false;
  std::vector<Block> open;  // the file's own body first, in a block without a type
  std::vector<Member> names;
  std::vector<Value> values;
  std::vector<std::pair<std::size_t, std::size_t>> marks;  // where the open lists and objects began
  Position text_at;
  std::string text;
  std::string word;  // of a heredoc's end

  void deepen(Position at) {
    if (open.size() + marks.size() > kMaxDepth)
      throw Refused{{at, "is nested more than " + std::to_string(kMaxDepth) + " deep"}};
  }
  void push(Position at, decltype(Value::is) value) { values.push_back({at, std::move(value)}); }
};

// ---- grammar

struct line_comment
    : peg::seq<peg::sor<peg::one<'#'>, peg::string<'/', '/'>>, peg::until<peg::at<peg::eolf>>> {};
struct comment_end : peg::until<peg::string<'*', '/'>> {};
struct block_comment : peg::if_must<peg::string<'/', '*'>, comment_end> {};
struct gap : peg::star<peg::sor<peg::blank, block_comment>> {};  // within a line
struct space : peg::star<peg::sor<peg::blank, peg::eol, line_comment, block_comment>> {};

struct word_end : peg::not_at<peg::sor<peg::alnum, peg::one<'_', '-'>>> {};
struct identifier
    : peg::seq<peg::sor<peg::alpha, peg::one<'_'>>, peg::star<peg::sor<peg::alnum, peg::one<'_', '-'>>>> {};

// Texts.
struct hex4 : peg::rep<4, peg::xdigit> {};
struct unicode : peg::list<peg::seq<peg::one<'u'>, hex4>, peg::one<'\\'>> {};
struct long_unicode : peg::seq<peg::one<'U'>, peg::rep<8, peg::xdigit>> {};
struct plain_escape : peg::one<'"', '\\', 'n', 'r', 't'> {};
struct json_escape : peg::one<'/', 'b', 'f'> {};
struct escape_rest : peg::sor<plain_escape, json_escape, unicode, long_unicode> {};
struct escape : peg::if_must<peg::one<'\\'>, escape_rest> {};
struct plain_template : peg::sor<peg::string<'$', '$', '{'>, peg::string<'%', '%', '{'>> {};
struct template_begin : peg::sor<peg::string<'$', '{'>, peg::string<'%', '{'>> {};
struct plain_byte : peg::not_one<'"', '\\', '\n', '\r', '\0'> {};
struct text_begin : peg::one<'"'> {};
struct text_end : peg::one<'"'> {};
struct text_rest
    : peg::seq<peg::star<peg::sor<escape, plain_template, template_begin, plain_byte>>, text_end> {};
struct text : peg::if_must<text_begin, text_rest> {};

// <<WORD or <<-WORD, lines, and a line that holds the word alone.
struct heredoc_word : identifier {};
struct heredoc_indented : peg::string<'<', '<', '-'> {};
struct heredoc_plain : peg::string<'<', '<'> {};
struct heredoc_end {
  using rule_t = heredoc_end;
  using subs_t = peg::empty_list;
  template <peg::apply_mode, peg::rewind_mode, template <class...> class, template <class...> class,
            class Input>
  static bool match(Input& in, State& state) {
    const std::string_view rest(in.current(), in.size(0));
    for (std::size_t at = 0; at < rest.size();) {
      const auto end = std::min(rest.find('\n', at), rest.size());
      auto line = rest.substr(at, end - at);
      if (line.ends_with('\r')) line.remove_suffix(1);
      const auto first = line.find_first_not_of(" \t");
      if (first != std::string_view::npos && line.substr(first) == state.word) {
        state.text = rest.substr(0, at);
        in.bump(at + line.size());
        return true;
      }
      at = end + 1;
    }
    return false;
  }
};
struct heredoc
    : peg::if_must<peg::sor<heredoc_indented, heredoc_plain>, heredoc_word, peg::eol, heredoc_end> {};

struct digits : peg::plus<peg::digit> {};
struct fraction : peg::seq<peg::one<'.'>, digits> {};
struct exponent : peg::seq<peg::one<'e', 'E'>, peg::opt<peg::one<'+', '-'>>, digits> {};
struct whole_number : peg::seq<peg::opt<peg::one<'-'>>, digits, peg::not_at<peg::one<'.', 'e', 'E'>>> {};
struct broken_number : peg::seq<peg::opt<peg::one<'-'>>, digits, peg::opt<fraction>, peg::opt<exponent>> {};
struct number_end : word_end {};
struct number : peg::seq<peg::sor<whole_number, broken_number>, peg::must<number_end>> {};

struct word_true : peg::seq<peg::string<'t', 'r', 'u', 'e'>, word_end> {};
struct word_false : peg::seq<peg::string<'f', 'a', 'l', 's', 'e'>, word_end> {};
struct word_null : peg::seq<peg::string<'n', 'u', 'l', 'l'>, word_end> {};

// What HCL allows and this file does not.
struct function_call : peg::seq<identifier, gap, peg::one<'('>> {};
struct for_expression
    : peg::seq<peg::one<'[', '{'>, space, peg::string<'f', 'o', 'r'>, word_end, peg::blank> {};
struct reference : peg::seq<identifier, peg::star<peg::one<'.'>, identifier>> {};
struct operation : peg::sor<peg::one<'+', '*', '%', '?', '!', '<', '>', '(', '&', '|', '-'>,
                            peg::seq<peg::one<'/'>, peg::not_at<peg::one<'/', '*'>>>, peg::string<'=', '='>> {
};

struct value;
struct element : peg::seq<value> {};
struct list_begin : peg::one<'['> {};
struct list_end : peg::one<']'> {};
struct list_items : peg::seq<space,
                             peg::opt<peg::list<peg::seq<peg::not_at<list_end>, peg::must<element>>,
                                                peg::seq<space, peg::one<','>, space>>>,
                             space, peg::opt<peg::one<','>>, space> {};
struct list : peg::if_must<list_begin, list_items, list_end> {};

struct key_word : identifier {};
struct key_text : text {};
struct key : peg::sor<key_text, key_word> {};
struct key_sign : peg::one<'=', ':'> {};
struct member_value : peg::seq<value> {};
struct object_begin : peg::one<'{'> {};
struct object_end : peg::one<'}'> {};
struct separator
    : peg::sor<peg::seq<gap, peg::one<','>, space>, peg::seq<gap, peg::opt<line_comment>, peg::eol, space>> {
};
struct member : peg::if_must<key, gap, key_sign, space, member_value> {};
struct object_items : peg::seq<space, peg::opt<peg::list<member, separator>>, peg::opt<separator>, space> {};
struct object : peg::if_must<object_begin, object_items, object_end> {};

struct value : peg::sor<for_expression, text, heredoc, number, word_true, word_false, word_null, list, object,
                        function_call, reference, operation> {};

// A body: attributes and blocks, each ended by its line's end or by the end of the block around it.
struct item_end : peg::sor<peg::at<peg::one<'}'>>, peg::seq<peg::opt<line_comment>, peg::eolf>> {};
struct operation_after : operation {};
struct no_operation : peg::opt<operation_after> {};
struct attribute_value : peg::seq<value> {};
struct attribute : peg::if_must<peg::seq<peg::one<'='>, peg::not_at<peg::one<'='>>>, gap, attribute_value,
                                gap, no_operation, item_end> {};
struct label_word : identifier {};
struct label_text : text {};
struct label : peg::sor<label_text, label_word> {};
struct block_begin : peg::one<'{'> {};
struct block_end : peg::one<'}'> {};
struct items;
struct block_head : peg::seq<peg::star<label, gap>, peg::must<block_begin>> {};
struct block : peg::if_must<peg::at<peg::sor<peg::one<'{', '"'>, peg::alpha>>, block_head, items, block_end,
                            gap, item_end> {};
struct item_name : identifier {};
struct item_rest : peg::sor<attribute, block> {};
struct item : peg::if_must<item_name, gap, item_rest> {};
struct items : peg::seq<space, peg::star<item, space>> {};

struct end : peg::eof {};
struct native_file : peg::seq<items, peg::must<end>> {};
struct json_file : peg::seq<space, object, space, peg::must<end>> {};

// ---- what was expected

template <class>
inline constexpr const char* expected = nullptr;
template <>
inline constexpr const char* expected<comment_end> = "the comment does not end: expected '*/'";
template <>
inline constexpr const char* expected<escape_rest> =
    "unknown escape: expected one of \\n \\r \\t \\\" \\\\ \\uNNNN \\UNNNNNNNN";
template <>
inline constexpr const char* expected<text_rest> = "the text does not end in its line: expected '\"'";
template <>
inline constexpr const char* expected<heredoc_word> = "expected the word that ends the text";
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
inline constexpr const char* expected<key_sign> = "expected '=' or ':' after the name";
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
inline constexpr const char* expected<no_operation> = "expected the end of the line";
template <>
inline constexpr const char* expected<gap> = "expected '='";
template <>
inline constexpr const char* expected<space> = "expected a value";

template <class Rule>
struct Control : peg::normal<Rule> {
  template <class Input, class... States>
  [[noreturn]] static void raise(const Input& in, States&&...) {
    static_assert(expected<Rule> != nullptr, "every rule that must match says what was expected");
    throw Refused{{position(in.position()), expected<Rule>}};
  }
};

// ---- actions: they build the values on a stack. No rule with an action is tried where it may be taken back.

template <class Rule>
struct Action : peg::nothing<Rule> {};

template <class Input>
[[noreturn]] void refuse(const Input& in, const std::string& what) {
  throw Refused{{position(in.position()), what}};
}

template <>
struct Action<text_begin> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    state.text.clear();
    state.text_at = position(in.position());
  }
};
template <>
struct Action<plain_byte> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    state.text.append(in.begin(), in.end());
  }
};
template <>
struct Action<plain_template> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    state.text.append(in.begin() + 1, in.end());
  }
};
template <>
struct Action<template_begin> {
  template <class Input>
  static void apply(const Input& in, State&) {
    refuse(in, "templates are not supported: '" + in.string() + "' (as text: '" + in.string()[0] +
                   in.string() + "')");
  }
};
template <>
struct Action<plain_escape> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    const char c = *in.begin();
    state.text += c == 'n' ? '\n' : c == 'r' ? '\r' : c == 't' ? '\t' : c;
  }
};
template <>
struct Action<json_escape> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    if (!state.json) refuse(in, expected<escape_rest>);
    const char c = *in.begin();
    state.text += c == 'b' ? '\b' : c == 'f' ? '\f' : c;
  }
};
template <>
struct Action<unicode> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    try {
      peg::unescape::unescape_j::apply(in, state.text);  // pairs of surrogates too
    } catch (const peg::parse_error&) {
      refuse(in, "is no Unicode code point");
    }
  }
};
template <>
struct Action<long_unicode> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    try {
      peg::unescape::unescape_u::apply(in, state.text);
    } catch (const peg::parse_error&) {
      refuse(in, "is no Unicode code point");
    }
  }
};
template <>
struct Action<text> {
  static void apply0(State& state) { state.push(state.text_at, std::move(state.text)); }
};
template <>
struct Action<heredoc_word> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    state.word = in.string();
    state.text_at = position(in.position());
  }
};
template <>
struct Action<heredoc> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    for (std::size_t at = 0; (at = state.text.find('{', at)) != std::string::npos; ++at) {
      const auto sign = at == 0 ? '\0' : state.text[at - 1];
      if (sign != '$' && sign != '%') continue;
      if (at < 2 || state.text[at - 2] != sign) {
        auto where = state.text_at;
        where.line +=
            1 + static_cast<std::size_t>(std::count(
                    state.text.begin(), state.text.begin() + static_cast<std::ptrdiff_t>(at), '\n'));
        const auto line = state.text.rfind('\n', at);
        where.column = at - (line == std::string::npos ? 0 : line + 1);
        throw Refused{{where, std::string("templates are not supported: '") + sign + "{' (as text: '" + sign +
                                  sign + "{')"}};
      }
      state.text.erase(at - 1, 1);
      --at;
    }
    if (in.size() > 2 && in.begin()[2] == '-') unindent(state.text);
    state.push(state.text_at, std::move(state.text));
  }
  // Takes from each line what all lines that are not empty begin with.
  static void unindent(std::string& text) {
    const auto each = [&](auto visit) {
      for (std::size_t at = 0; at < text.size();) {
        const auto end = std::min(text.find('\n', at), text.size() - 1) + 1;
        visit(std::string_view(text).substr(at, end - at));
        at = end;
      }
    };
    auto least = std::string::npos;
    each([&](std::string_view line) { least = std::min(least, line.find_first_not_of(" \t\r\n")); });
    std::string out;
    each([&](std::string_view line) {
      line.remove_prefix(std::min({least, line.size(), line.find_first_of("\r\n")}));
      out += line;
    });
    text = std::move(out);
  }
};
template <>
struct Action<whole_number> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(in.begin(), in.end(), value);
    if (error != std::errc()) refuse(in, "is a number out of range");
    state.push(position(in.position()), value);
  }
};
template <>
struct Action<broken_number> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    double value = 0;
    const auto [end, error] = std::from_chars(in.begin(), in.end(), value);
    if (error != std::errc()) refuse(in, "is a number out of range");
    state.push(position(in.position()), value);
  }
};
template <>
struct Action<word_true> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    state.push(position(in.position()), true);
  }
};
template <>
struct Action<word_false> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    state.push(position(in.position()), false);
  }
};
template <>
struct Action<word_null> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    state.push(position(in.position()), nullptr);
  }
};
template <>
struct Action<function_call> {
  template <class Input>
  static void apply(const Input& in, State&) {
    refuse(in, "functions are not supported: '" + in.string() + "...)'");
  }
};
template <>
struct Action<for_expression> {
  template <class Input>
  static void apply(const Input& in, State&) {
    refuse(in, "'for' expressions are not supported");
  }
};
template <>
struct Action<reference> {
  template <class Input>
  static void apply(const Input& in, State&) {
    refuse(in, "references are not supported: '" + in.string() + "' (a text stands in quotes)");
  }
};
template <>
struct Action<operation> {
  template <class Input>
  static void apply(const Input& in, State&) {
    refuse(in, "operators are not supported: '" + in.string() + "'");
  }
};
template <>
struct Action<operation_after> : Action<operation> {};

template <>
struct Action<list_begin> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    state.deepen(position(in.position()));
    state.marks.emplace_back(state.values.size(), state.names.size());
  }
};
template <>
struct Action<object_begin> : Action<list_begin> {};
template <>
struct Action<list> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    const auto from = state.values.begin() + static_cast<std::ptrdiff_t>(state.marks.back().first);
    state.marks.pop_back();
    std::vector<Value> out(std::make_move_iterator(from), std::make_move_iterator(state.values.end()));
    state.values.erase(from, state.values.end());
    state.push(position(in.position()), std::move(out));
  }
};
void add(std::vector<Member>& to, Member member, const char* what) {
  const auto twice = std::ranges::find(to, member.name, &Member::name);
  if (twice != to.end())
    throw Refused{{member.at, std::string(what) + " '" + member.name +
                                  "' stands a second time; first in line " + std::to_string(twice->at.line)}};
  to.push_back(std::move(member));
}
template <>
struct Action<object> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    const auto [value, name] = state.marks.back();
    state.marks.pop_back();
    std::vector<Member> out;
    for (std::size_t i = 0; value + i < state.values.size(); ++i) {
      auto member = std::move(state.names[name + i]);
      member.value = std::move(state.values[value + i]);
      add(out, std::move(member), "the name");
    }
    state.values.resize(value);
    state.names.resize(name);
    state.push(position(in.position()), std::move(out));
  }
};
template <>
struct Action<key_word> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    state.names.push_back({position(in.position()), in.string(), {}});
  }
};
template <>
struct Action<key_text> {
  static void apply0(State& state) { state.names.push_back({state.text_at, std::move(state.text), {}}); }
};

template <>
struct Action<item_name> : Action<key_word> {};
template <>
struct Action<attribute> {
  static void apply0(State& state) {
    auto made = std::move(state.names.back());
    state.names.pop_back();
    made.value = std::move(state.values.back());
    state.values.pop_back();
    add(state.open.back().body.attributes, std::move(made), "the attribute");
  }
};
template <>
struct Action<label_word> : Action<key_word> {};
template <>
struct Action<label_text> : Action<key_text> {};
template <>
struct Action<block_begin> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    // Outside of values, all names that are open are this block's type and labels.
    state.deepen(position(in.position()));
    Block made;
    made.at = state.names.front().at;
    made.type = std::move(state.names.front().name);
    for (std::size_t i = 1; i < state.names.size(); ++i)
      made.labels.push_back(std::move(state.names[i].name));
    made.body.at = made.at;
    state.names.clear();
    state.open.push_back(std::move(made));
  }
};
template <>
struct Action<block_end> {
  static void apply0(State& state) {
    auto made = std::move(state.open.back());
    state.open.pop_back();
    state.open.back().body.blocks.push_back(std::move(made));
  }
};

}  // namespace

const char* kind_of(const Value& value) {
  static constexpr const char* kNames[] = {"null",   "true or false", "a whole number", "a number",
                                           "a text", "a list",        "an object"};
  return kNames[value.is.index()];
}

Invalid::Invalid(const std::string& file, std::vector<Problem> found)
    : std::runtime_error([&] {
        std::string out;
        for (const auto& problem : found) {
          if (!out.empty()) out += '\n';
          out += file + ':' + std::to_string(problem.at.line) + ':' + std::to_string(problem.at.column) +
                 ": " + problem.text;
        }
        return out;
      }()),
      problems(std::move(found)) {}

Body parse(std::string_view text, const std::string& file) {
  if (text.size() > kMaxText)
    throw Invalid(file, {{{}, "is longer than " + std::to_string(kMaxText) + " bytes"}});
  if (text.starts_with("\xef\xbb\xbf")) text.remove_prefix(3);
  State state;
  state.open.emplace_back();
  const auto first = text.find_first_not_of(" \t\r\n");
  state.json = first != std::string_view::npos && text[first] == '{';
  peg::memory_input in(text.data(), text.size(), file);
  try {
    if (state.json) {
      peg::parse<json_file, Action, Control>(in, state);
      Body out;
      out.attributes = std::move(std::get<std::vector<Member>>(state.values.at(0).is));
      return out;
    }
    peg::parse<native_file, Action, Control>(in, state);
    return std::move(state.open.front().body);
  } catch (const Refused& refused) {
    throw Invalid(file, {refused.problem});
  }
}

}  // namespace bellstair::hcl
