// Replays the reducer: seeded events from models of client connections, engines and hooks, and a digest of
// all effects. Guards against an unintended change of an effect. A digest is not recorded again in a
// refactoring.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <ostream>
#include <vector>

#include "core/reducer.hpp"
#include "deployments.hpp"
#include "digest.hpp"

namespace bellstair::test {
namespace {
using namespace std::chrono_literals;
using namespace core;
using policy::EngineState;

struct Scenario {
  Deployment deployment;
  unsigned brokers;
  unsigned engines;
  double arrivals_per_s;
  bool hooked;
  std::uint64_t seed;
  const char* digest;
};

void PrintTo(const Scenario& s, std::ostream* out) {
  *out << "deployment " << static_cast<int>(s.deployment) << ", brokers " << s.brokers << ", seed " << s.seed;
}

hooks::Set hook_set(hooks::HookId first) {
  hooks::Spec gate;
  gate.id = first;
  gate.name = "gate";
  gate.phases = {true, true, false};
  gate.match.classes = {0};
  hooks::Spec all = gate;
  all.id = first + 1;
  all.name = "all";
  all.phases = {true, false, true};
  all.match = {};
  all.reject_on_failure = true;
  return {{}, {gate, all}};
}

struct EffectCounts {
  std::map<std::size_t, std::size_t> by_kind;
  std::map<AnswerKind, std::size_t> answers;
};

class World {
 public:
  explicit World(const Scenario& scenario)
      : scenario_(scenario),
        settings_(settings_of(scenario.deployment, scenario.brokers)),
        random_(scenario.seed),
        reducer_(settings_, scenario.seed, std::size_t{1} << 20, scenario.hooked ? hook_set(1) : hooks::Set{},
                 "127.0.0.1:1") {}

  void run() {
    reducer_.enable_tracing(scenario_.hooked);
    reduce(ListenersReady{});
    EndpointUpdate initial_list;
    initial_list.full = true;
    for (unsigned n = 0; n < scenario_.engines; ++n)
      initial_list.endpoints.push_back(add_endpoint(n % 4 == 0));
    reduce(initial_list);
    reduce(EndpointListPolled{true});
    const Time end = now_ + 45s;
    const Time stop = end - 5s;
    bool stopped = false;
    int step = 0;
    while (now_ < end && !exited_) {
      now_ += 1ms;
      while (!due_.empty() && due_.begin()->first <= now_) {
        auto event = std::move(due_.begin()->second);
        due_.erase(due_.begin());
        reduce(std::move(event));
      }
      if (now_ < stop + 500ms && random_.chance(scenario_.arrivals_per_s / 1000)) add_request();
      if (step % 400 == 0) inject_fault();
      if (step == 9000) offer_settings();
      if (step == 12000) reduce(ReloadRequested{});
      if (!stopped && now_ >= stop) reduce(ShutdownRequested{(stopped = true) ? now_ - 3ms : now_});
      if (const auto call = reducer_.next_scheduler_call(); call && now_ >= *call)
        reduce(Tick{random_.chance(0.3)});
      if (const auto hooks = reducer_.next_hook_dispatch(); hooks && now_ >= *hooks) reduce(HooksTurn{});
      if (step % 5 == 0) reduce(Tick{random_.chance(0.3)});
      if (step % 1000 == 0) {
        digest_.add(static_cast<std::int64_t>(reducer_.unanswered_requests()));
        digest_.add(static_cast<std::int64_t>(reducer_.open_requests()));
      }
      ++step;
    }
    add_counters();
  }

  [[nodiscard]] std::string digest() const { return digest_.hex(); }
  [[nodiscard]] const EffectCounts& counts() const { return counts_; }
  [[nodiscard]] bool exited() const { return exited_; }

 private:
  enum class Behavior { served, error, rejected, expired, connect_failed, reset, silent };

  void reduce(Event event) {
    Effects effects;
    reducer_.reduce(now_, std::move(event), effects);
    for (auto& effect : effects) {
      ++counts_.by_kind[effect.index()];
      digest_.add(static_cast<std::int64_t>(effect.index()));
      std::visit([this](auto& e) { carry_out(e); }, effect);
    }
  }
  void schedule(Time after, Event event) { due_.emplace(now_ + after, std::move(event)); }

