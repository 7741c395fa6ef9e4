// The reducer replayed: seeded events from model fronts, engines and hooks, and a digest of all effects.
// Guards against a change of any effect that was not meant. A digest is not recorded anew in a refactoring.
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
  unsigned gateways;
  unsigned engines;
  double arrivals_per_s;
  bool hooked;
  std::uint64_t seed;
  const char* digest;
};

void PrintTo(const Scenario& s, std::ostream* out) {
  *out << "deployment " << static_cast<int>(s.deployment) << ", gateways " << s.gateways << ", seed "
       << s.seed;
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
        settings_(settings_of(scenario.deployment, scenario.gateways)),
        random_(scenario.seed),
        reducer_(settings_, scenario.seed, std::size_t{1} << 20, scenario.hooked ? hook_set(1) : hooks::Set{},
                 "127.0.0.1:1") {}

  void run() {
    reducer_.enable_tracing(scenario_.hooked);
    feed(ListenersReady{});
    EndpointUpdate known;
    known.full = true;
    for (unsigned n = 0; n < scenario_.engines; ++n) known.endpoints.push_back(add_member(n % 4 == 0));
    feed(known);
    feed(EndpointListPolled{true});
    const Time end = now_ + 45s;
    const Time stop = end - 5s;
    bool stopped = false;
    int step = 0;
    while (now_ < end && !exited_) {
      now_ += 1ms;
      while (!due_.empty() && due_.begin()->first <= now_) {
        auto event = std::move(due_.begin()->second);
        due_.erase(due_.begin());
        feed(std::move(event));
      }
      if (now_ < stop + 500ms && random_.chance(scenario_.arrivals_per_s / 1000)) arrive();
      if (step % 400 == 0) disturb();
      if (step == 9000) offer();
      if (step == 12000) feed(ReloadRequested{});
      if (!stopped && now_ >= stop) feed(ShutdownRequested{(stopped = true) ? now_ - 3ms : now_});
      if (const auto call = reducer_.next_scheduler_call(); call && now_ >= *call)
        feed(Tick{random_.chance(0.3)});
      if (const auto hooks = reducer_.next_hook_dispatch(); hooks && now_ >= *hooks) feed(HooksTurn{});
      if (step % 5 == 0) feed(Tick{random_.chance(0.3)});
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
  enum class Fate { served, error, turned_away, expired, not_connected, reset, silent };

  void feed(Event event) {
    Effects effects;
    reducer_.reduce(now_, std::move(event), effects);
    for (auto& effect : effects) {
      ++counts_.by_kind[effect.index()];
      digest_.add(static_cast<std::int64_t>(effect.index()));
      std::visit([this](auto& e) { take(e); }, effect);
    }
  }
  void later(Time after, Event event) { due_.emplace(now_ + after, std::move(event)); }

  EndpointRecord add_member(bool started_late) {
    EndpointRecord out;
    out.endpoint.engine = ++last_engine_;
    out.endpoint.zone = static_cast<std::uint16_t>(last_engine_ % settings_.zones);
    out.endpoint.kind = static_cast<std::uint16_t>(last_engine_ % settings_.kinds.size());
    out.endpoint.cell = static_cast<std::uint16_t>(last_engine_ % 3);
    out.address = "127.0.0.1:" + std::to_string(1000 + last_engine_);
    if (started_late) out.started_unix = 1'700'000'000s + now_ - 2s;
    members_.push_back(out);
    return out;
  }

  void disturb() {
    auto& member = members_[random_.below(members_.size())];
    EndpointUpdate change;
    change.from_change_log = true;
    switch (random_.below(9)) {
      case 0:
        fates_[member.endpoint.engine] = static_cast<Fate>(random_.below(7));
        return;
      case 1:
        member.endpoint.state = EngineState::draining;
        break;
      case 2:
        member.endpoint.state = EngineState::ready;
        member.started_unix = 1'700'000'000s + now_ + (random_.chance(0.2) ? 40s : 0s);
        fates_.erase(member.endpoint.engine);
        break;
      case 3:
        member.endpoint.state = EngineState::gone;
        change.endpoints.push_back(add_member(true));
        break;
      case 4:
        change.full = true;
        change.endpoints.assign(members_.begin(), members_.end());
        std::erase_if(change.endpoints,
                      [](const EndpointRecord& m) { return m.endpoint.state == EngineState::gone; });
        return feed(change);
      case 5:
        return feed(ProcessStalled{now_ - 300ms, 300ms});
      case 6:
        return feed(GossipReceived{1, "o" + std::string(5, '\1')});
      case 7:
        return feed(EndpointListPolled{true});
      default:
        fates_.clear();
        return;
    }
    change.endpoints.push_back(member);
    feed(change);
  }

  void offer() {
    SettingsOffered offered;
    offered.epoch = 1;
    offered.number = 2;
    offered.settings = settings_;
    offered.settings.classes[0].latency_objective *= 2;
    offered.settings.tenants.push_back({"new", 0.1, 10});
    offered.changelog = "127.0.0.1:2";
    feed(offered);
    offered.number = 3;
    offered.settings.brokers += 1;
    feed(offered);
  }

  void arrive() {
    Submission asked;
    asked.client = ++last_client_;
    asked.cls = static_cast<ClassIndex>(random_.below(settings_.classes.size()));
    const auto& cls = settings_.classes[asked.cls];
    asked.tenant = static_cast<std::uint32_t>(random_.below(settings_.tenants.size() + 1));
    if (cls.ordered_by_key) asked.ordering_key = 1 + random_.below(4);
    asked.time_limit = cls.client_timeout - Time(1ms) * static_cast<int>(random_.below(300));
    if (random_.chance(0.1)) asked.time_limit = Time(1ms) * static_cast<int>(5 + random_.below(400));
    if (random_.chance(0.7)) asked.estimated_work = Time(1ms) * static_cast<int>(20 + random_.below(300));
    asked.estimated_memory_mb = static_cast<double>(random_.below(400));
    asked.data_group = static_cast<std::int64_t>(random_.below(4));
    asked.ticket = random_.chance(0.02) ? "t-same" : "t" + std::to_string(last_client_);
    if (cls.idempotency == policy::Idempotency::keyed)
      asked.idempotency_key = "n" + std::to_string(last_client_);
    asked.body = "SELECT " + std::to_string(last_client_);
    if (random_.chance(0.02)) asked.body.append(200'000, 'x');
    const auto client = asked.client;
    if (random_.chance(0.05))
      later(Time(1ms) * static_cast<int>(random_.below(900)), ClientCancelled{client});
    if (random_.chance(0.05))
      later(Time(1ms) * static_cast<int>(random_.below(900)), ClientHalfClosed{client});
    const Time since = random_.chance(0.1) ? now_ - Time(1ms) * static_cast<int>(random_.below(50)) : Time{};
    feed(RequestReceived{std::move(asked), since});
  }

  void add_counters() {
    const auto& c = reducer_.counters();
    for (const auto value : {c.taken, c.cancelled, c.half_closed, c.stalls})
      digest_.add(static_cast<std::int64_t>(value));
    const auto add_each = [this](const auto& values) {
      for (const auto value : values) digest_.add(static_cast<std::int64_t>(value));
    };
    add_each(c.answered);
    add_each(c.turned_down);
    add_each(c.withheld);
    add_each(c.attempts);
    add_each(c.unserved);
    add_each(c.violations);
  }

  void put(std::initializer_list<std::int64_t> values) {
    for (const auto value : values) digest_.add(value);
  }
  void put(const AttemptId& id) { put({id.request, id.index}); }

  void take(const Answer& answer) {
    put({static_cast<std::int64_t>(answer.client), static_cast<std::int64_t>(answer.kind),
         answer.retry_after / 1us});
    digest_.add(answer.body);
    digest_.add(answer.shape);
    ++counts_.answers[answer.kind];
  }
  void take(const StartAttempt& start) {
    put(start.id);
    put({start.engine});
    engine_of_[start.id] = start.engine;
    if (fate(start.engine) == Fate::not_connected) {
      AttemptEnded ended;
      ended.id = start.id;
      ended.end = AttemptEnd::connect_failed;
      return later(2ms, ended);
    }
    later(Time(1ms) * static_cast<int>(random_.below(random_.chance(0.05) ? 300 : 3)),
          AttemptConnected{start.id});
  }
  void take(const Transmit& transmit) {
    put(transmit.id);
    put({transmit.cls, transmit.timeout / 1us, transmit.priority});
    digest_.add_rounded(transmit.memory_mb);
    digest_.add(transmit.ticket + transmit.idempotency_key + transmit.parameters);
    digest_.add(static_cast<std::int64_t>(transmit.body.size()));
    AttemptEnded ended;
    ended.id = transmit.id;
    const auto engine = engine_of_[transmit.id];
    const Time took = Time(1ms) * static_cast<int>(10 + random_.below(random_.chance(0.05) ? 4000 : 200));
    const auto how = fate(engine);
    if (how == Fate::silent) return;
    if (random_.chance(0.2)) later(took / 2, AttemptProgressed{transmit.id});
    ended.end = static_cast<AttemptEnd>(
        how == Fate::served && random_.chance(0.03) ? 1 + random_.below(5) : static_cast<std::uint64_t>(how));
    ended.body = ended.end == AttemptEnd::served ? "rows" : "why";
    ended.shape = "s";
    if (random_.chance(0.5)) ended.work = took / 2;
    ended.memory_mb = 40;
    for (std::size_t n = 0; n < settings_.load_report_fields.size(); ++n)
      ended.load_report.push_back(random_.unit());
    if (ended.end == AttemptEnd::reset) ended.may_run_for = 500ms;
    later(took, ended);
  }
  void take(const CancelAttempt& abandon) {
    put(abandon.id);
    AttemptEnded ended;
    ended.id = abandon.id;
    ended.end = random_.chance(0.9) ? AttemptEnd::cancelled : AttemptEnd::reset;
    if (random_.chance(0.3)) ended.may_run_for = 200ms;
    later(Time(1ms) * static_cast<int>(1 + random_.below(20)), ended);
  }
  void take(const Reprioritize& change) {
    put(change.id);
    put({change.priority});
  }
  void take(const SendHealthCheck& probe) {
    put({probe.engine});
    HealthCheckEnded ended;
    ended.engine = probe.engine;
    if (fate(probe.engine) == Fate::not_connected) ended.result = policy::AttemptResult::connect_failed;
    for (std::size_t n = 0; n < settings_.load_report_fields.size(); ++n)
      ended.load.push_back(random_.unit());
    later(3ms, ended);
  }
  void take(const SendGossip& tell) {
    put({tell.to ? static_cast<std::int64_t>(*tell.to) : -1});
    digest_.add(tell.bytes);
    later(4ms, GossipReceived{2, tell.bytes});
  }
  void take(const EndpointChanged& moved) {
    put({moved.engine, moved.usable ? 1 : 0, moved.accepting ? 1 : 0});
    digest_.add(moved.address);
  }
  void take(const Log& line) { put({static_cast<std::int64_t>(line.level)}); }  // its wording may change
  void take(const ReadConfiguration&) {
    ConfigurationRead read;
    read.changelog = "127.0.0.1:3";
    read.fixed = {"listen"};
    if (scenario_.hooked) read.hooks = hook_set(11);
    later(5ms, read);
  }
  void take(const FollowChangeLog& follow) { digest_.add(follow.address); }
  void take(const SettingsApplied& force) {
    put({static_cast<std::int64_t>(force.epoch), static_cast<std::int64_t>(force.number)});
    digest_.add(force.changelog);
    settings_ = force.settings;
  }
  void take(const SettingsRejected& refused) {
    put({static_cast<std::int64_t>(refused.epoch), static_cast<std::int64_t>(refused.number)});
  }
  void take(const RunHook& run) {
    put({static_cast<std::int64_t>(run.job), run.hook, static_cast<std::int64_t>(run.phase),
         run.first ? 1 : 0, run.slice / 1us});
    hooks::SliceResult ran;
    ran.job = run.job;
    ran.hook = run.hook;
    ran.cpu = 20us;
    ran.outcome =
        random_.chance(0.3) ? hooks::SliceResult::Outcome::yielded : hooks::SliceResult::Outcome::done;
    if (random_.chance(0.05)) {
      ran.outcome = hooks::SliceResult::Outcome::failed;
      ran.failure = hooks::HookFailureKind::error;
      ran.text = "failed";
    }
    if (ran.outcome == hooks::SliceResult::Outcome::done && run.phase == hooks::Phase::request) {
      if (random_.chance(0.05)) ran.decision.refuse = 200ms;
      if (random_.chance(0.3)) ran.decision.tags = {"seen"};
      if (random_.chance(0.3)) ran.decision.cpu = 50ms;
    }
    // The machine answers before anything else of a hook, but after this step's effects.
    due_.emplace(now_, HookRan{ran});
  }
  void take(const DropHook& drop) { put({static_cast<std::int64_t>(drop.job), drop.hook}); }
  void take(const RenewHook& renew) {
    put({renew.hook});
    later(1ms, HookRenewed{{renew.hook, ""}});
  }
  void take(const RetireHook& retire) { put({retire.hook}); }
  void take(const CloseClientConnections&) {}
  void take(const Exit&) { exited_ = true; }

  Fate fate(EngineId engine) const {
    const auto found = fates_.find(engine);
    return found == fates_.end() ? Fate::served : found->second;
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
  std::deque<EndpointRecord> members_;  // references to elements outlive push_back
  std::map<EngineId, Fate> fates_;
  std::map<AttemptId, EngineId> engine_of_;
  std::multimap<Time, Event> due_;
};

class ReducerReplay : public testing::TestWithParam<Scenario> {};

TEST_P(ReducerReplay, GivesTheRecordedEffects) {
  World world(GetParam());
  world.run();
  const auto& counts = world.counts();
  EXPECT_TRUE(world.exited());
  for (const auto kind : {AnswerKind::served, AnswerKind::rejected})
    EXPECT_TRUE(counts.answers.contains(kind)) << name(kind);
  EXPECT_EQ(world.digest(), GetParam().digest);
}

const Scenario kScenarios[] = {
    {Deployment::peers_and_probes, 1, 4, 60, false, 1, "b0841d2e7b992d6b"},
    {Deployment::peers_and_probes, 8, 10, 60, true, 2, "9c308aeb084fecae"},
    {Deployment::peers_and_probes, 300, 40, 40, false, 3, "1b36a872a2cec918"},
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
