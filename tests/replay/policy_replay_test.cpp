// Replays the policy module: seeded batches of events, a small model of engines that carries out the actions,
// and a digest of all actions. Guards against an unintended change of a decision or of the use of random
// numbers. A digest is not recorded again in a refactoring.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <ostream>
#include <queue>
#include <vector>

#include "deployments.hpp"
#include "digest.hpp"

namespace bellstair::test {
namespace {
using namespace std::chrono_literals;
using namespace bellstair::policy;

enum class Mode { healthy, slow, failing, silent, unreachable, full };

struct ModelEngine {
  Endpoint endpoint;
  Mode mode = Mode::healthy;
  unsigned running = 0;
};

struct ModelAttempt {
  EngineId engine = 0;
  bool ended = false;
};

struct ModelRequest {
  RequestArrival arrival;
  Time deadline{};
  bool closed = false;
  std::vector<ModelAttempt> attempts;
};

struct ActionCounts {
  std::size_t sends = 0, cancellations = 0, rejections = 0, failures = 0, terms = 0, health_checks = 0,
              gossip_messages = 0;
  std::size_t log_messages = 0, later_attempts = 0;
};

struct Scenario {
  Deployment deployment;
  unsigned brokers;    // as in the settings
  unsigned instances;  // brokers that the replay runs
  unsigned engines;
  double arrivals_per_s;  // at each instance
  std::uint64_t seed;
  const char* digest;
};

void PrintTo(const Scenario& s, std::ostream* out) {
  *out << "deployment " << static_cast<int>(s.deployment) << ", brokers " << s.brokers << ", seed " << s.seed;
}

class World;

// One instance of the scheduler and the requests that it has received.
struct Instance {
  std::unique_ptr<Scheduler> scheduler;
  std::map<RequestId, ModelRequest> requests;
  std::multimap<Time, Event> due;
  Time stalled_until{};
};

class World {
 public:
  explicit World(const Scenario& scenario)
      : scenario_(scenario),
        settings_(settings_of(scenario.deployment, scenario.brokers)),
        random_(scenario.seed) {
    for (unsigned n = 0; n < scenario.engines; ++n) add_engine(Time::zero());
    for (unsigned n = 0; n < scenario.instances; ++n) {
      auto settings = settings_;
      settings.broker_index = n;
      instances_.push_back({std::make_unique<Scheduler>(settings, scenario.seed + n), {}, {}, {}});
      if (n + 1 < scenario.instances || n == 0)
        instances_.back().due.emplace(now_, endpoint_list(EndpointListKind::cached));
    }
  }

  void run() {
    constexpr Time kStep = 10ms;
    for (int step = 0; step < 3000; ++step) {
      now_ += kStep;
      if (step % 50 == 0) inject_fault();
      if (step == 1500) reconfigure();
      for (std::size_t n = 0; n < instances_.size(); ++n) step_instance(n);
    }
  }

  [[nodiscard]] std::string digest() const { return digest_.hex(); }
  [[nodiscard]] const ActionCounts& counts() const { return counts_; }

 private:
  void add_engine(Time start) {
    ModelEngine engine;
    engine.endpoint.engine = next_engine_++;
    engine.endpoint.zone = static_cast<std::uint16_t>(engine.endpoint.engine % settings_.zones);
    engine.endpoint.cell = static_cast<std::uint16_t>(engine.endpoint.engine % 3);
    engine.endpoint.kind = static_cast<std::uint16_t>(engine.endpoint.engine / 2 % settings_.kinds.size());
    engine.endpoint.started_at = start;
    engines_.push_back(engine);
  }

  [[nodiscard]] EndpointList endpoint_list(EndpointListKind kind) const {
    EndpointList out;
    out.kind = kind;
    for (const auto& engine : engines_) out.endpoints.push_back(engine.endpoint);
    return out;
  }