  EndpointRecord add_endpoint(bool started_recently) {
    EndpointRecord out;
    out.endpoint.engine = ++last_engine_;
    out.endpoint.zone = static_cast<std::uint16_t>(last_engine_ % settings_.zones);
    out.endpoint.kind = static_cast<std::uint16_t>(last_engine_ % settings_.kinds.size());
    out.endpoint.cell = static_cast<std::uint16_t>(last_engine_ % 3);
    out.address = "127.0.0.1:" + std::to_string(1000 + last_engine_);
    if (started_recently) out.started_unix = 1'700'000'000s + now_ - 2s;
    endpoints_.push_back(out);
    return out;
  }

  void inject_fault() {
    auto& endpoint_record = endpoints_[random_.below(endpoints_.size())];
    EndpointUpdate change;
    change.from_change_log = true;
    switch (random_.below(9)) {
      case 0:
        behaviors_[endpoint_record.endpoint.engine] = static_cast<Behavior>(random_.below(7));
        return;
      case 1:
        endpoint_record.endpoint.state = EngineState::draining;
        break;
      case 2:
        endpoint_record.endpoint.state = EngineState::ready;
        endpoint_record.started_unix = 1'700'000'000s + now_ + (random_.chance(0.2) ? 40s : 0s);
        behaviors_.erase(endpoint_record.endpoint.engine);
        break;
      case 3:
        endpoint_record.endpoint.state = EngineState::gone;
        change.endpoints.push_back(add_endpoint(true));
        break;
      case 4:
        change.full = true;
        change.endpoints.assign(endpoints_.begin(), endpoints_.end());
        std::erase_if(change.endpoints,
                      [](const EndpointRecord& m) { return m.endpoint.state == EngineState::gone; });
        return reduce(change);
      case 5:
        return reduce(ProcessStalled{now_ - 300ms, 300ms});
      case 6:
        return reduce(GossipReceived{1, "o" + std::string(5, '\1')});
      case 7:
        return reduce(EndpointListPolled{true});
      default:
        behaviors_.clear();
        return;
    }
    change.endpoints.push_back(endpoint_record);
    reduce(change);
  }

  void offer_settings() {
    SettingsOffered offered;
    offered.epoch = 1;
    offered.number = 2;
    offered.settings = settings_;
    offered.settings.classes[0].latency_objective *= 2;
    offered.settings.tenants.push_back({"new", 0.1, 10});
    offered.changelog = "127.0.0.1:2";
    reduce(offered);
    offered.number = 3;
    offered.settings.brokers += 1;
    reduce(offered);
  }

