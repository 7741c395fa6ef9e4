#include "mysql/mapping.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>

#include "sql/statement.hpp"

namespace bellstair::mysql {
namespace {

using Options = std::map<std::string, std::string, std::less<>>;

[[noreturn]] void reject(const std::string& reason) {
  throw InvalidStatement{{kWrongArguments, "HY000", reason}};
}

constexpr std::string_view kCommentPrefix = "bellstair:";
constexpr std::string_view kWhitespace = " \t\r\n";
constexpr std::size_t kMaxIdempotencyKey = 128;  // bytes
constexpr double kMaxNumber = 1e9;

bool is_option(std::string_view name) {
  for (const auto* option : {"class", "limit", "unique", "item", "cpu", "ram", "second"}) {
    if (name == option) return true;
  }
  return false;
}

void skip_whitespace(std::string_view& text) {
  text.remove_prefix(std::min(text.find_first_not_of(kWhitespace), text.size()));
}

// The text after the prefix in the statement's leading comment; empty if there is none.
std::string_view comment_text(std::string_view statement) {
  skip_whitespace(statement);
  if (!statement.starts_with("/*")) return {};
  auto text = statement.substr(2, statement.find("*/") - 2);
  skip_whitespace(text);
  if (!text.starts_with(kCommentPrefix)) return {};
  text.remove_prefix(kCommentPrefix.size());
  return text;
}

// Returns the bound value that `reference` names: `?N`, where N counts from 1. `word`: the option as written,
// for error messages.
const sql::Value& bound_value(std::string_view reference, const std::vector<sql::Value>& values,
                              std::string_view word) {
  const auto digits = reference.substr(1);
  std::size_t index = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), index);
  if (error != std::errc() || end != digits.data() + digits.size() || index == 0 || index > values.size())
    reject("the comment names a value that is not bound: " + std::string(word));
  return values[index - 1];
}

// The value of an option: text in the comment, or a bound value.
struct OptionSource {
  std::string_view text;
  const sql::Value* bound = nullptr;
};

// `/* bellstair: class=load limit=20000 unique=?1 item=?2 */ INSERT ...`
// Bound values are copied only once all options are known: a comment may refer to a long one many times.
Options comment_options(std::string_view statement, const std::vector<sql::Value>& values) {
  std::map<std::string_view, OptionSource> sources;
  auto text = comment_text(statement);
  for (skip_whitespace(text); !text.empty(); skip_whitespace(text)) {
    const auto word = text.substr(0, text.find_first_of(kWhitespace));
    text.remove_prefix(word.size());
    const auto equals = word.find('=');
    if (equals == std::string_view::npos || !is_option(word.substr(0, equals)))
      reject("the comment names no option: " + std::string(word));
    const auto value = word.substr(equals + 1);
    const auto* bound = value.starts_with('?') ? &bound_value(value, values, word) : nullptr;
    if (bound != nullptr && std::holds_alternative<sql::Null>(*bound)) continue;
    sources[word.substr(0, equals)] = {value, bound};
  }
  Options out;
  for (const auto& [name, source] : sources)
    out[std::string(name)] =
        source.bound == nullptr ? std::string(source.text) : sql::as_text(*source.bound).value_or("");
  return out;
}

double number_or(const Options& options, const char* name, double fallback) {
  const auto found = options.find(name);
  if (found == options.end()) return fallback;
  const auto& text = found->second;
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !(value >= 0 && value <= kMaxNumber))
    reject(std::string(name) + " is not a number in range");
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
    if (found == names.classes.end()) reject("class is in no settings: " + given->second);
    return found->second;
  }
  // A read-only statement needs no class option: it gets the first idempotent class.
  const auto idempotent_class = std::ranges::find(settings.classes, policy::Idempotency::idempotent,
                                                  &policy::ClassSettings::idempotency);
  if (!is_read_only(statement) || idempotent_class == settings.classes.end()) reject("class is missing");
  return static_cast<core::ClassIndex>(idempotent_class - settings.classes.begin());
}

core::Time milliseconds(double value) { return core::Time(static_cast<std::int64_t>(value * 1e6)); }

std::string idempotency_key(const std::string& key, const policy::ClassSettings& cls) {
  const auto allowed = [](unsigned char c) { return c > 0x20 && c < 0x7f; };
  if (key.size() > kMaxIdempotencyKey || !std::ranges::all_of(key, allowed))
    reject("unique holds what no key may hold");
  // Without a key, a retry by the client could not be distinguished from a new request.
  if (cls.idempotency == policy::Idempotency::keyed && key.empty())
    reject("unique is missing: " + cls.name + " needs it");
  return key;
}

// 0 if the option is absent.
std::uint64_t ordering_key(const std::string& digits) {
  std::uint64_t key = 0;
  if (digits.empty()) return key;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), key, 16);
  if (error != std::errc() || end != digits.data() + digits.size()) reject("item is not up to 16 hex digits");
  return key;
}

}  // namespace

core::Submission map_statement(std::string_view statement, const std::vector<sql::Value>& values,
                               const std::vector<Attribute>& attributes, std::uint32_t tenant,
                               const config::Names& names, const policy::Settings& settings) {
  auto options = comment_options(statement, values);
  for (const auto& attribute : attributes) {
    // Attributes that drivers add on their own are ignored.
    if (const auto value = sql::as_text(attribute.value); value && is_option(attribute.name))
      options[attribute.name] = *value;
  }
  core::Submission out;
  out.cls = class_of(options, statement, names, settings);
  const auto& cls = settings.classes.at(out.cls);
  out.tenant = tenant;
  const double client_timeout_ms = std::chrono::duration<double, std::milli>(cls.client_timeout).count();
  out.time_limit = milliseconds(number_or(options, "limit", client_timeout_ms));
  if (options.contains("cpu")) out.estimated_work = milliseconds(number_or(options, "cpu", 0));
  out.estimated_memory_mb = number_or(options, "ram", 0);
  out.is_client_retry = number_or(options, "second", 0) != 0;
  out.idempotency_key = idempotency_key(options["unique"], cls);
  out.ordering_key = ordering_key(options["item"]);
  out.body = statement;
  if (!values.empty()) out.parameters = sql::pack(values);
  out.data_group = sql::table_group(statement);
  return out;
}

Error error_of(const core::Answer& answer) {
  const auto detail = answer.body.empty() ? std::string() : ": " + answer.body;
  switch (answer.kind) {
    case core::AnswerKind::rejected: {
      const auto retry_after_ms =
          std::chrono::duration_cast<std::chrono::milliseconds>(answer.retry_after).count();
      // To drivers, 40001 means that nothing was executed and that the statement can be retried.
      return {kRejected, "40001",
              "refused; come back after " + std::to_string(retry_after_ms) + " ms" + detail};
    }
    case core::AnswerKind::timed_out:
      return {kTimedOut, "HYT00", "timed out; it may have run" + detail};
    case core::AnswerKind::failed:
    case core::AnswerKind::served:
      break;
  }
  return {kFailed, "HY000", "failed; it may have run" + detail};
}

}  // namespace bellstair::mysql