  void announce(const Endpoint& endpoint) {
    for (auto& instance : instances_)
      instance.due.emplace(now_ + Time(1ms) * static_cast<int>(random_.below(200)),
                           EndpointList{EndpointListKind::delta, {endpoint}});
  }

  // Makes one random change of the kinds that occur in operation: to an engine, to the endpoint list, or a
  // stall.
  void inject_fault() {
    auto& engine = engines_[random_.below(engines_.size())];
    switch (random_.below(12)) {
      case 0:
      case 1:
        engine.mode = Mode::slow;
        break;
      case 2:
        engine.mode = Mode::failing;
        break;
      case 3:
        engine.mode = Mode::silent;
        break;
      case 4:
        engine.mode = Mode::unreachable;
        break;
      case 5:
        engine.mode = Mode::full;
        break;
      case 6:
        engine.endpoint.state = EngineState::draining;
        announce(engine.endpoint);
        break;
      case 7:
        engine.endpoint.started_at = now_;
        engine.endpoint.state = EngineState::ready;
        engine.mode = Mode::healthy;
        announce(engine.endpoint);
        break;
      case 8:
        engine.endpoint.state = EngineState::gone;
        announce(engine.endpoint);
        add_engine(now_);
        announce(engines_.back().endpoint);
        break;
      case 9:
        for (auto& instance : instances_) {
          instance.due.emplace(now_, EndpointList{EndpointListKind::failed, {}});
          instance.due.emplace(now_ + 700ms, endpoint_list(EndpointListKind::full));
        }
        break;
      case 10:
        instances_[random_.below(instances_.size())].stalled_until = now_ + 450ms;
        break;
      default:
        for (auto& each : engines_) {
          each.mode = Mode::healthy;
          if (each.endpoint.state != EngineState::draining) continue;
          each.endpoint.state = EngineState::ready;
          announce(each.endpoint);
        }
        break;
    }
  }

  void reconfigure() {
    settings_.classes[0].latency_objective = settings_.classes[0].latency_objective * 3 / 2;
    settings_.classes[1].priority_weight *= 2;
    if (!settings_.tenants.empty()) settings_.tenants.pop_back();
    settings_.tenants.push_back({"new", 0.1, 5});
    for (std::size_t n = 0; n < instances_.size(); ++n) {
      auto settings = settings_;
      settings.broker_index = static_cast<unsigned>(n);
      instances_[n].scheduler->reconfigure(settings);
    }
  }

  void step_instance(std::size_t n) {
    auto& instance = instances_[n];
    if (now_ < instance.stalled_until) return;
    std::vector<Event> events;
    while (!instance.due.empty() && instance.due.begin()->first <= now_) {
      events.push_back(std::move(instance.due.begin()->second));
      instance.due.erase(instance.due.begin());
      remove_if_stale(instance, events);
    }
    const double burst = now_ % 7s < 2s ? 3 : 1;
    for (double expected = scenario_.arrivals_per_s * burst * 0.01; expected > 0; expected -= 1)
      if (random_.chance(std::min(1.0, expected))) add_request(instance, events);
    std::vector<Action> actions;
    instance.scheduler->handle(now_, events, actions);
    digest_.add(static_cast<std::int64_t>(now_ / 1us));
    for (const auto& action : actions) std::visit([&](const auto& a) { carry_out(n, a); }, action);
    if (now_ % 500ms != 0s) return;
    digest_.add_rounded(instance.scheduler->thread_pool());
    digest_.add_rounded(instance.scheduler->load_level());
    for (std::size_t c = 0; c < settings_.classes.size(); ++c)
      digest_.add_rounded(instance.scheduler->class_status(static_cast<ClassIndex>(c)).budget);
  }

