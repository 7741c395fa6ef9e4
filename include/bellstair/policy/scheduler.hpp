// The interface of the decision module: settings, events, actions and the class that turns one into the
// other. The decisions themselves are in src/policy/scheduler.cpp.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bellstair::policy {

using Time = std::chrono::nanoseconds;  // a moment on the caller's clock, or a span
using RequestId = std::uint32_t;
using EngineId = std::uint32_t;
using ClassIndex = std::uint16_t;
using AttemptIndex = std::uint16_t;

enum class Idempotency { idempotent, keyed, not_idempotent };
enum class DeduplicationScope { all, zone, cell };       // engines that drop each other's repeats
enum class MemoryShortage { wait, shrink, overcommit };  // what happens when grants pass an engine's memory
enum class LoadReportField {
  inflight,
  queue,
  util,
  latency_ms,
  served,
  failed,
  memory_share,
  disk_share,
  unknown
};

struct ClassSettings {
  std::string name;
  Time latency_objective{};  // an answer within aim + aim_stretch x work / threads earns the full worth
  double objective_stretch = 0;
  Time client_timeout{};
  double priority_weight = 1;
  double late_weight = 0;  // of the worth, for an answer after its aim
  Idempotency idempotency = Idempotency::idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::all;
  Time deduplication_window{};  // keyed: how long repeats are dropped
  bool ordered_by_key = false;
  std::optional<std::vector<std::uint16_t>> zones;  // the only zones allowed
  std::optional<std::vector<std::uint16_t>> kinds;  // the only machine kinds allowed
  unsigned threads = 1;
  bool locks_data_group = false;      // a load: holds its data group on its engine
  bool waits_for_data_group = false;  // stands still while a load holds its group there
  bool operator==(const ClassSettings&) const = default;
};

struct KindSettings {
  std::string name;
  double cores = 1;
  double memory_mb = 0;  // 0: not told
  bool operator==(const KindSettings&) const = default;
};

struct TenantSettings {
  std::string name;
  double quota_fraction = 0;
  double quota_per_s = 0;  // over all gateways
  bool operator==(const TenantSettings&) const = default;
};

struct RetryBudget {
  Time window{};
  double min_retries = 0;  // further attempts allowed on top
  double ratio = 0;        // further attempts for each request taken
  bool operator==(const RetryBudget&) const = default;
};

struct Settings {
  unsigned brokers = 1;
  unsigned broker_index = 0;
  std::uint16_t zone = 0;
  Time min_call_interval{std::chrono::milliseconds(5)};  // least time between calls of handle()
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;
  double over_quota_weight = 1;
  unsigned zones = 1;
  double cross_zone_cost = 0;
  unsigned max_attempts = 1;
  std::size_t max_open_requests = 0;  // 0: no limit told
  bool may_cancel = false;
  bool may_health_check = false;
  bool may_gossip = false;
  bool hedging = false;
  bool sends_retry_after = false;
  Time max_retry_after{};
  bool polls_endpoint_list = false;  // changes come only after Observe or FetchList
  bool memory_grants = false;
  bool priorities = false;
  bool answers_report_cost = false;
  double max_memory_grant_fraction = 1;
  MemoryShortage memory_shortage = MemoryShortage::wait;
  Time progress_interval{};  // 0: no notes
  bool answers_report_load = false;
  std::vector<LoadReportField> load_report_fields;
  Time drain_grace{};
  Time answer_grace{};
  double slow_start_capacity = 1;         // a started engine has this share of its capacity or more
  Time slow_start_duration{};             // and is warm after this
  double slow_start_overload_factor = 0;  // 0: cold engines need no care
  Time slow_start_overload_window{};
  Time ordering_key_hold{};
  Time ask_within{};
  std::optional<RetryBudget> retry_budget;
  bool operator==(const Settings&) const = default;
};

// ---- events -------------------------------------------------------------------------------------------

enum class EngineState { draining, ready, gone };
enum class EndpointListKind { delta, full, cached, failed };
enum class AttemptResult {
  served,
  error,
  rejected,
  timed_out,
  connect_failed,
  reset,
  cancelled,
  not_started
};
enum class ProgressKind { progress, spill, waiting };

struct Endpoint {
  EngineId engine = 0;
  std::uint16_t zone = 0;
  std::uint16_t kind = 0;
  std::uint16_t cell = 0;
  EngineState state = EngineState::ready;
  double weight = 1;
  Time started_at{};  // 0: long ago
};

struct EndpointList {
  EndpointListKind kind = EndpointListKind::full;
  std::vector<Endpoint> endpoints;
};

