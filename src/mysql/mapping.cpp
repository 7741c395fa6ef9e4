#include "mysql/mapping.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>

#include "sql/statement.hpp"

namespace bellstair::mysql {
namespace {

using Options = std::map<std::string, std::string, std::less<>>;

[[noreturn]] void refuse(const std::string& what) {
  throw InvalidStatement{{kWrongArguments, "HY000", what}};
}

constexpr std::string_view kCommentMark = "bellstair:";
constexpr std::string_view kSpace = " \t\r\n";
constexpr std::size_t kMaxIdempotencyKey = 128;  // bytes
constexpr double kMaxNumber = 1e9;

bool is_option(std::string_view name) {
  for (const auto* option : {"class", "limit", "unique", "item", "cpu", "ram", "second"}) {
    if (name == option) return true;
  }
  return false;
}

void skip_space(std::string_view& text) {
  text.remove_prefix(std::min(text.find_first_not_of(kSpace), text.size()));
}

// The text after the mark in the comment that the statement begins with; empty if there is none.
std::string_view comment_text(std::string_view statement) {
  skip_space(statement);
  if (!statement.starts_with("/*")) return {};
  auto text = statement.substr(2, statement.find("*/") - 2);
  skip_space(text);
  if (!text.starts_with(kCommentMark)) return {};
  text.remove_prefix(kCommentMark.size());
  return text;
}

// The bound value that `?N` stands for, counted from 1. `word`: the option as written, for errors.
const sql::Value& bound_value(std::string_view reference, const std::vector<sql::Value>& values,
                              std::string_view word) {
  const auto digits = reference.substr(1);
  std::size_t index = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), index);
  if (error != std::errc() || end != digits.data() + digits.size() || index == 0 || index > values.size())
    refuse("the comment names a value that is not bound: " + std::string(word));
  return values[index - 1];
}

// `/* bellstair: class=load limit=20000 unique=?1 item=?2 */ INSERT ...`
Options comment_options(std::string_view statement, const std::vector<sql::Value>& values) {
  Options out;
  auto text = comment_text(statement);
  for (skip_space(text); !text.empty(); skip_space(text)) {
    const auto word = text.substr(0, text.find_first_of(kSpace));
    text.remove_prefix(word.size());
    const auto equals = word.find('=');
    if (equals == std::string_view::npos || !is_option(word.substr(0, equals)))
      refuse("the comment names no option: " + std::string(word));
    const std::string name(word.substr(0, equals));
    const auto value = word.substr(equals + 1);
    if (!value.starts_with('?')) {
      out[name] = value;
    } else if (const auto bound = sql::as_text(bound_value(value, values, word))) {
      out[name] = *bound;
    }
  }
  return out;
}

double number(const Options& options, const char* name, double fallback) {
  const auto found = options.find(name);
  if (found == options.end()) return fallback;
  const auto& text = found->second;
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !(value >= 0 && value <= kMaxNumber))
    refuse(std::string(name) + " is not a number in range");
  return value;
}

bool is_read_only(std::string_view statement) {
  const auto word = sql::first_word(statement);
  return word == "select" || word == "with" || word == "show" || word == "values" || word == "table";
}

core::ClassIndex class_of(const Options& options, std::string_view statement, const config::Names& names,
                          const policy::Settings& settings) {
  if (const auto given = options.find("class"); given != options.end()) {
    const auto found = names.classes.find(given->second);
    if (found == names.classes.end()) refuse("class is in no settings: " + given->second);
    return found->second;
  }
  // A statement that only reads needs none: it is of the first idempotent class.
  const auto safe = std::ranges::find(settings.classes, policy::Idempotency::idempotent,
                                      &policy::ClassSettings::idempotency);
  if (!is_read_only(statement) || safe == settings.classes.end()) refuse("class is missing");
  return static_cast<core::ClassIndex>(safe - settings.classes.begin());
}

core::Time milliseconds(double value) { return core::Time(static_cast<std::int64_t>(value * 1e6)); }

std::string idempotency_key(const std::string& key, const policy::ClassSettings& cls) {
  const auto allowed = [](unsigned char c) { return c > 0x20 && c < 0x7f; };
  if (key.size() > kMaxIdempotencyKey || !std::ranges::all_of(key, allowed))
    refuse("unique holds what no key may hold");
  // Without a key of the client's, its own repeat could not be told from a new request.
  if (cls.idempotency == policy::Idempotency::keyed && key.empty())
    refuse("unique is missing: " + cls.name + " needs it");
  return key;
}

// 0 if the option is not given.
std::uint64_t ordering_key(const std::string& digits) {
  std::uint64_t key = 0;
  if (digits.empty()) return key;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), key, 16);
  if (error != std::errc() || end != digits.data() + digits.size()) refuse("item is not up to 16 hex digits");
  return key;
}

}  // namespace

core::Submission map_statement(std::string_view statement, const std::vector<sql::Value>& values,
                               const std::vector<Attribute>& attributes, std::uint32_t tenant,
                               const config::Names& names, const policy::Settings& settings) {
  auto options = comment_options(statement, values);
  for (const auto& attribute : attributes) {
    // Drivers send attributes of their own too, which are ignored.
    if (const auto value = sql::as_text(attribute.value); value && is_option(attribute.name))
      options[attribute.name] = *value;
  }
  core::Submission out;
  out.cls = class_of(options, statement, names, settings);
  const auto& cls = settings.classes.at(out.cls);
  out.tenant = tenant;
  const double most = std::chrono::duration<double, std::milli>(cls.client_timeout).count();
  out.time_limit = milliseconds(number(options, "limit", most));
  if (options.contains("cpu")) out.estimated_work = milliseconds(number(options, "cpu", 0));
  out.estimated_memory_mb = number(options, "ram", 0);
  out.is_client_retry = number(options, "second", 0) != 0;
  out.idempotency_key = idempotency_key(options["unique"], cls);
  out.ordering_key = ordering_key(options["item"]);
  out.body = statement;
  if (!values.empty()) out.parameters = sql::pack(values);
  out.data_group = sql::table_group(statement);
  return out;
}

Error error_of(const core::Answer& answer) {
  const auto more = answer.body.empty() ? std::string() : ": " + answer.body;
  switch (answer.kind) {
    case core::AnswerKind::rejected: {
      const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(answer.retry_after).count();
      // 40001: drivers know it as "nothing has happened, try again".
      return {kRefused, "40001", "refused; come back after " + std::to_string(pause) + " ms" + more};
    }
    case core::AnswerKind::timed_out:
      return {kTimedOut, "HYT00", "timed out; it may have run" + more};
    case core::AnswerKind::failed:
    case core::AnswerKind::served:
      break;
  }
  return {kFailed, "HY000", "failed; it may have run" + more};
}

}  // namespace bellstair::mysql
