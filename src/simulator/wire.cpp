#include "simulator/wire.hpp"

#include <algorithm>
#include <bit>
#include <concepts>
#include <limits>
#include <nlohmann/json.hpp>

namespace bellstair::simulator {
using namespace policy;
namespace {

using nlohmann::json;

// ---- settings -----------------------------------------------------------------------------------------

[[noreturn]] void bad(const std::string& field, const char* what) {
  throw Malformed("settings: " + field + " " + what);
}

const json& need(const json& in, const char* key) {
  if (!in.is_object()) bad(key, "is looked for in something that is no object");
  const auto found = in.find(key);
  if (found == in.end() || found->is_null()) bad(key, "is missing");
  return *found;
}

const json* find(const json& in, const char* key) {
  const auto found = in.find(key);
  return found == in.end() || found->is_null() ? nullptr : &*found;
}

double number(const json& value, const char* key) {
  if (!value.is_number()) bad(key, "is not a number");
  return value.get<double>();
}

double number_or(const json& in, const char* key, double otherwise) {
  const json* value = find(in, key);
  return value == nullptr ? otherwise : number(*value, key);
}

template <std::integral T>
T whole(const json& value, const char* key) {
  if (value.is_number_unsigned()) {
    const auto v = value.get<std::uint64_t>();
    if (v <= static_cast<std::uint64_t>(std::numeric_limits<T>::max())) return static_cast<T>(v);
  } else if (value.is_number_float()) {
    const double v = value.get<double>();
    if (v >= 0 && v <= static_cast<double>(std::numeric_limits<T>::max()) / 2) return static_cast<T>(v);
  }
  bad(key, "is not a whole number in range");
}

template <std::integral T>
T whole_or(const json& in, const char* key, T otherwise) {
  const json* value = find(in, key);
  return value == nullptr ? otherwise : whole<T>(*value, key);
}

Time time(const json& value, const char* key) { return Time(whole<std::int64_t>(value, key)); }

Time time_or(const json& in, const char* key, Time otherwise) {
  const json* value = find(in, key);
  return value == nullptr ? otherwise : time(*value, key);
}

bool flag_or(const json& in, const char* key, bool otherwise) {
  const json* value = find(in, key);
  if (value == nullptr) return otherwise;
  if (!value->is_boolean()) bad(key, "is not true or false");
  return value->get<bool>();
}

std::string text_or(const json& in, const char* key, const char* otherwise) {
  const json* value = find(in, key);
  if (value == nullptr) return otherwise;
  if (!value->is_string()) bad(key, "is not a text");
  return value->get<std::string>();
}

const json& list(const json& value, const char* key) {
  if (!value.is_array()) bad(key, "is not a list");
  return value;
}

template <class T>
struct Word {
  const char* text;
  T value;
};

template <class T, std::size_t N>
T one_of(const std::string& text, const Word<T> (&words)[N], const char* key) {
  for (const auto& word : words) {
    if (text == word.text) return word.value;
  }
  bad(key, "holds an unknown word");
}

constexpr Word<Idempotency> kEffects[] = {{"safe", Idempotency::idempotent},
                                          {"keyed", Idempotency::keyed},
                                          {"unsafe", Idempotency::not_idempotent}};
constexpr Word<DeduplicationScope> kGroups[] = {
    {"all", DeduplicationScope::all}, {"zone", DeduplicationScope::zone}, {"cell", DeduplicationScope::cell}};
constexpr Word<MemoryShortage> kShortages[] = {{"line_up", MemoryShortage::wait},
                                               {"cut", MemoryShortage::shrink},
                                               {"overcommit", MemoryShortage::overcommit}};
constexpr Word<LoadReportField> kFields[] = {
    {"busy_reqs", LoadReportField::inflight}, {"pending", LoadReportField::queue},
    {"cpu_share", LoadReportField::util},     {"svc_ms", LoadReportField::latency_ms},
    {"served_ps", LoadReportField::served},   {"failed_ps", LoadReportField::failed},
    {"x0", LoadReportField::memory_share},    {"x1", LoadReportField::disk_share}};

std::optional<std::vector<std::uint16_t>> only(const json& in, const char* key) {
  const json* value = find(in, key);
  if (value == nullptr) return std::nullopt;
  std::vector<std::uint16_t> out;
  for (const json& item : list(*value, key)) out.push_back(whole<std::uint16_t>(item, key));
  return out;
}

ClassSettings parse_class(const json& in) {
  ClassSettings out;
  out.name = text_or(in, "name", "");
  out.latency_objective = time(need(in, "aim"), "classes[].aim");
  out.objective_stretch = number_or(in, "aim-stretch", 0);
  out.client_timeout = time(need(in, "give-up"), "classes[].give-up");
  out.priority_weight = number_or(in, "credit", 1);
  out.late_weight = number_or(in, "late-share", 0);
  out.idempotency = one_of(text_or(in, "semantics", "unsafe"), kEffects, "classes[].semantics");
  out.deduplication_scope = one_of(text_or(in, "group", "all"), kGroups, "classes[].group");
  out.deduplication_window = time_or(in, "window", Time::zero());
  out.ordered_by_key = flag_or(in, "in-order", false);
  out.zones = only(in, "zones-allowed");
  out.kinds = only(in, "bound-to");
  return out;
}

template <class Set>
void each(const json* values, std::size_t count, const char* key, Set set) {
  if (values == nullptr) return;
  list(*values, key);
  for (std::size_t i = 0; i < count && i < values->size(); ++i) set(i, (*values)[i]);
}

void parse_family(const json& in, Settings& out) {
  const auto classes = out.classes.size();
  const auto kinds = out.kinds.size();
  each(find(in, "width-by-class"), classes, "width-by-class",
       [&](std::size_t i, const json& v) { out.classes[i].threads = whole<unsigned>(v, "width-by-class"); });
  const auto truth = [](const json& v, const char* key) {
    if (!v.is_boolean()) bad(key, "is not true or false");
    return v.get<bool>();
  };
  each(find(in, "loads"), classes, "loads",
       [&](std::size_t i, const json& v) { out.classes[i].locks_data_group = truth(v, "loads"); });
  each(find(in, "class-waits"), classes, "class-waits",
       [&](std::size_t i, const json& v) { out.classes[i].waits_for_data_group = truth(v, "class-waits"); });
  each(find(in, "cpu-of-kind"), kinds, "cpu-of-kind",
       [&](std::size_t i, const json& v) { out.kinds[i].cores = number(v, "cpu-of-kind"); });
  each(find(in, "ram-of-kind-mb"), kinds, "ram-of-kind-mb",
       [&](std::size_t i, const json& v) { out.kinds[i].memory_mb = number(v, "ram-of-kind-mb"); });
  out.memory_grants = flag_or(in, "grants", false);
  out.priorities = flag_or(in, "takes-priority", false);
  out.answers_report_cost = flag_or(in, "tells-cost", false);
  out.max_memory_grant_fraction = number_or(in, "max-grant-share", 1);
  out.progress_interval = time_or(in, "progress-pace", Time::zero());
  out.memory_shortage = one_of(text_or(in, "out-of-memory", "line_up"), kShortages, "out-of-memory");
}

void parse_ceilings(const json& in, Settings& out) {
  out.max_attempts = whole_or<unsigned>(in, "max-attempts", 1);
  out.max_open_requests = whole_or<std::size_t>(in, "most-held", 0);
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
  const std::string how = text_or(in, "how", "silent");
  out.answers_report_load = how == "piggyback";
  if (how == "silent") return;
  const json* fields = find(in, "fields");
  if (fields == nullptr) return;
  for (const json& field : list(*fields, "report.fields")) {
    if (!field.is_string()) bad("report.fields", "is not a list of texts");
    LoadReportField value = LoadReportField::unknown;
    for (const auto& word : kFields) {
      if (field.get<std::string>() == word.text) value = word.value;
    }
    out.load_report_fields.push_back(value);
  }
}

// ---- frames -------------------------------------------------------------------------------------------

class Bytes {
 public:
  explicit Bytes(std::span<const std::uint8_t> bytes) : bytes_(bytes) {}

