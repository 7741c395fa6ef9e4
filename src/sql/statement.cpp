#include "sql/statement.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <string>

namespace bellstair::sql {
namespace {

enum class Kind { name, quoted, string, dot, placeholder, other, end };
struct Token {
  Kind kind = Kind::end;
  std::string_view text;  // without quotes
};

bool is_name_char(char c) {
  const auto u = static_cast<unsigned char>(c);
  return std::isalnum(u) != 0 || c == '_' || c == '$' || u >= 0x80;
}

class Scanner {
 public:
  explicit Scanner(std::string_view in) : in_(in) {}

  Token next() {
    skip_whitespace_and_comments();
    if (position_ >= in_.size()) return {};
    const char c = in_[position_];
    if (c == '\'') return {Kind::string, quoted(c)};
    if (c == '"') return {Kind::quoted, quoted(c)};  // a name or a string, depending on the dialect
    if (c == '`') return {Kind::name, quoted(c)};
    const auto begin = position_++;
    if (c == '?') return {Kind::placeholder, in_.substr(begin, 1)};
    if (c == '.') return {Kind::dot, "."};
    if (!is_name_char(c)) return {Kind::other, in_.substr(begin, 1)};
    while (position_ < in_.size() && is_name_char(in_[position_])) ++position_;
    return {Kind::name, in_.substr(begin, position_ - begin)};
  }

 private:
  [[nodiscard]] bool next_is(std::string_view text) const {
    return in_.substr(position_, text.size()) == text;
  }

  void skip_whitespace_and_comments() {
    while (position_ < in_.size()) {
      if (std::isspace(static_cast<unsigned char>(in_[position_])) != 0) {
        ++position_;
      } else if (next_is("--") || next_is("#")) {
        position_ = std::min(in_.find('\n', position_), in_.size());
      } else if (next_is("/*")) {
        const auto end = in_.find("*/", position_ + 2);
        position_ = end == std::string_view::npos ? in_.size() : end + 2;
      } else {
        return;
      }
    }
  }

  std::string_view quoted(char quote) {
    const auto begin = ++position_;
    for (; position_ < in_.size(); ++position_) {
      if (in_[position_] == '\\' && quote != '`') {
        ++position_;
      } else if (in_[position_] == quote) {
        if (position_ + 1 >= in_.size() || in_[position_ + 1] != quote) break;
        ++position_;  // a doubled quote is a part of the string
      }
    }
    const auto end = std::min(position_, in_.size());
    position_ = std::min(position_ + 1, in_.size());
    return in_.substr(begin, end - begin);
  }

  std::string_view in_;
  std::size_t position_ = 0;
};

std::optional<std::int64_t> group_of(std::string_view schema) {
  const auto underscore = schema.rfind('_');
  if (underscore == std::string_view::npos) return std::nullopt;
  const auto digits = schema.substr(underscore + 1);
  std::int64_t group = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), group);
  if (digits.empty() || error != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
  return group;
}

bool equals_ignoring_case(std::string_view a, std::string_view lower) {
  return std::ranges::equal(a, lower,
                            [](char x, char y) { return std::tolower(static_cast<unsigned char>(x)) == y; });
}

bool precedes_table(std::string_view word) {
  for (const auto* keyword : {"from", "join", "into", "update", "table", "ignore", "replace"}) {
    if (equals_ignoring_case(word, keyword)) return true;
  }
  return false;
}

}  // namespace

std::vector<std::size_t> placeholders(std::string_view statement) {
  Scanner scanner(statement);
  std::vector<std::size_t> out;
  for (auto token = scanner.next(); token.kind != Kind::end; token = scanner.next()) {
    if (token.kind == Kind::placeholder)
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
  // The first group that was found where the schema could also qualify a column or function.
  std::optional<std::int64_t> possible_group;
  Token last;
  Token token = scanner.next();
  while (token.kind != Kind::end) {
    const Token previous = last;
    last = token;
    const bool name = token.kind == Kind::name || token.kind == Kind::quoted;
    Token after = scanner.next();
    if (name && after.kind == Kind::dot && previous.kind != Kind::dot) {
      if (const auto group = group_of(token.text); group && !equals_ignoring_case(token.text, "staging")) {
        if (previous.kind == Kind::name && precedes_table(previous.text)) return *group;
        if (!possible_group) possible_group = group;
      }
    }
    token = after;
  }
  return possible_group.value_or(0);
}

}  // namespace bellstair::sql