  void add_request() {
    Submission submission;
    submission.client = ++last_client_;
    submission.cls = static_cast<ClassIndex>(random_.below(settings_.classes.size()));
    const auto& cls = settings_.classes[submission.cls];
    submission.tenant = static_cast<std::uint32_t>(random_.below(settings_.tenants.size() + 1));
    if (cls.ordered_by_key) submission.ordering_key = 1 + random_.below(4);
    submission.time_limit = cls.client_timeout - Time(1ms) * static_cast<int>(random_.below(300));
    if (random_.chance(0.1)) submission.time_limit = Time(1ms) * static_cast<int>(5 + random_.below(400));
    if (random_.chance(0.7))
      submission.estimated_work = Time(1ms) * static_cast<int>(20 + random_.below(300));
    submission.estimated_memory_mb = static_cast<double>(random_.below(400));
    submission.data_group = static_cast<std::int64_t>(random_.below(4));
    submission.ticket = random_.chance(0.02) ? "t-same" : "t" + std::to_string(last_client_);
    if (cls.idempotency == policy::Idempotency::keyed)
      submission.idempotency_key = "n" + std::to_string(last_client_);
    submission.body = "SELECT " + std::to_string(last_client_);
    if (random_.chance(0.02)) submission.body.append(200'000, 'x');
    const auto client = submission.client;
    if (random_.chance(0.05))
      schedule(Time(1ms) * static_cast<int>(random_.below(900)), ClientCancelled{client});
    if (random_.chance(0.05))
      schedule(Time(1ms) * static_cast<int>(random_.below(900)), ClientHalfClosed{client});
    const Time since = random_.chance(0.1) ? now_ - Time(1ms) * static_cast<int>(random_.below(50)) : Time{};
    reduce(RequestReceived{std::move(submission), since});
  }

  void add_counters() {
    const auto& c = reducer_.counters();
    for (const auto value : {c.admitted, c.cancelled, c.half_closed, c.stalls})
      digest_.add(static_cast<std::int64_t>(value));
    const auto add_each = [this](const auto& values) {
      for (const auto value : values) digest_.add(static_cast<std::int64_t>(value));
    };
    add_each(c.answered);
    add_each(c.admissions_denied);
    add_each(c.attempts_denied);
    add_each(c.attempts);
    add_each(c.unserved);
    add_each(c.violations);
  }

  void add_to_digest(std::initializer_list<std::int64_t> values) {
    for (const auto value : values) digest_.add(value);
  }
  void add_to_digest(const AttemptId& id) { add_to_digest({id.request, id.index}); }

  void carry_out(const Answer& answer) {
    add_to_digest({static_cast<std::int64_t>(answer.client), static_cast<std::int64_t>(answer.kind),
                   answer.retry_after / 1us});
    digest_.add(answer.body);
    digest_.add(answer.shape);
    ++counts_.answers[answer.kind];
  }
  void carry_out(const StartAttempt& start) {
    add_to_digest(start.id);
    add_to_digest({start.engine});
    engine_of_[start.id] = start.engine;
    if (behavior_of(start.engine) == Behavior::connect_failed) {
      AttemptEnded ended;
      ended.id = start.id;
      ended.end = AttemptEnd::connect_failed;
      return schedule(2ms, ended);
    }
    schedule(Time(1ms) * static_cast<int>(random_.below(random_.chance(0.05) ? 300 : 3)),
             AttemptConnected{start.id});
  }
  void carry_out(const Transmit& transmit) {
    add_to_digest(transmit.id);
    add_to_digest({transmit.cls, transmit.timeout / 1us, transmit.priority});
    digest_.add_rounded(transmit.memory_mb);
    digest_.add(transmit.ticket + transmit.idempotency_key + transmit.parameters);
    digest_.add(static_cast<std::int64_t>(transmit.body.size()));
    AttemptEnded ended;
    ended.id = transmit.id;
    const auto engine = engine_of_[transmit.id];
    const Time duration = Time(1ms) * static_cast<int>(10 + random_.below(random_.chance(0.05) ? 4000 : 200));
    const auto behavior = behavior_of(engine);
    if (behavior == Behavior::silent) return;
    if (random_.chance(0.2)) schedule(duration / 2, AttemptProgressed{transmit.id});
    ended.end = static_cast<AttemptEnd>(behavior == Behavior::served && random_.chance(0.03)
                                            ? 1 + random_.below(5)
                                            : static_cast<std::uint64_t>(behavior));
    ended.body = ended.end == AttemptEnd::served ? "rows" : "why";
    ended.shape = "s";
    if (random_.chance(0.5)) ended.work = duration / 2;
    ended.memory_mb = 40;
    for (std::size_t n = 0; n < settings_.load_report_fields.size(); ++n)
      ended.load_report.push_back(random_.unit());
    if (ended.end == AttemptEnd::reset) ended.may_run_for = 500ms;
    schedule(duration, ended);
  }
  void carry_out(const CancelAttempt& cancel) {
    add_to_digest(cancel.id);
    AttemptEnded ended;
    ended.id = cancel.id;
    ended.end = random_.chance(0.9) ? AttemptEnd::cancelled : AttemptEnd::reset;
    if (random_.chance(0.3)) ended.may_run_for = 200ms;
    schedule(Time(1ms) * static_cast<int>(1 + random_.below(20)), ended);
  }
  void carry_out(const Reprioritize& change) {
    add_to_digest(change.id);
    add_to_digest({change.priority});
  }
  void carry_out(const SendHealthCheck& check) {
    add_to_digest({check.engine});
    HealthCheckEnded ended;
    ended.engine = check.engine;
    if (behavior_of(check.engine) == Behavior::connect_failed)
      ended.result = policy::AttemptResult::connect_failed;
    for (std::size_t n = 0; n < settings_.load_report_fields.size(); ++n)
      ended.load.push_back(random_.unit());
    schedule(3ms, ended);
  }
  void carry_out(const SendGossip& gossip) {
    add_to_digest({gossip.to ? static_cast<std::int64_t>(*gossip.to) : -1});
    digest_.add(gossip.bytes);
    schedule(4ms, GossipReceived{2, gossip.bytes});
  }
  void carry_out(const EndpointChanged& changed) {
    add_to_digest({changed.engine, changed.usable ? 1 : 0, changed.accepting ? 1 : 0});
    digest_.add(changed.address);
  }
  void carry_out(const Log& line) {  // its wording may change
    add_to_digest({static_cast<std::int64_t>(line.level)});
  }
  void carry_out(const ReadConfiguration&) {
    ConfigurationRead read;
    read.changelog = "127.0.0.1:3";
    read.restart_only = {"listen"};
    if (scenario_.hooked) read.hooks = hook_set(11);
    schedule(5ms, read);
  }
  void carry_out(const FollowChangeLog& follow) { digest_.add(follow.address); }
  void carry_out(const SettingsApplied& applied) {
    add_to_digest({static_cast<std::int64_t>(applied.epoch), static_cast<std::int64_t>(applied.number)});
    digest_.add(applied.changelog);
    settings_ = applied.settings;
  }
  void carry_out(const SettingsRejected& rejected) {
    add_to_digest({static_cast<std::int64_t>(rejected.epoch), static_cast<std::int64_t>(rejected.number)});
  }
  void carry_out(const RunHook& run) {
    add_to_digest({static_cast<std::int64_t>(run.job), run.hook, static_cast<std::int64_t>(run.phase),
                   run.first ? 1 : 0, run.slice / 1us});
    hooks::SliceResult result;
    result.job = run.job;
    result.hook = run.hook;
    result.cpu = 20us;
    result.outcome =
        random_.chance(0.3) ? hooks::SliceResult::Outcome::yielded : hooks::SliceResult::Outcome::done;
    if (random_.chance(0.05)) {
      result.outcome = hooks::SliceResult::Outcome::failed;
      result.failure = hooks::HookFailureKind::error;
      result.text = "failed";
    }
    if (result.outcome == hooks::SliceResult::Outcome::done && run.phase == hooks::Phase::request) {
      if (random_.chance(0.05)) result.decision.refuse = 200ms;
      if (random_.chance(0.3)) result.decision.tags = {"seen"};
      if (random_.chance(0.3)) result.decision.cpu = 50ms;
    }
    // The machine's result comes before any other event of a hook, but after the effects of this step.
    due_.emplace(now_, HookRan{result});
  }
  void carry_out(const DropHook& drop) { add_to_digest({static_cast<std::int64_t>(drop.job), drop.hook}); }
  void carry_out(const RenewHook& renew) {
    add_to_digest({renew.hook});
    schedule(1ms, HookRenewed{{renew.hook, ""}});
  }
  void carry_out(const RetireHook& retire) { add_to_digest({retire.hook}); }
  void carry_out(const CloseClientConnections&) {}
  void carry_out(const Exit&) { exited_ = true; }

  Behavior behavior_of(EngineId engine) const {
    const auto found = behaviors_.find(engine);
    return found == behaviors_.end() ? Behavior::served : found->second;
  }

  const Scenario& scenario_;
  policy::Settings settings_;
  Random random_;
  Reducer reducer_;
  Digest digest_;
  EffectCounts counts_;
  Time now_{100s};
  bool exited_ = false;
  EngineId last_engine_ = 0;
  ClientHandle last_client_ = 0;
  std::deque<EndpointRecord> endpoints_;  // push_back keeps references valid
  std::map<EngineId, Behavior> behaviors_;
  std::map<AttemptId, EngineId> engine_of_;
  std::multimap<Time, Event> due_;
};

class ReducerReplay : public testing::TestWithParam<Scenario> {};

TEST_P(ReducerReplay, ProducesRecordedEffects) {
  World world(GetParam());
  world.run();
  const auto& counts = world.counts();
  EXPECT_TRUE(world.exited());
  for (const auto kind : {AnswerKind::served, AnswerKind::rejected})
    EXPECT_TRUE(counts.answers.contains(kind)) << name(kind);
  EXPECT_EQ(world.digest(), GetParam().digest);
}

const Scenario kScenarios[] = {
    {Deployment::gossip_and_health_checks, 1, 4, 60, false, 1, "b0841d2e7b992d6b"},
    {Deployment::gossip_and_health_checks, 8, 10, 60, true, 2, "9c308aeb084fecae"},
    {Deployment::gossip_and_health_checks, 300, 40, 40, false, 3, "1b36a872a2cec918"},
    {Deployment::reports_in_answers, 1, 4, 60, true, 4, "ed348a9ce0d935f3"},
    {Deployment::reports_in_answers, 8, 10, 60, false, 5, "e5a3954a1d180784"},
    {Deployment::reports_in_answers, 300, 40, 40, false, 6, "7453dc4134e7ab8c"},
    {Deployment::hedged, 1, 4, 60, false, 7, "717aba0230a41d99"},
    {Deployment::hedged, 8, 10, 60, true, 8, "e080287c8baf1584"},
    {Deployment::hedged, 300, 40, 40, false, 9, "e4a2448c6389951a"},
};

INSTANTIATE_TEST_SUITE_P(Sizes, ReducerReplay, testing::ValuesIn(kScenarios));

}  // namespace
}  // namespace bellstair::test