  template <std::unsigned_integral T>
  T take() {
    const auto raw = take_span(sizeof(T));
    T value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) value = static_cast<T>(value | (T{raw[i]} << (8 * i)));
    return value;
  }
  double take_float() { return static_cast<double>(std::bit_cast<float>(take<std::uint32_t>())); }
  Time take_time() {
    const auto value = take<std::uint64_t>();
    if (value > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
      throw Malformed("frame: a time is out of range");
    return Time(static_cast<std::int64_t>(value));
  }
  std::span<const std::uint8_t> take_span(std::size_t count) {
    if (count > bytes_.size() - at_) throw Malformed("frame: a record runs past its frame");
    const auto out = bytes_.subspan(at_, count);
    at_ += count;
    return out;
  }
  std::string take_text(std::size_t count) {
    const auto raw = take_span(count);
    return {raw.begin(), raw.end()};
  }
  [[nodiscard]] std::size_t left() const { return bytes_.size() - at_; }

 private:
  std::span<const std::uint8_t> bytes_;
  std::size_t at_ = 0;
};

AttemptResult take_result(Bytes& in) {
  switch (const auto code = in.take<std::uint16_t>(); code) {
    case 100:
      return AttemptResult::served;
    case 301:
      return AttemptResult::error;
    case 302:
      return AttemptResult::rejected;
    case 303:
      return AttemptResult::timed_out;
    case 304:
      return AttemptResult::connect_failed;
    case 305:
      return AttemptResult::reset;
    case 306:
      return AttemptResult::cancelled;
    case 307:
      return AttemptResult::not_started;
    default:
      throw Malformed("frame: unknown outcome " + std::to_string(code));
  }
}

std::vector<double> take_load(Bytes& in) {
  const auto count = in.take<std::uint8_t>();
  std::vector<double> out;
  out.reserve(count);
  for (unsigned i = 0; i < count; ++i) out.push_back(in.take_float());
  return out;
}

Endpoint take_entry(Bytes& in) {
  Endpoint entry;
  entry.engine = in.take<std::uint32_t>();
  entry.zone = in.take<std::uint16_t>();
  entry.kind = in.take<std::uint16_t>();
  entry.cell = in.take<std::uint16_t>();
  switch (const auto state = in.take<std::uint8_t>(); state) {
    case 0:
      entry.state = EngineState::draining;
      break;
    case 2:
      entry.state = EngineState::ready;
      break;
    case 3:
      entry.state = EngineState::gone;
      break;
    default:
      throw Malformed("frame: unknown engine state " + std::to_string(state));
  }
  entry.weight = in.take_float();
  entry.started_at = in.take_time();
  return entry;
}

RequestArrival take_arrival(Bytes& in) {
  RequestArrival out;
  out.request = in.take<std::uint32_t>();
  out.cls = in.take<std::uint16_t>();
  out.tenant = in.take<std::uint32_t>();
  out.ordering_key = in.take<std::uint64_t>();
  out.time_left = in.take_time();
  const Time cost = in.take_time();
  out.estimated_memory_mb = in.take_float();
  const double group = in.take_float();
  out.data_group = group >= 0 && group < 1e9 ? static_cast<std::int64_t>(group) : 0;
  const auto flags = in.take<std::uint8_t>();
  if ((flags & 1U) != 0) out.estimated_work = cost;
  out.is_client_retry = (flags & 2U) != 0;
  return out;
}

AttemptOutcome take_outcome(Bytes& in) {
  AttemptOutcome out;
  out.request = in.take<std::uint32_t>();
  out.attempt = in.take<std::uint16_t>();
  out.engine = in.take<std::uint32_t>();
  out.result = take_result(in);
  out.latency = in.take_time();
  out.request_closed = in.take<std::uint8_t>() != 0;
  const auto used = in.take<std::uint32_t>();
  if (used != 0) {
    out.work = std::chrono::milliseconds(used / 4096);
    out.memory_mb = 4.0 * (used % 4096);
  }
  out.load_report = take_load(in);
  return out;
}

AttemptProgress take_note(Bytes& in) {
  AttemptProgress out;
  out.request = in.take<std::uint32_t>();
  const auto sort = in.take<std::uint8_t>();
  if (sort < 1 || sort > 3) throw Malformed("frame: unknown note " + std::to_string(sort));
  out.kind = sort == 1 ? ProgressKind::progress : sort == 2 ? ProgressKind::spill : ProgressKind::waiting;
  out.amount = in.take_float();
  out.engine = in.take<std::uint32_t>();
  out.attempt = in.take<std::uint16_t>();
  return out;
}

HealthCheckResult take_probe(Bytes& in) {
  HealthCheckResult out;
  out.result = take_result(in);
  out.engine = in.take<std::uint32_t>();
  out.latency = in.take_time();
  out.load = take_load(in);
  return out;
}

constexpr std::size_t kEntryBytes = 23;

template <std::unsigned_integral T>
void put(std::vector<std::uint8_t>& out, T value) {
  for (std::size_t i = 0; i < sizeof(T); ++i) out.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
}

void put_time(std::vector<std::uint8_t>& out, Time value) {
  put(out, static_cast<std::uint64_t>(std::max<std::int64_t>(0, value.count())));
}

void put_text(std::vector<std::uint8_t>& out, const std::string& text) {
  const auto size = std::min<std::size_t>(text.size(), std::numeric_limits<std::uint16_t>::max());
  put(out, static_cast<std::uint16_t>(size));
  out.insert(out.end(), text.begin(), text.begin() + static_cast<std::ptrdiff_t>(size));
}

struct ActionWriter {
  std::vector<std::uint8_t>& out;

