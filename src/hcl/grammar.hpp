// The grammar of HCL's native syntax and of its JSON form, written as PEGTL rules.
#pragma once

#include <algorithm>
#include <string_view>
#include <tao/pegtl.hpp>

#include "hcl/parse_state.hpp"

namespace bellstair::hcl::grammar {
namespace peg = tao::pegtl;

struct LineComment
    : peg::seq<peg::sor<peg::one<'#'>, peg::string<'/', '/'>>, peg::until<peg::at<peg::eolf>>> {};
struct CommentEnd : peg::until<peg::string<'*', '/'>> {};
struct BlockComment : peg::if_must<peg::string<'/', '*'>, CommentEnd> {};
struct InlineSpace : peg::star<peg::sor<peg::blank, BlockComment>> {};  // no line ends, except in comments
struct Space : peg::star<peg::sor<peg::blank, peg::eol, LineComment, BlockComment>> {};

struct WordEnd : peg::not_at<peg::sor<peg::alnum, peg::one<'_', '-'>>> {};
struct Identifier
    : peg::seq<peg::sor<peg::alpha, peg::one<'_'>>, peg::star<peg::sor<peg::alnum, peg::one<'_', '-'>>>> {};

// Texts.
struct Hex4 : peg::rep<4, peg::xdigit> {};
struct Unicode : peg::list<peg::seq<peg::one<'u'>, Hex4>, peg::one<'\\'>> {};
struct LongUnicode : peg::seq<peg::one<'U'>, peg::rep<8, peg::xdigit>> {};
struct PlainEscape : peg::one<'"', '\\', 'n', 'r', 't'> {};
struct JsonEscape : peg::one<'/', 'b', 'f'> {};
struct EscapeRest : peg::sor<PlainEscape, JsonEscape, Unicode, LongUnicode> {};
struct Escape : peg::if_must<peg::one<'\\'>, EscapeRest> {};
struct PlainTemplate : peg::sor<peg::string<'$', '$', '{'>, peg::string<'%', '%', '{'>> {};
struct TemplateBegin : peg::sor<peg::string<'$', '{'>, peg::string<'%', '{'>> {};
struct PlainByte : peg::not_one<'"', '\\', '\n', '\r', '\0'> {};
struct TextBegin : peg::one<'"'> {};
struct TextEnd : peg::one<'"'> {};
struct TextBody : peg::seq<peg::star<peg::sor<Escape, PlainTemplate, TemplateBegin, PlainByte>>, TextEnd> {};
struct Text : peg::if_must<TextBegin, TextBody> {};

// A heredoc: <<WORD or <<-WORD, then lines of text, then a line with only the word.
struct HeredocDelimiter : Identifier {};
struct HeredocIndented : peg::string<'<', '<', '-'> {};
struct HeredocPlain : peg::string<'<', '<'> {};
struct HeredocEnd {
  using rule_t = HeredocEnd;
  using subs_t = peg::empty_list;
  template <peg::apply_mode, peg::rewind_mode, template <class...> class, template <class...> class,
            class Input>
  static bool match(Input& in, ParseState& state) {
    const std::string_view rest(in.current(), in.size(0));
    for (std::size_t at = 0; at < rest.size();) {
      const auto end = std::min(rest.find('\n', at), rest.size());
      auto line = rest.substr(at, end - at);
      if (line.ends_with('\r')) line.remove_suffix(1);
      const auto first = line.find_first_not_of(" \t");
      if (first != std::string_view::npos && line.substr(first) == state.heredoc_delimiter) {
        state.text = rest.substr(0, at);
        in.bump(at + line.size());
        return true;
      }
      at = end + 1;
    }
    return false;
  }
};
struct Heredoc
    : peg::if_must<peg::sor<HeredocIndented, HeredocPlain>, HeredocDelimiter, peg::eol, HeredocEnd> {};

struct Digits : peg::plus<peg::digit> {};
struct Fraction : peg::seq<peg::one<'.'>, Digits> {};
struct Exponent : peg::seq<peg::one<'e', 'E'>, peg::opt<peg::one<'+', '-'>>, Digits> {};
struct Integer : peg::seq<peg::opt<peg::one<'-'>>, Digits, peg::not_at<peg::one<'.', 'e', 'E'>>> {};
struct DecimalNumber : peg::seq<peg::opt<peg::one<'-'>>, Digits, peg::opt<Fraction>, peg::opt<Exponent>> {};
struct NumberEnd : WordEnd {};
struct Number : peg::seq<peg::sor<Integer, DecimalNumber>, peg::must<NumberEnd>> {};

struct LiteralTrue : peg::seq<peg::string<'t', 'r', 'u', 'e'>, WordEnd> {};
struct LiteralFalse : peg::seq<peg::string<'f', 'a', 'l', 's', 'e'>, WordEnd> {};
struct LiteralNull : peg::seq<peg::string<'n', 'u', 'l', 'l'>, WordEnd> {};

// HCL syntax that this program rejects. The rules exist to report it by name.
struct FunctionCall : peg::seq<Identifier, InlineSpace, peg::one<'('>> {};
struct ForExpression : peg::seq<peg::one<'[', '{'>, Space, peg::string<'f', 'o', 'r'>, WordEnd, peg::blank> {
};
struct Reference : peg::seq<Identifier, peg::star<peg::one<'.'>, Identifier>> {};
struct Operation : peg::sor<peg::one<'+', '*', '%', '?', '!', '<', '>', '(', '&', '|', '-'>,
                            peg::seq<peg::one<'/'>, peg::not_at<peg::one<'/', '*'>>>, peg::string<'=', '='>> {
};

struct ValueRule;
struct Element : peg::seq<ValueRule> {};
struct ListBegin : peg::one<'['> {};
struct ListEnd : peg::one<']'> {};
struct ListItems : peg::seq<Space,
                            peg::opt<peg::list<peg::seq<peg::not_at<ListEnd>, peg::must<Element>>,
                                               peg::seq<Space, peg::one<','>, Space>>>,
                            Space, peg::opt<peg::one<','>>, Space> {};
struct List : peg::if_must<ListBegin, ListItems, ListEnd> {};

struct KeyWord : Identifier {};
struct KeyText : Text {};
struct Key : peg::sor<KeyText, KeyWord> {};
struct AssignmentSign : peg::one<'=', ':'> {};
struct MemberValue : peg::seq<ValueRule> {};
struct ObjectBegin : peg::one<'{'> {};
struct ObjectEnd : peg::one<'}'> {};
struct Separator : peg::sor<peg::seq<InlineSpace, peg::one<','>, Space>,
                            peg::seq<InlineSpace, peg::opt<LineComment>, peg::eol, Space>> {};
struct MemberRule : peg::if_must<Key, InlineSpace, AssignmentSign, Space, MemberValue> {};
struct ObjectItems : peg::seq<Space, peg::opt<peg::list<MemberRule, Separator>>, peg::opt<Separator>, Space> {
};
struct Object : peg::if_must<ObjectBegin, ObjectItems, ObjectEnd> {};

struct ValueRule : peg::sor<ForExpression, Text, Heredoc, Number, LiteralTrue, LiteralFalse, LiteralNull,
                            List, Object, FunctionCall, Reference, Operation> {};

// A body consists of attributes and blocks. Each ends at the end of its line or of the enclosing block.
struct ItemEnd : peg::sor<peg::at<peg::one<'}'>>, peg::seq<peg::opt<LineComment>, peg::eolf>> {};
struct TrailingOperation : Operation {};
struct WithoutOperation : peg::opt<TrailingOperation> {};
struct AttributeValue : peg::seq<ValueRule> {};
struct Attribute : peg::if_must<peg::seq<peg::one<'='>, peg::not_at<peg::one<'='>>>, InlineSpace,
                                AttributeValue, InlineSpace, WithoutOperation, ItemEnd> {};
struct LabelWord : Identifier {};
struct LabelText : Text {};
struct Label : peg::sor<LabelText, LabelWord> {};
struct BlockBegin : peg::one<'{'> {};
struct BlockEnd : peg::one<'}'> {};
struct Items;
struct BlockHead : peg::seq<peg::star<Label, InlineSpace>, peg::must<BlockBegin>> {};
struct BlockRule : peg::if_must<peg::at<peg::sor<peg::one<'{', '"'>, peg::alpha>>, BlockHead, Items, BlockEnd,
                                InlineSpace, ItemEnd> {};
struct ItemName : Identifier {};
struct ItemRest : peg::sor<Attribute, BlockRule> {};
struct Item : peg::if_must<ItemName, InlineSpace, ItemRest> {};
struct Items : peg::seq<Space, peg::star<Item, Space>> {};

struct End : peg::eof {};
struct NativeFile : peg::seq<Items, peg::must<End>> {};
struct JsonFile : peg::seq<Space, Object, Space, peg::must<End>> {};

}  // namespace bellstair::hcl::grammar
