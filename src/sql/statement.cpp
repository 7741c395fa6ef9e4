#include "sql/statement.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <string>

namespace bellstair::sql {
namespace {

enum class Kind { name, quoted, text, dot, mark, other, end };
struct Token {
  Kind kind = Kind::end;
  std::string_view text;  // without quotes
};

bool name_char(char c) {
  const auto u = static_cast<unsigned char>(c);
  return std::isalnum(u) != 0 || c == '_' || c == '$' || u >= 0x80;
}

class Scanner {
 public:
  explicit Scanner(std::string_view in) : in_(in) {}

  Token next() {
    skip();
    if (at_ >= in_.size()) return {};
    const char c = in_[at_];
    if (c == '\'') return {Kind::text, quoted(c)};
    if (c == '"') return {Kind::quoted, quoted(c)};  // a name or a text, as the dialect has it
    if (c == '`') return {Kind::name, quoted(c)};
    const auto begin = at_++;
    if (c == '?') return {Kind::mark, in_.substr(begin, 1)};
    if (c == '.') return {Kind::dot, "."};
    if (!name_char(c)) return {Kind::other, in_.substr(begin, 1)};
    while (at_ < in_.size() && name_char(in_[at_])) ++at_;
    return {Kind::name, in_.substr(begin, at_ - begin)};
  }

 private:
  [[nodiscard]] bool here(std::string_view what) const { return in_.substr(at_, what.size()) == what; }

  // White space and comments.
  void skip() {
    while (at_ < in_.size()) {
      if (std::isspace(static_cast<unsigned char>(in_[at_])) != 0) {
        ++at_;
      } else if (here("--") || here("#")) {
        at_ = std::min(in_.find('\n', at_), in_.size());
      } else if (here("/*")) {
        const auto end = in_.find("*/", at_ + 2);
        at_ = end == std::string_view::npos ? in_.size() : end + 2;
      } else {
        return;
      }
    }
  }

  std::string_view quoted(char quote) {
    const auto begin = ++at_;
    for (; at_ < in_.size(); ++at_) {
      if (in_[at_] == '\\' && quote != '`') {
        ++at_;
      } else if (in_[at_] == quote) {
        if (at_ + 1 >= in_.size() || in_[at_ + 1] != quote) break;
        ++at_;  // doubled: part of the text
      }
    }
    const auto end = std::min(at_, in_.size());
    at_ = std::min(at_ + 1, in_.size());
    return in_.substr(begin, end - begin);
  }

  std::string_view in_;
  std::size_t at_ = 0;
};

std::optional<std::int64_t> group_of(std::string_view schema) {
  const auto line = schema.rfind('_');
  if (line == std::string_view::npos) return std::nullopt;
  const auto digits = schema.substr(line + 1);
  std::int64_t group = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), group);
  if (digits.empty() || error != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
  return group;
}

bool same(std::string_view a, std::string_view lower) {
  return std::ranges::equal(a, lower,
                            [](char x, char y) { return std::tolower(static_cast<unsigned char>(x)) == y; });
}

bool leads_to_table(std::string_view word) {
  for (const auto* lead : {"from", "join", "into", "update", "table", "ignore", "replace"}) {
    if (same(word, lead)) return true;
  }
  return false;
}

}  // namespace

std::vector<std::size_t> placeholders(std::string_view statement) {
  Scanner scanner(statement);
  std::vector<std::size_t> out;
  for (auto token = scanner.next(); token.kind != Kind::end; token = scanner.next()) {
    if (token.kind == Kind::mark)
      out.push_back(static_cast<std::size_t>(token.text.data() - statement.data()));
  }
  return out;
}

std::string first_word(std::string_view statement) {
  Scanner scanner(statement);
  auto token = scanner.next();
  while (token.kind == Kind::other && token.text == "(") token = scanner.next();
  std::string out(token.kind == Kind::name ? token.text : std::string_view());
  std::ranges::transform(out, out.begin(), [](unsigned char c) { return std::tolower(c); });
  return out;
}

std::int64_t table_group(std::string_view statement) {
  Scanner scanner(statement);
  std::optional<std::int64_t> elsewhere;  // the first in a place where a column or a function could stand too
  Token last;
  Token token = scanner.next();
  while (token.kind != Kind::end) {
    const Token before = last;
    last = token;
    const bool name = token.kind == Kind::name || token.kind == Kind::quoted;
    Token after = scanner.next();
    if (name && after.kind == Kind::dot && before.kind != Kind::dot) {
      if (const auto group = group_of(token.text); group && !same(token.text, "staging")) {
        if (before.kind == Kind::name && leads_to_table(before.text)) return *group;
        if (!elsewhere) elsewhere = group;
      }
    }
    token = after;
  }
  return elsewhere.value_or(0);
}

}  // namespace bellstair::sql