  void code(std::uint8_t value) const { out.push_back(value); }
  void operator()(const SendAttempt& a) const {
    code(100);
    put(out, a.request);
    put_time(out, a.give_up_at);
    put(out, a.engine);
  }
  void operator()(const CancelAttempt& a) const {
    code(50);
    put(out, a.request);
    put(out, a.attempt);
  }
  void operator()(const Reject& a) const {
    code(70);
    put(out, a.request);
    put_time(out, a.retry_after);
  }
  void operator()(const Fail& a) const {
    code(80);
    put(out, a.request);
  }
  void operator()(const AttemptTerms& a) const {
    code(30);
    put(out, a.request);
    put(out, std::bit_cast<std::uint32_t>(static_cast<float>(a.memory_mb)));
    put(out, a.priority);
  }
  void operator()(const ScheduleTimer& a) const {
    code(20);
    put(out, std::uint32_t{0});
    put_time(out, a.delay);
  }
  void operator()(const SendHealthCheck& a) const {
    code(40);
    put(out, a.engine);
  }
  void operator()(const SendGossip& a) const {
    code(10);
    put(out, a.to.value_or(std::numeric_limits<std::uint32_t>::max()));
    put_text(out, a.bytes);
  }
  void operator()(const PollEndpointList& a) const {
    code(60);
    put(out, static_cast<std::uint8_t>(a.on ? 1 : 0));
  }
  void operator()(const LogMessage& a) const {
    code(110);
    put_text(out, a.text);
  }
};

}  // namespace

Settings parse_settings(std::string_view text) { return settings_from(json::parse(text, nullptr, false)); }

Settings settings_from(const json& in) {
  if (in.is_discarded() || !in.is_object()) throw Malformed("settings: not a JSON object");
  Settings out;
  out.brokers = whole<unsigned>(need(in, "balancers"), "balancers");
  out.broker_index = whole_or<unsigned>(in, "me", 0);
  out.zone = whole_or<std::uint16_t>(in, "az", 0);
  out.min_call_interval = time_or(in, "step", out.min_call_interval);
  for (const json& item : list(need(in, "classes"), "classes")) out.classes.push_back(parse_class(item));
  for (const json& item : list(need(in, "kinds"), "kinds")) {
    if (!item.is_string()) bad("kinds", "holds something that is no text");
    out.kinds.push_back({item.get<std::string>(), 1, 0});
  }
  if (const json* tenants = find(in, "tenants"); tenants != nullptr) {
    for (const json& item : list(*tenants, "tenants")) {
      if (!item.is_object()) bad("tenants", "holds something that is no object");
      out.tenants.push_back(
          {text_or(item, "name", ""), number_or(item, "portion", 0), number_or(item, "quota-rps", 0)});
    }
  }
  if (const json* zones = find(in, "zones"); zones != nullptr)
    out.zones = static_cast<unsigned>(list(*zones, "zones").size());
  out.over_quota_weight = number_or(in, "over-share-worth", 1);
  if (const json* prices = find(in, "prices"); prices != nullptr)
    out.cross_zone_cost = number_or(*prices, "cross-zone", 0);
  out.polls_endpoint_list = text_or(in, "membership-mode", "pushed") == "on_request";
  parse_ceilings(need(in, "ceilings"), out);
  parse_safety(need(in, "safety"), out);
  parse_family(need(in, "family-info"), out);
  if (const json* report = find(in, "report"); report != nullptr) parse_report(*report, out);
  return out;
}

std::size_t frame_length(std::span<const std::uint8_t> first_bytes) {
  const std::size_t length = Bytes(first_bytes).take<std::uint32_t>();
  if (length < kHeaderBytes || length > kMaxFrameBytes)
    throw Malformed("frame: a length of " + std::to_string(length) + " makes no sense");
  return length;
}

Batch Reader::read(std::span<const std::uint8_t> frame) {
  if (frame_length(frame) != frame.size()) throw Malformed("frame: truncated");
  Bytes in(frame);
  in.take<std::uint32_t>();
  const auto count = in.take<std::uint32_t>();
  Batch batch;
  batch.now = in.take_time();
  batch.sequence = in.take<std::uint32_t>();
  batch.records.reserve(std::min<std::size_t>(count, in.left()));
  std::optional<std::uint32_t> instance;
  const auto add = [&](Happening what) {
    if (!instance) throw Malformed("frame: an event before any context");
    batch.records.push_back({*instance, std::move(what)});
  };
  for (std::uint32_t i = 0; i < count; ++i) {
    switch (const auto code = in.take<std::uint8_t>(); code) {
      case 130:
        instance = in.take<std::uint32_t>();
        break;
      case 10: {
        Start start;
        start.seed = in.take<std::uint64_t>();
        start.settings = parse_settings(in.take_text(in.take<std::uint32_t>()));
        add(std::move(start));
        break;
      }
      case 100:
        add(Stop{});
        break;
      case 120: {
        const auto number = in.take<std::uint32_t>();
        const auto rows = in.take<std::uint32_t>();
        if (number >= lists_.size()) throw Malformed("frame: unknown list number " + std::to_string(number));
        if (rows > in.left() / kEntryBytes) throw Malformed("frame: a list runs past its frame");
        lists_[number].clear();
        for (std::uint32_t row = 0; row < rows; ++row) lists_[number].push_back(take_entry(in));
        known_[number] = true;
        break;
      }
      case 20: {
        const auto mode = in.take<std::uint8_t>();
        const auto number = in.take<std::uint32_t>();
        in.take<std::uint32_t>();
        if (mode > 3) throw Malformed("frame: unknown list mode " + std::to_string(mode));
        EndpointList listing{static_cast<EndpointListKind>(mode), {}};
        if (listing.kind != EndpointListKind::failed) {
          if (number >= lists_.size() || !known_[number])
            throw Malformed("frame: unknown list number " + std::to_string(number));
          listing.endpoints = lists_[number];
        }
        add(Event(std::move(listing)));
        break;
      }
      case 30:
        add(Event(take_arrival(in)));
        break;
      case 40:
        in.take_span(4 + 8 + 4 + 2);
        break;  // a stream began: no class streams here
      case 50:
        add(Event(take_outcome(in)));
        break;
      case 60:
        add(Event(RequestCancelled{in.take<std::uint32_t>()}));
        break;
      case 70:
        in.take<std::uint32_t>();
        add(Event(TimerFired{}));
        break;
      case 80:
        add(Event(take_probe(in)));
        break;
      case 90: {
        const auto from = in.take<std::uint32_t>();
        add(Event(GossipMessage{from, in.take_text(in.take<std::uint16_t>())}));
        break;
      }
      case 110:
        add(Event(take_note(in)));
        break;
      default:
        throw Malformed("frame: unknown event code " + std::to_string(code));
    }
  }
  if (in.left() != 0) throw Malformed("frame: bytes left over");
  return batch;
}

void ReplyWriter::instance(std::uint32_t id) {
  body_.push_back(90);
  put(body_, id);
  ++records_;
}

void ReplyWriter::action(const Action& action) {
  std::visit(ActionWriter{body_}, action);
  ++records_;
}

std::vector<std::uint8_t> ReplyWriter::finish(std::uint32_t sequence) {
  std::vector<std::uint8_t> frame;
  frame.reserve(12 + body_.size());
  put(frame, static_cast<std::uint32_t>(12 + body_.size()));
  put(frame, records_);
  put(frame, sequence);
  frame.insert(frame.end(), body_.begin(), body_.end());
  return frame;
}

}  // namespace bellstair::simulator
