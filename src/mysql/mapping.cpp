#include "mysql/mapping.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>

#include "sql/statement.hpp"

namespace bellstair::mysql {
namespace {

using Options = std::map<std::string, std::string, std::less<>>;

[[noreturn]] void wrong(const std::string& what) { throw Refusal{{kWrongArguments, "HY000", what}}; }

constexpr std::string_view kMark = "bellstair:";
constexpr std::string_view kSpace = " \t\r\n";

bool known(std::string_view name) {
  for (const auto* option : {"class", "limit", "unique", "item", "cpu", "ram", "second"}) {
    if (name == option) return true;
  }
  return false;
}

// `/* bellstair: class=load limit=20000 unique=?1 item=?2 */ INSERT ...`; ?N stands for the Nth value bound.
Options comment_options(std::string_view statement, const std::vector<sql::Value>& values) {
  Options out;
  statement.remove_prefix(std::min(statement.find_first_not_of(kSpace), statement.size()));
  if (statement.substr(0, 2) != "/*") return out;
  auto text = statement.substr(2, statement.find("*/") - 2);
  text.remove_prefix(std::min(text.find_first_not_of(kSpace), text.size()));
  if (text.substr(0, kMark.size()) != kMark) return out;
  text.remove_prefix(kMark.size());
  while (true) {
    text.remove_prefix(std::min(text.find_first_not_of(kSpace), text.size()));
    if (text.empty()) return out;
    const auto word = text.substr(0, text.find_first_of(kSpace));
    text.remove_prefix(word.size());
    const auto equals = word.find('=');
    if (equals == std::string_view::npos || !known(word.substr(0, equals)))
      wrong("the comment names no option: " + std::string(word));
    const auto name = word.substr(0, equals);
    auto value = word.substr(equals + 1);
    if (value.substr(0, 1) != "?") {
      out[std::string(name)] = value;
      continue;
    }
    value.remove_prefix(1);
    std::size_t index = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), index);
    if (error != std::errc() || end != value.data() + value.size() || index == 0 || index > values.size())
      wrong("the comment names a value that is not bound: " + std::string(word));
    if (const auto bound = sql::as_text(values[index - 1])) out[std::string(name)] = *bound;
  }
}

double number(const Options& options, const char* name, double otherwise) {
  const auto found = options.find(name);
  if (found == options.end()) return otherwise;
  const auto& text = found->second;
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !(value >= 0 && value <= 1e9))
    wrong(std::string(name) + " is not a number in range");
  return value;
}

bool reads(std::string_view statement) {
  const auto word = sql::first_word(statement);
  return word == "select" || word == "with" || word == "show" || word == "values" || word == "table";
}

core::ClassIndex class_of(const Options& options, std::string_view statement, const config::Names& names,
                          const policy::Settings& settings) {
  if (const auto given = options.find("class"); given != options.end()) {
    const auto found = names.classes.find(given->second);
    if (found == names.classes.end()) wrong("class is in no settings: " + given->second);
    return found->second;
  }
  // A statement that only reads may go without: it is of the first class that is safe to repeat.
  const auto safe = std::ranges::find(settings.classes, policy::Idempotency::idempotent,
                                      &policy::ClassSettings::idempotency);
  if (!reads(statement) || safe == settings.classes.end()) wrong("class is missing");
  return static_cast<core::ClassIndex>(safe - settings.classes.begin());
}

}  // namespace

core::Submission map_statement(std::string_view statement, const std::vector<sql::Value>& values,
                               const std::vector<Attribute>& attributes, std::uint32_t tenant,
                               const config::Names& names, const policy::Settings& settings) {
  auto options = comment_options(statement, values);
  for (const auto& attribute : attributes) {
    // Drivers send attributes of their own too: those are no concern of ours.
    if (const auto value = sql::as_text(attribute.value); value && known(attribute.name))
      options[attribute.name] = *value;
  }
  core::Submission out;
  out.cls = class_of(options, statement, names, settings);
  const auto& cls = settings.classes.at(out.cls);
  out.tenant = tenant;
  const double most = std::chrono::duration<double, std::milli>(cls.client_timeout).count();
  out.time_limit = core::Time(static_cast<std::int64_t>(number(options, "limit", most) * 1e6));
  if (options.contains("cpu"))
    out.estimated_work = core::Time(static_cast<std::int64_t>(number(options, "cpu", 0) * 1e6));
  out.estimated_memory_mb = number(options, "ram", 0);
  out.is_client_retry = number(options, "second", 0) != 0;
  out.idempotency_key = options["unique"];
  const auto fine = [](unsigned char c) { return c > 0x20 && c < 0x7f; };
  if (out.idempotency_key.size() > 128 || !std::ranges::all_of(out.idempotency_key, fine))
    wrong("unique holds what no key may hold");
  // Without a key of the client's, its own repeat could not be told from a new request.
  if (cls.idempotency == policy::Idempotency::keyed && out.idempotency_key.empty())
    wrong("unique is missing: " + cls.name + " needs it");
  if (const auto& item = options["item"]; !item.empty()) {
    const auto [end, error] = std::from_chars(item.data(), item.data() + item.size(), out.ordering_key, 16);
    if (error != std::errc() || end != item.data() + item.size()) wrong("item is not up to 16 hex digits");
  }
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