  // Removes the last event if the scheduler has already received the end of its attempt or request.
  static void remove_if_stale(Instance& instance, std::vector<Event>& events) {
    if (auto* outcome = std::get_if<AttemptOutcome>(&events.back())) {
      auto& request = instance.requests.at(outcome->request);
      auto& attempt = request.attempts[outcome->attempt];
      if (attempt.ended) return events.pop_back();
      attempt.ended = true;
      if (outcome->result == AttemptResult::served) request.closed = true;
      outcome->request_closed = request.closed;
    } else if (const auto* progress = std::get_if<AttemptProgress>(&events.back())) {
      if (instance.requests.at(progress->request).attempts[progress->attempt].ended) events.pop_back();
    } else if (const auto* cancelled = std::get_if<RequestCancelled>(&events.back())) {
      auto& request = instance.requests.at(cancelled->request);
      if (request.closed) return events.pop_back();
      request.closed = true;
    }
  }

  void add_request(Instance& instance, std::vector<Event>& events) {
    RequestArrival arrival;
    arrival.request = ++last_request_;
    arrival.cls = static_cast<ClassIndex>(random_.below(settings_.classes.size()));
    const auto& cls = settings_.classes[arrival.cls];
    arrival.tenant = static_cast<std::uint32_t>(random_.below(settings_.tenants.size() + 1));
    if (cls.ordered_by_key) arrival.ordering_key = 1 + random_.below(6);
    arrival.time_left = cls.client_timeout - Time(1ms) * static_cast<int>(random_.below(400));
    if (random_.chance(0.8)) {
      arrival.estimated_work =
          Time(1ms) * static_cast<int>(20 + random_.below(400) * (random_.chance(0.05) ? 20 : 1));
      arrival.estimated_memory_mb = 10 + static_cast<double>(random_.below(500));
    }
    arrival.data_group = static_cast<std::int64_t>(random_.below(5));
    if (random_.chance(0.03))
      instance.due.emplace(now_ + Time(1ms) * static_cast<int>(random_.below(1500)),
                           RequestCancelled{arrival.request});
    instance.requests[arrival.request] = {arrival, now_ + arrival.time_left, false, {}};
    events.emplace_back(arrival);
  }

  ModelEngine& engine(EngineId id) {
    return *std::ranges::find(engines_, id, [](const ModelEngine& e) { return e.endpoint.engine; });
  }

  std::vector<double> load_report(const ModelEngine& engine) {
    std::vector<double> out;
    const double running = engine.running + static_cast<double>(random_.below(3));
    for (const auto field : settings_.load_report_fields) {
      if (field == LoadReportField::inflight) out.push_back(running);
      if (field == LoadReportField::queue) out.push_back(static_cast<double>(random_.below(3)));
      if (field == LoadReportField::util) out.push_back(std::min(1.0, running / 12));
      if (field == LoadReportField::memory_share || field == LoadReportField::unknown)
        out.push_back(random_.unit());
    }
    return out;
  }

  void add_to_digest(std::initializer_list<std::int64_t> values) {
    for (const auto value : values) digest_.add(value);
  }

  void carry_out(std::size_t n, const SendAttempt& send) {
    auto& instance = instances_[n];
    auto& request = instance.requests.at(send.request);
    add_to_digest({1, send.request, send.engine, send.give_up_at / 1us});
    ++counts_.sends;
    const auto index = static_cast<AttemptIndex>(request.attempts.size());
    if (index > 0) ++counts_.later_attempts;
    request.attempts.push_back({send.engine, false});
    auto& target = engine(send.engine);
    ++target.running;
    AttemptOutcome outcome;
    outcome.request = send.request;
    outcome.attempt = index;
    outcome.engine = send.engine;
    const double base_seconds = 0.02 + 0.15 * random_.unit() * (1 + request.arrival.cls);
    double seconds = base_seconds * (random_.chance(0.03) ? 12 : 1) * (1 + 0.05 * target.running);
    apply_mode(target.mode, outcome, seconds);
    const auto latency = Time(static_cast<std::int64_t>(seconds * 1e9));
    outcome.latency = latency;
    if (now_ + latency > send.give_up_at) {
      outcome.result = AttemptResult::timed_out;
      outcome.latency = std::max(Time(1ms), send.give_up_at - now_);
      if (random_.chance(0.3)) outcome.may_run_for = 800ms;
    }
    if (outcome.result == AttemptResult::served) {
      if (settings_.answers_report_cost) {
        outcome.work = Time(static_cast<std::int64_t>(base_seconds * 0.8e9));
        outcome.memory_mb = 50 + static_cast<double>(random_.below(300));
      }
      if (settings_.answers_report_load || random_.chance(0.3)) outcome.load_report = load_report(target);
    }
    if (settings_.progress_interval > Time::zero() && target.mode != Mode::silent)
      add_progress(instance, outcome);
    instance.due.emplace(now_ + outcome.latency, outcome);
  }

