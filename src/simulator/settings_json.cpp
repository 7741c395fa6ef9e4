#include "simulator/settings_json.hpp"

#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace bellstair::simulator {
using namespace policy;
namespace {

using nlohmann::json;

[[noreturn]] void fail(const std::string& field, const char* problem) {
  throw SettingsError("settings: " + field + " " + problem);
}

const json& required(const json& in, const char* key) {
  if (!in.is_object()) fail(key, "is required, but its parent is not an object");
  const auto found = in.find(key);
  if (found == in.end() || found->is_null()) fail(key, "is missing");
  return *found;
}

const json* find(const json& in, const char* key) {
  const auto found = in.find(key);
  return found == in.end() || found->is_null() ? nullptr : &*found;
}

double number(const json& value, const char* key) {
  if (!value.is_number()) fail(key, "is not a number");
  return value.get<double>();
}

double number_or(const json& in, const char* key, double fallback) {
  const json* value = find(in, key);
  return value == nullptr ? fallback : number(*value, key);
}

template <std::integral T>
T integer(const json& value, const char* key) {
  if (value.is_number_unsigned()) {
    const auto unsigned_value = value.get<std::uint64_t>();
    if (unsigned_value <= static_cast<std::uint64_t>(std::numeric_limits<T>::max()))
      return static_cast<T>(unsigned_value);
  } else if (value.is_number_float()) {
    const double real = value.get<double>();
    if (real >= 0 && real <= static_cast<double>(std::numeric_limits<T>::max()) / 2)
      return static_cast<T>(real);
  }
  fail(key, "is not a whole number in range");
}

template <std::integral T>
T integer_or(const json& in, const char* key, T fallback) {
  const json* value = find(in, key);
  return value == nullptr ? fallback : integer<T>(*value, key);
}

Time time(const json& value, const char* key) { return Time(integer<std::int64_t>(value, key)); }

Time time_or(const json& in, const char* key, Time fallback) {
  const json* value = find(in, key);
  return value == nullptr ? fallback : time(*value, key);
}

bool flag(const json& value, const char* key) {
  if (!value.is_boolean()) fail(key, "is not true or false");
  return value.get<bool>();
}

bool flag_or(const json& in, const char* key, bool fallback) {
  const json* value = find(in, key);
  return value == nullptr ? fallback : flag(*value, key);
}

std::string string_or(const json& in, const char* key, const char* fallback) {
  const json* value = find(in, key);
  if (value == nullptr) return fallback;
  if (!value->is_string()) fail(key, "is not a string");
  return value->get<std::string>();
}

const json& list(const json& value, const char* key) {
  if (!value.is_array()) fail(key, "is not a list");
  return value;
}

template <class T>
struct EnumName {
  const char* text;
  T value;
};

template <class T, std::size_t N>
T enum_value(const std::string& text, const EnumName<T> (&names)[N], const char* key) {
  for (const auto& name : names) {
    if (text == name.text) return name.value;
  }
  fail(key, "has an unknown value");
}

constexpr EnumName<Idempotency> kIdempotencyNames[] = {{"safe", Idempotency::idempotent},
                                                       {"keyed", Idempotency::keyed},
                                                       {"unsafe", Idempotency::not_idempotent}};
constexpr EnumName<DeduplicationScope> kDeduplicationScopeNames[] = {
    {"all", DeduplicationScope::all}, {"zone", DeduplicationScope::zone}, {"cell", DeduplicationScope::cell}};
constexpr EnumName<MemoryShortage> kMemoryShortageNames[] = {{"line_up", MemoryShortage::wait},
                                                             {"cut", MemoryShortage::shrink},
                                                             {"overcommit", MemoryShortage::overcommit}};
constexpr EnumName<LoadReportField> kLoadReportFieldNames[] = {
    {"busy_reqs", LoadReportField::inflight}, {"pending", LoadReportField::queue},
    {"cpu_share", LoadReportField::util},     {"svc_ms", LoadReportField::latency_ms},
    {"served_ps", LoadReportField::served},   {"failed_ps", LoadReportField::failed},
    {"x0", LoadReportField::memory_share},    {"x1", LoadReportField::disk_share}};

std::optional<std::vector<std::uint16_t>> indexes_or_none(const json& in, const char* key) {
  const json* value = find(in, key);
  if (value == nullptr) return std::nullopt;
  std::vector<std::uint16_t> out;
  for (const json& item : list(*value, key)) out.push_back(integer<std::uint16_t>(item, key));
  return out;
}

ClassSettings parse_class(const json& in) {
  ClassSettings out;
  out.name = string_or(in, "name", "");
  out.latency_objective = time(required(in, "aim"), "classes[].aim");
  out.objective_stretch = number_or(in, "aim-stretch", 0);
  out.client_timeout = time(required(in, "give-up"), "classes[].give-up");
  out.priority_weight = number_or(in, "credit", 1);
  out.late_weight = number_or(in, "late-share", 0);
  out.idempotency =
      enum_value(string_or(in, "semantics", "unsafe"), kIdempotencyNames, "classes[].semantics");
  out.deduplication_scope =
      enum_value(string_or(in, "group", "all"), kDeduplicationScopeNames, "classes[].group");
  out.deduplication_window = time_or(in, "window", Time::zero());
  out.ordered_by_key = flag_or(in, "in-order", false);
  out.zones = indexes_or_none(in, "zones-allowed");
  out.kinds = indexes_or_none(in, "bound-to");
  return out;
}

// Calls `set` with the index and the value of each of the first `count` entries.
template <class Set>
void for_each_value(const json* values, std::size_t count, const char* key, Set set) {
  if (values == nullptr) return;
  list(*values, key);
  for (std::size_t i = 0; i < count && i < values->size(); ++i) set(i, (*values)[i]);
}

void parse_family_info(const json& in, Settings& out) {
  const auto classes = out.classes.size();
  const auto kinds = out.kinds.size();
  for_each_value(find(in, "width-by-class"), classes, "width-by-class",
                 [&](std::size_t i, const json& value) {
                   out.classes[i].threads = integer<unsigned>(value, "width-by-class");
                 });
  for_each_value(find(in, "loads"), classes, "loads", [&](std::size_t i, const json& value) {
    out.classes[i].locks_data_group = flag(value, "loads");
  });
  for_each_value(find(in, "class-waits"), classes, "class-waits", [&](std::size_t i, const json& value) {
    out.classes[i].waits_for_data_group = flag(value, "class-waits");
  });
  for_each_value(find(in, "cpu-of-kind"), kinds, "cpu-of-kind", [&](std::size_t i, const json& value) {
    out.kinds[i].cores = number(value, "cpu-of-kind");
  });
  for_each_value(find(in, "ram-of-kind-mb"), kinds, "ram-of-kind-mb", [&](std::size_t i, const json& value) {
    out.kinds[i].memory_mb = number(value, "ram-of-kind-mb");
  });
  out.memory_grants = flag_or(in, "grants", false);
  out.priorities = flag_or(in, "takes-priority", false);
  out.answers_report_cost = flag_or(in, "tells-cost", false);
  out.max_memory_grant_fraction = number_or(in, "max-grant-share", 1);
  out.progress_interval = time_or(in, "progress-pace", Time::zero());
  out.memory_shortage =
      enum_value(string_or(in, "out-of-memory", "line_up"), kMemoryShortageNames, "out-of-memory");
}

void parse_ceilings(const json& in, Settings& out) {
  out.max_attempts = integer_or<unsigned>(in, "max-attempts", 1);
  out.max_open_requests = integer_or<std::size_t>(in, "most-held", 0);
  out.may_cancel = flag_or(in, "cancel", false);
  out.may_health_check = flag_or(in, "probing", false);
  out.may_gossip = flag_or(in, "may-tell", false);
  out.hedging = flag_or(in, "second-copies", false);
  out.sends_retry_after = flag_or(in, "retry-after", false);
  out.max_retry_after = time_or(in, "max-retry-after", Time::zero());
}

void parse_safety(const json& in, Settings& out) {
  out.drain_grace = time_or(in, "drain-grace", Time::zero());
  out.answer_grace = time_or(in, "grace-to-answer", Time::zero());
  out.slow_start_capacity = number_or(in, "cold-from", 1);
  out.slow_start_duration = time_or(in, "ramp-time", Time::zero());
  out.slow_start_overload_factor = number_or(in, "tip-multiple", 0);
  out.slow_start_overload_window = time_or(in, "fall", Time::zero());
  out.ordering_key_hold = time_or(in, "turn-gap", Time::zero());
  out.ask_within = time_or(in, "ask-within", Time::zero());
  if (find(in, "resend-span") != nullptr) {
    out.retry_budget = RetryBudget{time_or(in, "resend-span", Time::zero()), number_or(in, "free-resends", 0),
                                   number_or(in, "further-ratio", 0)};
  }
}

void parse_report(const json& in, Settings& out) {
  const std::string mode = string_or(in, "how", "silent");
  out.answers_report_load = mode == "piggyback";
  if (mode == "silent") return;
  const json* fields = find(in, "fields");
  if (fields == nullptr) return;
  for (const json& field : list(*fields, "report.fields")) {
    if (!field.is_string()) fail("report.fields", "is not a list of strings");
    LoadReportField value = LoadReportField::unknown;
    for (const auto& name : kLoadReportFieldNames) {
      if (field.get<std::string>() == name.text) value = name.value;
    }
    out.load_report_fields.push_back(value);
  }
}

void parse_kinds(const json& in, Settings& out) {
  for (const json& item : list(in, "kinds")) {
    if (!item.is_string()) fail("kinds", "contains an entry that is not a string");
    out.kinds.push_back({item.get<std::string>(), 1, 0});
  }
}

void parse_tenants(const json& in, Settings& out) {
  for (const json& item : list(in, "tenants")) {
    if (!item.is_object()) fail("tenants", "contains an entry that is not an object");
    out.tenants.push_back(
        {string_or(item, "name", ""), number_or(item, "portion", 0), number_or(item, "quota-rps", 0)});
  }
}

}  // namespace