struct RequestArrival {
  RequestId request = 0;
  ClassIndex cls = 0;
  std::uint32_t tenant = 0;
  std::uint64_t ordering_key = 0;  // 0: none
  Time time_left{};
  std::optional<Time> estimated_work;  // estimate of the work of all threads
  double estimated_memory_mb = 0;      // 0: no estimate
  std::int64_t data_group = 0;
  bool is_client_retry = false;
};

struct AttemptProgress {
  RequestId request = 0;
  AttemptIndex attempt = 0;
  EngineId engine = 0;
  ProgressKind kind = ProgressKind::progress;
  double amount = 0;  // share done; MB missing; 1 waits for memory, 2 for a load
};

struct AttemptOutcome {
  RequestId request = 0;
  AttemptIndex attempt = 0;
  EngineId engine = 0;
  AttemptResult result = AttemptResult::served;
  Time latency{};
  bool request_closed = false;
  std::optional<Time> work;         // of all threads, where answers tell it
  double memory_mb = 0;             // needed, where answers tell it
  std::vector<double> load_report;  // as Settings::load_fields
  Time may_run_for{};  // it may run on at the engine for so long; in order, its key rests meanwhile
};

struct RequestCancelled {
  RequestId request = 0;
};
struct TimerFired {};
struct HealthCheckResult {
  EngineId engine = 0;
  AttemptResult result = AttemptResult::served;
  Time latency{};
  std::vector<double> load;
};
struct GossipMessage {
  std::uint32_t from = 0;
  std::string bytes;
};

using Event = std::variant<EndpointList, RequestArrival, AttemptProgress, AttemptOutcome, RequestCancelled,
                           TimerFired, HealthCheckResult, GossipMessage>;

// ---- actions ------------------------------------------------------------------------------------------

struct SendAttempt {
  RequestId request = 0;
  EngineId engine = 0;
  Time give_up_at{};  // clock time at which the attempt is given up
};
struct CancelAttempt {
  RequestId request = 0;
  AttemptIndex attempt = 0;
};
// Why a request ends without having been served.
enum class UnservedReason : std::uint8_t {
  unknown_class,
  over_quota,          // its tenant has used up its share, and others wait
  no_time,             // an answer takes longer than its client waits
  too_big,             // for the crowd that there is
  overdue_on_arrival,  // the gateway had no turn while it waited
  deadline,
  queued_too_long,   // an answer would come after its aim
  no_attempt_left,   // by the rules on repeats, their number, or the engines there are
  request_at_fault,  // two engines that otherwise do well have said no to it
};

struct Reject {  // a retry does no harm
  RequestId request = 0;
  Time retry_after{};
  UnservedReason reason = UnservedReason::deadline;
};
struct Fail {  // no promise about the effect
  RequestId request = 0;
  UnservedReason reason = UnservedReason::deadline;
};
struct AttemptTerms {  // for the request's further sends; the priority also for what is out
  RequestId request = 0;
  double memory_mb = 0;  // 0: the engine's own choice
  std::uint8_t priority = 1;
};
struct ScheduleTimer {
  Time delay{};
};
struct SendHealthCheck {
  EngineId engine = 0;
};
struct SendGossip {
  std::optional<std::uint32_t> to;  // a gateway's number; none: all others
  std::string bytes;                // 256 at most
};
struct PollEndpointList {
  bool on = true;
};
struct LogMessage {
  std::string text;
};

using Action = std::variant<SendAttempt, CancelAttempt, Reject, Fail, AttemptTerms, ScheduleTimer,
                            SendHealthCheck, SendGossip, PollEndpointList, LogMessage>;

// ---- the gateway --------------------------------------------------------------------------------------

struct ClassStatus {
  std::size_t queued = 0;
  unsigned running = 0;  // threads
  double budget = 0;     // threads
};

class Scheduler {
 public:
  Scheduler(Settings settings, std::uint64_t seed);  // throws std::invalid_argument naming a senseless field
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  // From the next call of handle() on, decisions go by `settings`, about requests taken before as well; what
  // has been learned, queues, attempts and the control loop's state carry on. May change: the classes' aims,
  // give-up times, worths and late shares, and the tenants. A tenant that keeps its place and its name keeps
  // its tokens, up to what its bucket now holds; another begins as at the start. Anything else that differs,
  // or makes no sense, throws std::invalid_argument naming it, and all stays as it was.
  void reconfigure(Settings settings);

  // Takes what has happened up to `now` and appends what to do. `now` never goes back.
  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& out);

  [[nodiscard]] ClassStatus class_status(ClassIndex cls) const;
  [[nodiscard]] double thread_pool() const;  // threads
  [[nodiscard]] double load_level()
      const;  // threads a core over the fleet, as far as known; below 0: not known

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bellstair::policy
