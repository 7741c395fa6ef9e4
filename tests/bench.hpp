// A gateway on a hand-driven clock, and what it has done so far.
#pragma once

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "bellstair/policy/gateway.hpp"

namespace bellstair::policy::test {

using namespace std::chrono_literals;

inline Settings plain_settings() {
  Settings s;
  s.gateways = 1;
  s.max_attempts = 3;
  s.retry_after = true;
  s.max_retry_after = 500ms;
  s.may_call_off = true;
  s.kinds = {{"one", 4, 8192}, {"two", 4, 8192}};
  ClassSettings quick;
  quick.name = "quick";
  quick.aim = 1s;
  quick.give_up = 5s;
  ClassSettings once = quick;
  once.name = "once";
  once.aim = 2s;
  once.effect = Effect::unsafe;
  ClassSettings keyed = quick;
  keyed.name = "keyed";
  keyed.aim = 3s;
  keyed.effect = Effect::keyed;
  keyed.group = RepeatGroup::zone;
  keyed.window = 2s;
  s.classes = {quick, once, keyed};
  s.cold_from = 0.4;
  s.ramp_time = 10s;
  s.tip_multiple = 2.5;
  s.tip_window = 2s;
  s.drain_grace = 500ms;
  return s;
}

class Drive {
 public:
  explicit Drive(Settings settings, std::uint64_t seed = 1) : gateway(std::move(settings), seed) {}

  std::vector<Action> at(Time time, std::vector<Event> events) {
    now = time;
    std::vector<Action> out;
    gateway.handle(now, events, out);
    for (const auto& action : out) {
      if (const auto* send = std::get_if<Send>(&action)) sends.push_back(*send);
      if (std::holds_alternative<WakeAfter>(action)) wake = now + std::get<WakeAfter>(action).delay;
      if (const auto* refuse = std::get_if<Refuse>(&action)) ++refused[refuse->request];
      if (const auto* fail = std::get_if<Fail>(&action)) ++failed[fail->request];
      if (const auto* off = std::get_if<CallOff>(&action))
        called_off.emplace_back(off->request, off->attempt);
    }
    return out;
  }
  // Lets the clock run; wakes come when they were asked for.
  void until(Time time) {
    while (wake <= time) at(wake, {Wake{}});
    at(time, {});
  }
  void list(std::vector<EngineEntry> engines, ListKind kind = ListKind::full) {
    at(now, {Listing{kind, std::move(engines)}});
  }
  void ask(RequestId id, ClassIndex cls, Time left = 5s, std::uint64_t key = 0, std::int64_t group = 1) {
    Arrival a;
    a.request = id;
    a.cls = cls;
    a.time_left = left;
    a.order_key = key;
    a.data_group = group;
    at(now, {a});
  }
  void ends(RequestId id, AttemptIndex n, EngineId engine, Result result, Time latency = 100ms) {
    Outcome o;
    o.request = id;
    o.attempt = n;
    o.engine = engine;
    o.result = result;
    o.latency = latency;
    o.closed = result == Result::served;
    at(now, {o});
  }
  [[nodiscard]] int sends_of(RequestId id) const {
    return static_cast<int>(
        std::count_if(sends.begin(), sends.end(), [id](auto& s) { return s.request == id; }));
  }
  [[nodiscard]] int sends_to(EngineId engine) const {
    return static_cast<int>(
        std::count_if(sends.begin(), sends.end(), [engine](auto& s) { return s.engine == engine; }));
  }
  [[nodiscard]] int answers(RequestId id) { return refused[id] + failed[id]; }

  Gateway gateway;
  Time now{100s};
  Time wake{1000000s};
  std::vector<Send> sends;
  std::map<RequestId, int> refused, failed;
  std::vector<std::pair<RequestId, AttemptIndex>> called_off;
};

inline EngineEntry engine(EngineId id, std::uint16_t zone = 0, std::uint16_t kind = 0) {
  EngineEntry e;
  e.engine = id;
  e.zone = zone;
  e.kind = kind;
  e.cell = zone;
  return e;
}

inline EngineEntry with_state(EngineEntry e, EngineState state) {
  e.state = state;
  return e;
}

}  // namespace bellstair::policy::test