Settings parse_settings(std::string_view text) {
  return settings_from_json(json::parse(text, nullptr, false));
}

Settings settings_from_json(const json& in) {
  if (in.is_discarded() || !in.is_object()) throw SettingsError("settings: not a JSON object");
  Settings out;
  out.brokers = integer<unsigned>(required(in, "balancers"), "balancers");
  out.broker_index = integer_or<unsigned>(in, "me", 0);
  out.zone = integer_or<std::uint16_t>(in, "az", 0);
  out.min_call_interval = time_or(in, "step", out.min_call_interval);
  for (const json& item : list(required(in, "classes"), "classes")) out.classes.push_back(parse_class(item));
  parse_kinds(required(in, "kinds"), out);
  if (const json* tenants = find(in, "tenants"); tenants != nullptr) parse_tenants(*tenants, out);
  if (const json* zones = find(in, "zones"); zones != nullptr)
    out.zones = static_cast<unsigned>(list(*zones, "zones").size());
  out.over_quota_weight = number_or(in, "over-share-worth", 1);
  if (const json* prices = find(in, "prices"); prices != nullptr)
    out.cross_zone_cost = number_or(*prices, "cross-zone", 0);
  out.polls_endpoint_list = string_or(in, "membership-mode", "pushed") == "on_request";
  parse_ceilings(required(in, "ceilings"), out);
  parse_safety(required(in, "safety"), out);
  parse_family_info(required(in, "family-info"), out);
  if (const json* report = find(in, "report"); report != nullptr) parse_report(*report, out);
  return out;
}

}  // namespace bellstair::simulator
