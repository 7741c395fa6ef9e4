// Settings of the kinds of deployment that the replays run. Each feature of the policy module is on in one of
// them and off in another.
#pragma once

#include <string>

#include "bellstair/policy/scheduler.hpp"

namespace bellstair::test {

enum class Deployment { gossip_and_health_checks, reports_in_answers, hedged, latency_gossip_only };

inline policy::ClassSettings class_settings(const std::string& name, policy::Time latency_objective,
                                            policy::Time client_timeout, double priority_weight) {
  policy::ClassSettings out;
  out.name = name;
  out.latency_objective = latency_objective;
  out.client_timeout = client_timeout;
  out.priority_weight = priority_weight;
  out.late_weight = 0.2;
  return out;
}

// Brokers with gossip and health checks; loads ordered by key; memory grants and priorities.
inline policy::Settings gossip_and_health_checks(unsigned brokers) {
  using namespace std::chrono_literals;
  policy::Settings s;
  s.brokers = brokers;
  auto lookup = class_settings("lookup", 400ms, 2s, 1);
  lookup.waits_for_data_group = true;
  auto report = class_settings("report", 2s, 8s, 3);
  report.threads = 4;
  report.objective_stretch = 1.5;
  auto load = class_settings("load", 3s, 10s, 2);
  load.idempotency = policy::Idempotency::keyed;
  load.deduplication_window = 15s;
  load.ordered_by_key = load.locks_data_group = load.waits_for_data_group = true;
  load.threads = 2;
  s.classes = {lookup, report, load};
  s.kinds = {{"std-8", 8, 16384}, {"std-16", 16, 32768}};
  s.tenants = {{"north", 0.5, 40}, {"south", 0.3, 20}, {"west", 0.2, 10}};
  s.over_quota_weight = 0.2;
  s.max_attempts = 4;
  s.max_open_requests = 500;
  s.may_cancel = s.may_health_check = s.may_gossip = s.sends_retry_after = true;
  s.max_retry_after = 500ms;
  s.memory_grants = s.priorities = s.answers_report_cost = true;
  s.memory_shortage = policy::MemoryShortage::overcommit;
  s.load_report_fields = {policy::LoadReportField::queue, policy::LoadReportField::util,
                          policy::LoadReportField::memory_share};
  s.slow_start_capacity = 0.3;
  s.slow_start_duration = 8s;
  s.slow_start_overload_factor = 1.8;
  s.slow_start_overload_window = 1s;
  s.ordering_key_hold = 2300ms;
  s.drain_grace = 500ms;
  return s;
}

// No gossip; load reports in answers; two zones with a cross-zone cost; a class that is not idempotent; a
// retry budget.
inline policy::Settings reports_in_answers(unsigned brokers) {
  using namespace std::chrono_literals;
  policy::Settings s;
  s.brokers = brokers;
  s.zones = 2;
  s.cross_zone_cost = 0.05;
  auto lookup = class_settings("lookup", 500ms, 3s, 1);
  auto scan = class_settings("scan", 3s, 10s, 4);
  scan.threads = 2;
  scan.objective_stretch = 2.5;
  auto load = class_settings("load", 4s, 12s, 2);
  load.idempotency = policy::Idempotency::not_idempotent;
  load.locks_data_group = load.waits_for_data_group = true;
  s.classes = {scan, lookup, load};
  s.kinds = {{"std-12", 12, 24576}, {"std-16", 16, 32768}};
  s.tenants = {{"sky", 0.7, 60}, {"archive", 0.3, 20}};
  s.max_attempts = 3;
  s.may_cancel = s.sends_retry_after = true;
  s.max_retry_after = 1s;
  s.memory_grants = s.priorities = true;
  s.memory_shortage = policy::MemoryShortage::wait;
  s.answers_report_load = true;
  s.load_report_fields = {policy::LoadReportField::queue, policy::LoadReportField::inflight};
  s.slow_start_capacity = 0.4;
  s.slow_start_duration = 10s;
  s.slow_start_overload_factor = 2.5;
  s.slow_start_overload_window = 2s;
  s.retry_budget = policy::RetryBudget{10s, 3, 0.1};
  return s;
}

// Hedging, progress events, classes limited to zones and kinds, deduplication by zone or cell, and an
// endpoint list that must be polled.
inline policy::Settings hedged(unsigned brokers) {
  using namespace std::chrono_literals;
  policy::Settings s;
  s.brokers = brokers;
  s.zones = 2;
  auto lookup = class_settings("lookup", 300ms, 3s, 1);
  auto write = class_settings("write", 800ms, 4s, 2);
  write.idempotency = policy::Idempotency::keyed;
  write.deduplication_scope = policy::DeduplicationScope::zone;
  write.deduplication_window = 2s;
  auto post = class_settings("post", 1s, 5s, 2);
  post.idempotency = policy::Idempotency::keyed;
  post.deduplication_scope = policy::DeduplicationScope::cell;
  post.deduplication_window = 1s;
  post.kinds = {{0}};
  auto audit = class_settings("audit", 2s, 6s, 1);
  audit.zones = {{1}};
  audit.ordered_by_key = true;
  s.classes = {lookup, write, post, audit};
  s.kinds = {{"small", 4, 8192}, {"large", 8, 0}};
  s.max_attempts = 4;
  s.may_cancel = s.may_health_check = s.may_gossip = s.hedging = s.polls_endpoint_list = true;
  s.progress_interval = 300ms;
  s.load_report_fields = {policy::LoadReportField::util, policy::LoadReportField::unknown,
                          policy::LoadReportField::inflight};
  s.slow_start_capacity = 0.5;
  s.slow_start_duration = 4s;
  s.slow_start_overload_factor = 3;
  s.slow_start_overload_window = 500ms;
  s.ordering_key_hold = 1s;
  return s;
}

// Reports do not contain the load: brokers exchange latency ratios of answers in its place.
inline policy::Settings latency_gossip_only(unsigned brokers) {
  auto s = gossip_and_health_checks(brokers);
  s.load_report_fields = {policy::LoadReportField::queue, policy::LoadReportField::memory_share};
  s.answers_report_cost = s.memory_grants = s.priorities = false;
  return s;
}

inline policy::Settings settings_of(Deployment deployment, unsigned brokers) {
  switch (deployment) {
    case Deployment::gossip_and_health_checks:
      return gossip_and_health_checks(brokers);
    case Deployment::reports_in_answers:
      return reports_in_answers(brokers);
    case Deployment::hedged:
      return hedged(brokers);
    case Deployment::latency_gossip_only:
      return latency_gossip_only(brokers);
  }
  return {};
}

}  // namespace bellstair::test
