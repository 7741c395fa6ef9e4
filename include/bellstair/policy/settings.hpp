// The settings of the policy module.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bellstair/policy/types.hpp"

namespace bellstair::policy {

/// The effect of running a request again: none; none within the deduplication window, in which engines
/// recognise the request by its key; the full effect once more.
enum class Idempotency { idempotent, keyed, not_idempotent };
/// The engines among which repeats of keyed requests are dropped.
enum class DeduplicationScope { all, zone, cell };

/// The behaviour of an engine when memory grants exceed its memory.
enum class MemoryShortage { wait, shrink, overcommit };

/// The meaning of one figure in a load report.
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

/// A class of requests.
struct ClassSettings {
  std::string name;
  // An answer within latency_objective + objective_stretch x work / threads earns the full weight.
  Time latency_objective{};
  double objective_stretch = 0;
  Time client_timeout{};
  double priority_weight = 1;
  double late_weight = 0;  // fraction of priority_weight, for an answer after its objective
  Idempotency idempotency = Idempotency::idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::all;
  Time deduplication_window{};  // keyed: time for which repeats are dropped
  bool ordered_by_key = false;
  std::optional<std::vector<std::uint16_t>> zones;  // allowed zones; nullopt: all
  std::optional<std::vector<std::uint16_t>> kinds;  // allowed kinds; nullopt: all
  unsigned threads = 1;                             // used by a query
  bool locks_data_group = false;                    // locks its data group at its engine
  bool waits_for_data_group = false;                // makes no progress while its group is locked there
  bool operator==(const ClassSettings&) const = default;
};

/// A kind of machine.
struct KindSettings {
  std::string name;
  double cores = 1;
  double memory_mb = 0;  // 0: not known
  bool operator==(const KindSettings&) const = default;
};

/// A tenant and its quota.
struct TenantSettings {
  std::string name;
  double quota_fraction = 0;  // of all arriving requests
  double quota_per_s = 0;     // requests, over all brokers
  bool operator==(const TenantSettings&) const = default;
};

/// Limits the retries in any window to min_retries + ratio x requests.
struct RetryBudget {
  Time window{};
  double min_retries = 0;  // allowed in addition to the ratio
  double ratio = 0;        // retries allowed for each request
  bool operator==(const RetryBudget&) const = default;
};

/// All settings of the policy module. Scheduler's constructor and reconfigure() check them.
struct Settings {
  unsigned brokers = 1;
  unsigned broker_index = 0;
  std::uint16_t zone = 0;
  Time min_call_interval{std::chrono::milliseconds(5)};  // minimum time between calls of handle()
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;
  double over_quota_weight = 1;
  unsigned zones = 1;
  double cross_zone_cost = 0;
  unsigned max_attempts = 1;
  std::size_t max_open_requests = 0;  // 0: no known limit
  bool may_cancel = false;
  bool may_health_check = false;
  bool may_gossip = false;
  bool hedging = false;
  bool sends_retry_after = false;
  Time max_retry_after{};
  bool polls_endpoint_list = false;  // lists arrive only after PollEndpointList
  bool memory_grants = false;
  bool priorities = false;
  bool answers_report_cost = false;
  double max_memory_grant_fraction = 1;
  MemoryShortage memory_shortage = MemoryShortage::wait;
  Time progress_interval{};  // between progress events of an attempt; 0: there are none
  bool answers_report_load = false;
  std::vector<LoadReportField> load_report_fields;
  // drain_grace, answer_grace and ask_within are settings of the platform that no decision depends on.
  Time drain_grace{};
  Time answer_grace{};
  // An engine has this fraction of its capacity right after its start, and all of it after the duration.
  double slow_start_capacity = 1;
  Time slow_start_duration{};
  // The work sent within the window overloads the engine if it exceeds this multiple of what the engine's
  // capacity serves in that time; 0: no limit.
  double slow_start_overload_factor = 0;
  Time slow_start_overload_window{};
  Time ordering_key_hold{};  // time for which a key is blocked after an attempt that may still run
  Time ask_within{};
  std::optional<RetryBudget> retry_budget;
  bool operator==(const Settings&) const = default;
};

}  // namespace bellstair::policy
