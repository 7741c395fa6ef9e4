// Settings of three kinds of deployment that the replays run on: between them each feature of the decision
// module is on in one and off in another.
#pragma once

#include <string>

#include "bellstair/policy/gateway.hpp"

namespace bellstair::test {

enum class Deployment { peers_and_probes, reports_in_answers, hedged, paces_only };

inline policy::ClassSettings class_settings(const std::string& name, policy::Time aim, policy::Time give_up,
                                            double worth) {
  policy::ClassSettings out;
  out.name = name;
  out.aim = aim;
  out.give_up = give_up;
  out.worth = worth;
  out.late_share = 0.2;
  return out;
}

// Brokers that talk to each other and probe engines; loads in order by key; grants and priorities.
inline policy::Settings peers_and_probes(unsigned gateways) {
  using namespace std::chrono_literals;
  policy::Settings s;
  s.gateways = gateways;
  auto lookup = class_settings("lookup", 400ms, 2s, 1);
  lookup.waits_for_group = true;
  auto report = class_settings("report", 2s, 8s, 3);
  report.threads = 4;
  report.aim_stretch = 1.5;
  auto load = class_settings("load", 3s, 10s, 2);
  load.effect = policy::Effect::keyed;
  load.window = 15s;
  load.in_order = load.holds_group = load.waits_for_group = true;
  load.threads = 2;
  s.classes = {lookup, report, load};
  s.kinds = {{"std-8", 8, 16384}, {"std-16", 16, 32768}};
  s.tenants = {{"north", 0.5, 40}, {"south", 0.3, 20}, {"west", 0.2, 10}};
  s.over_share_worth = 0.2;
  s.max_attempts = 4;
  s.max_open = 500;
  s.may_call_off = s.may_probe = s.may_tell = s.retry_after = true;
  s.max_retry_after = 500ms;
  s.grants = s.priorities = s.tells_cost = true;
  s.shortage = policy::Shortage::overcommit;
  s.load_fields = {policy::LoadField::queue, policy::LoadField::util, policy::LoadField::memory_share};
  s.cold_from = 0.3;
  s.ramp_time = 8s;
  s.tip_multiple = 1.8;
  s.tip_window = 1s;
  s.order_rest = 2300ms;
  s.drain_grace = 500ms;
  return s;
}

// No talk between brokers; load comes with answers; two zones at a price; one class that may never be
// repeated; a budget of retries.
inline policy::Settings reports_in_answers(unsigned gateways) {
  using namespace std::chrono_literals;
  policy::Settings s;
  s.gateways = gateways;
  s.zones = 2;
  s.price_cross_zone = 0.05;
  auto lookup = class_settings("lookup", 500ms, 3s, 1);
  auto scan = class_settings("scan", 3s, 10s, 4);
  scan.threads = 2;
  scan.aim_stretch = 2.5;
  auto load = class_settings("load", 4s, 12s, 2);
  load.effect = policy::Effect::unsafe;
  load.holds_group = load.waits_for_group = true;
  s.classes = {scan, lookup, load};
  s.kinds = {{"std-12", 12, 24576}, {"std-16", 16, 32768}};
  s.tenants = {{"sky", 0.7, 60}, {"archive", 0.3, 20}};
  s.max_attempts = 3;
  s.may_call_off = s.retry_after = true;
  s.max_retry_after = 1s;
  s.grants = s.priorities = true;
  s.shortage = policy::Shortage::wait;
  s.load_in_answers = true;
  s.load_fields = {policy::LoadField::queue, policy::LoadField::inflight};
  s.cold_from = 0.4;
  s.ramp_time = 10s;
  s.tip_multiple = 2.5;
  s.tip_window = 2s;
  s.retry_budget = policy::RetryBudget{10s, 3, 0.1};
  return s;
}

// Hedged requests, notes of progress, classes bound to zones and kinds, repeats dropped by zone or cell, a
// list that has to be asked for.
inline policy::Settings hedged(unsigned gateways) {
  using namespace std::chrono_literals;
  policy::Settings s;
  s.gateways = gateways;
  s.zones = 2;
  auto lookup = class_settings("lookup", 300ms, 3s, 1);
  auto write = class_settings("write", 800ms, 4s, 2);
  write.effect = policy::Effect::keyed;
  write.group = policy::RepeatGroup::zone;
  write.window = 2s;
  auto post = class_settings("post", 1s, 5s, 2);
  post.effect = policy::Effect::keyed;
  post.group = policy::RepeatGroup::cell;
  post.window = 1s;
  post.kinds = {{0}};
  auto audit = class_settings("audit", 2s, 6s, 1);
  audit.zones = {{1}};
  audit.in_order = true;
  s.classes = {lookup, write, post, audit};
  s.kinds = {{"small", 4, 8192}, {"large", 8, 0}};
  s.max_attempts = 4;
  s.may_call_off = s.may_probe = s.may_tell = s.second_copies = s.ask_for_list = true;
  s.progress_pace = 300ms;
  s.load_fields = {policy::LoadField::util, policy::LoadField::unknown, policy::LoadField::inflight};
  s.cold_from = 0.5;
  s.ramp_time = 4s;
  s.tip_multiple = 3;
  s.tip_window = 500ms;
  s.order_rest = 1s;
  return s;
}

// No report tells any load: brokers tell each other the pace of answers in its place.
inline policy::Settings paces_only(unsigned gateways) {
  auto s = peers_and_probes(gateways);
  s.load_fields = {policy::LoadField::queue, policy::LoadField::memory_share};
  s.tells_cost = s.grants = s.priorities = false;
  return s;
}

inline policy::Settings settings_of(Deployment deployment, unsigned gateways) {
  switch (deployment) {
    case Deployment::peers_and_probes:
      return peers_and_probes(gateways);
    case Deployment::reports_in_answers:
      return reports_in_answers(gateways);
    case Deployment::hedged:
      return hedged(gateways);
    case Deployment::paces_only:
      return paces_only(gateways);
  }
  return {};
}

}  // namespace bellstair::test
