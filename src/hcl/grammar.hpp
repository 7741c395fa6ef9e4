// The grammar of HCL's native syntax and of its JSON form, as rules of PEGTL.
#pragma once

#include <algorithm>
#include <string_view>
#include <tao/pegtl.hpp>

#include "hcl/parse_state.hpp"

namespace bellstair::hcl::grammar {
namespace peg = tao::pegtl;

struct line_comment
    : peg::seq<peg::sor<peg::one<'#'>, peg::string<'/', '/'>>, peg::until<peg::at<peg::eolf>>> {};
struct comment_end : peg::until<peg::string<'*', '/'>> {};
struct block_comment : peg::if_must<peg::string<'/', '*'>, comment_end> {};
struct inline_space : peg::star<peg::sor<peg::blank, block_comment>> {};  // within a line
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
struct text_body
    : peg::seq<peg::star<peg::sor<escape, plain_template, template_begin, plain_byte>>, text_end> {};
struct text : peg::if_must<text_begin, text_body> {};

// <<WORD or <<-WORD, lines, and a line that holds the word alone.
struct heredoc_delimiter : identifier {};
struct heredoc_indented : peg::string<'<', '<', '-'> {};
struct heredoc_plain : peg::string<'<', '<'> {};
struct heredoc_end {
  using rule_t = heredoc_end;
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
struct heredoc
    : peg::if_must<peg::sor<heredoc_indented, heredoc_plain>, heredoc_delimiter, peg::eol, heredoc_end> {};

struct digits : peg::plus<peg::digit> {};
struct fraction : peg::seq<peg::one<'.'>, digits> {};
struct exponent : peg::seq<peg::one<'e', 'E'>, peg::opt<peg::one<'+', '-'>>, digits> {};
struct integer : peg::seq<peg::opt<peg::one<'-'>>, digits, peg::not_at<peg::one<'.', 'e', 'E'>>> {};
struct decimal_number : peg::seq<peg::opt<peg::one<'-'>>, digits, peg::opt<fraction>, peg::opt<exponent>> {};
struct number_end : word_end {};
struct number : peg::seq<peg::sor<integer, decimal_number>, peg::must<number_end>> {};

struct literal_true : peg::seq<peg::string<'t', 'r', 'u', 'e'>, word_end> {};
struct literal_false : peg::seq<peg::string<'f', 'a', 'l', 's', 'e'>, word_end> {};
struct literal_null : peg::seq<peg::string<'n', 'u', 'l', 'l'>, word_end> {};

// What HCL allows and this program does not.
struct function_call : peg::seq<identifier, inline_space, peg::one<'('>> {};
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
struct assignment_sign : peg::one<'=', ':'> {};
struct member_value : peg::seq<value> {};
struct object_begin : peg::one<'{'> {};
struct object_end : peg::one<'}'> {};
struct separator : peg::sor<peg::seq<inline_space, peg::one<','>, space>,
                            peg::seq<inline_space, peg::opt<line_comment>, peg::eol, space>> {};
struct member : peg::if_must<key, inline_space, assignment_sign, space, member_value> {};
struct object_items : peg::seq<space, peg::opt<peg::list<member, separator>>, peg::opt<separator>, space> {};
struct object : peg::if_must<object_begin, object_items, object_end> {};

struct value : peg::sor<for_expression, text, heredoc, number, literal_true, literal_false, literal_null,
                        list, object, function_call, reference, operation> {};

// A body: attributes and blocks, each ended by its line's end or by the end of the block around it.
struct item_end : peg::sor<peg::at<peg::one<'}'>>, peg::seq<peg::opt<line_comment>, peg::eolf>> {};
struct trailing_operation : operation {};
struct without_operation : peg::opt<trailing_operation> {};
struct attribute_value : peg::seq<value> {};
struct attribute : peg::if_must<peg::seq<peg::one<'='>, peg::not_at<peg::one<'='>>>, inline_space,
                                attribute_value, inline_space, without_operation, item_end> {};
struct label_word : identifier {};
struct label_text : text {};
struct label : peg::sor<label_text, label_word> {};
struct block_begin : peg::one<'{'> {};
struct block_end : peg::one<'}'> {};
struct items;
struct block_head : peg::seq<peg::star<label, inline_space>, peg::must<block_begin>> {};
struct block : peg::if_must<peg::at<peg::sor<peg::one<'{', '"'>, peg::alpha>>, block_head, items, block_end,
                            inline_space, item_end> {};
struct item_name : identifier {};
struct item_rest : peg::sor<attribute, block> {};
struct item : peg::if_must<item_name, inline_space, item_rest> {};
struct items : peg::seq<space, peg::star<item, space>> {};

struct end : peg::eof {};
struct native_file : peg::seq<items, peg::must<end>> {};
struct json_file : peg::seq<space, object, space, peg::must<end>> {};

}  // namespace bellstair::hcl::grammar