  void apply_mode(Mode mode, AttemptOutcome& outcome, double& seconds) {
    switch (mode) {
      case Mode::healthy:
        if (random_.chance(0.01)) outcome.result = AttemptResult::error;
        if (random_.chance(0.01)) outcome.result = AttemptResult::reset;
        return;
      case Mode::slow:
        seconds *= 5;
        return;
      case Mode::failing:
        outcome.result = random_.chance(0.7) ? AttemptResult::error : AttemptResult::served;
        seconds = 0.005;
        return;
      case Mode::silent:
        seconds = 1e3;
        return;
      case Mode::unreachable:
        outcome.result = random_.chance(0.8) ? AttemptResult::connect_failed : AttemptResult::reset;
        seconds = 0.002;
        return;
      case Mode::full:
        outcome.result = random_.chance(0.8) ? AttemptResult::rejected : AttemptResult::not_started;
        seconds = 0.003;
        return;
    }
  }

  void add_progress(Instance& instance, const AttemptOutcome& outcome) {
    const bool slow_progress = random_.chance(0.05);
    int count = 0;
    for (Time at = settings_.progress_interval; at < outcome.latency && count < 20;
         at += settings_.progress_interval) {
      AttemptProgress progress;
      progress.request = outcome.request;
      progress.attempt = outcome.attempt;
      progress.engine = outcome.engine;
      progress.kind = random_.chance(0.1) ? ProgressKind::waiting : ProgressKind::progress;
      progress.amount = progress.kind == ProgressKind::waiting
                            ? 1 + static_cast<double>(random_.below(2))
                            : std::chrono::duration<double>(at) /
                                  std::chrono::duration<double>(outcome.latency) * (slow_progress ? 0.02 : 1);
      instance.due.emplace(now_ + at, progress);
      ++count;
    }
  }

  void carry_out(std::size_t n, const CancelAttempt& cancel) {
    add_to_digest({2, cancel.request, cancel.attempt});
    ++counts_.cancellations;
    AttemptOutcome outcome;
    outcome.request = cancel.request;
    outcome.attempt = cancel.attempt;
    outcome.engine = instances_[n].requests.at(cancel.request).attempts[cancel.attempt].engine;
    outcome.result = AttemptResult::cancelled;
    outcome.latency = 30ms;
    if (random_.chance(0.2)) outcome.may_run_for = 300ms;
    instances_[n].due.emplace(now_ + 30ms, outcome);
  }
  void carry_out(std::size_t n, const Reject& reject) {
    add_to_digest({3, reject.request, reject.retry_after / 1us, static_cast<std::int64_t>(reject.reason)});
    ++counts_.rejections;
    instances_[n].requests.at(reject.request).closed = true;
  }
  void carry_out(std::size_t n, const Fail& fail) {
    add_to_digest({4, fail.request, static_cast<std::int64_t>(fail.reason)});
    ++counts_.failures;
    instances_[n].requests.at(fail.request).closed = true;
  }
  void carry_out(std::size_t, const AttemptTerms& terms) {
    add_to_digest({5, terms.request, terms.priority});
    digest_.add_rounded(terms.memory_mb);
    ++counts_.terms;
  }
  void carry_out(std::size_t n, const ScheduleTimer& timer) {
    add_to_digest({6, timer.delay / 1us});
    instances_[n].due.emplace(now_ + timer.delay, TimerFired{});
  }
  void carry_out(std::size_t n, const SendHealthCheck& check) {
    add_to_digest({7, check.engine});
    ++counts_.health_checks;
    const auto& target = engine(check.engine);
    HealthCheckResult result;
    result.engine = check.engine;
    result.latency = 4ms;
    if (target.mode == Mode::unreachable) result.result = AttemptResult::connect_failed;
    if (target.mode != Mode::unreachable) result.load = load_report(target);
    if (target.mode != Mode::silent) instances_[n].due.emplace(now_ + 4ms, result);
  }
  void carry_out(std::size_t n, const SendGossip& gossip) {
    add_to_digest({8, gossip.to ? static_cast<std::int64_t>(*gossip.to) : -1});
    digest_.add(gossip.bytes);
    ++counts_.gossip_messages;
    const auto size = instances_.size();
    for (std::size_t to = 0; to < size; ++to) {
      // A broker that the replay does not run is represented by one that it runs.
      if (to == n || (gossip.to && *gossip.to % size != to)) continue;
      if (random_.chance(0.05)) continue;
      instances_[to].due.emplace(now_ + 3ms, GossipMessage{static_cast<std::uint32_t>(n), gossip.bytes});
    }
  }
  void carry_out(std::size_t n, const PollEndpointList& poll) {
    add_to_digest({9, poll.on ? 1 : 0});
    if (poll.on) instances_[n].due.emplace(now_ + 5ms, endpoint_list(EndpointListKind::full));
  }
  void carry_out(std::size_t, const LogMessage&) {  // its wording may change
    add_to_digest({10});
    ++counts_.log_messages;
  }

  const Scenario& scenario_;
  Settings settings_;
  Random random_;
  Digest digest_;
  ActionCounts counts_;
  Time now_{100s};
  EngineId next_engine_ = 1;
  RequestId last_request_ = 0;
  std::vector<ModelEngine> engines_;
  std::vector<Instance> instances_;
};

class PolicyReplay : public testing::TestWithParam<Scenario> {};

TEST_P(PolicyReplay, ProducesRecordedActions) {
  World world(GetParam());
  world.run();
  const auto& counts = world.counts();
  EXPECT_GT(counts.sends, 300U);
  EXPECT_GT(counts.later_attempts, 0U);
  EXPECT_GT(counts.rejections, 0U);
  EXPECT_GT(counts.log_messages, 0U);
  EXPECT_EQ(world.digest(), GetParam().digest);
}

const Scenario kScenarios[] = {
    {Deployment::gossip_and_health_checks, 1, 1, 3, 60, 1, "b82766c1e418dee0"},
    {Deployment::gossip_and_health_checks, 8, 8, 12, 40, 2, "945ba7598a73f7d4"},
    {Deployment::gossip_and_health_checks, 300, 8, 40, 25, 3, "17758767c4ab49ee"},
    {Deployment::reports_in_answers, 1, 1, 3, 60, 4, "78547d048ce40201"},
    {Deployment::reports_in_answers, 8, 8, 12, 40, 5, "c0f428e174cb97ae"},
    {Deployment::reports_in_answers, 300, 8, 40, 25, 6, "8fff18cecc8a8327"},
    {Deployment::hedged, 1, 1, 4, 60, 7, "bf19df783eec1643"},
    {Deployment::hedged, 8, 8, 14, 40, 8, "9e42e0972429a740"},
    {Deployment::hedged, 300, 8, 40, 25, 9, "9725d89121527b13"},
    {Deployment::latency_gossip_only, 8, 8, 12, 40, 10, "1ee63433e2cb35a1"},
    {Deployment::latency_gossip_only, 300, 8, 40, 25, 11, "d2a292554373c0fd"},
};

INSTANTIATE_TEST_SUITE_P(Sizes, PolicyReplay, testing::ValuesIn(kScenarios));

}  // namespace
}  // namespace bellstair::test
