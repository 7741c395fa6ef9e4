// The one place where state changes: (state, event) -> effects. It drives the decision module and turns its
// actions into effects. Knows no wire, and no clock but the one it is told.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "bellstair/policy/scheduler.hpp"
#include "core/counters.hpp"
#include "core/events.hpp"
#include "core/guard.hpp"
#include "core/lifecycle.hpp"
#include "core/start_clock.hpp"
#include "core/wheel.hpp"
#include "hooks/control.hpp"

namespace bellstair::core {

class Reducer {
 public:
  static constexpr Time kTick = std::chrono::milliseconds(5);

  // What requests hold may take `most_bytes`; beyond that they are refused, since to be killed for memory
  // would lose them all. `changelog`: its address in the platform's configuration.
  Reducer(policy::Settings settings, std::uint64_t seed, std::size_t most_bytes = std::size_t{64} << 20,
          hooks::Set hooks = {}, std::string changelog = {});

  // `now`: a steady clock, of any beginning. Alarms and spans run on it alone, so that a step of the system's
  // clock neither fires nor freezes them.
  void reduce(Time now, Event event, Effects& out);

  [[nodiscard]] const Lifecycle& lifecycle() const { return lifecycle_; }
  // When the module is to be called next for what has happened already; none: it has heard all.
  [[nodiscard]] std::optional<Time> next_call() const;
  // When calls of hooks can go on, in a turn of their own (HooksTurn); none: no call waits.
  [[nodiscard]] std::optional<Time> hooks_due() const { return hooks_.due(now_); }
  [[nodiscard]] std::vector<hooks::Status> hooks() const { return hooks_.status(); }
  [[nodiscard]] std::size_t owed() const { return owed_; }  // requests without their final answer
  [[nodiscard]] std::size_t held() const { return requests_.size(); }
  [[nodiscard]] const Counters& counters() const { return counters_; }
  // Each request's way is told in lines of the level "debug".
  void tell_all(bool on) { tells_all_ = on; }
  // Tenants, by their positions, that requests or hooks refer to.
  [[nodiscard]] std::unordered_set<std::uint32_t> tenants_held() const;

 private:
  enum class Stage { waiting, out, leaving, over };  // for a connection; at the engine; given up; ended
  struct Attempt {
    EngineId engine = 0;
    Stage stage = Stage::waiting;
    Time begun{}, until{};
    std::optional<Time> may_run_since;  // its first byte may have left then; none: it never ran
    Time lingers{};                     // it may run on until then, though it has ended here
    std::uint16_t zone = 0, cell = 0;   // of the engine
    bool timed_out = false;
    std::uint8_t priority = 1;
  };
  // Where a request is before it is answered: inside its hooks; through them, but behind another of its key
  // that is not; or with the module, which has heard of it.
  enum class Place { hooks, line, module };
  struct Request {
    Submission asked;
    Place place = Place::module;
    std::vector<std::string> tags;
    Time since{}, deadline{};
    bool answered = false;
    bool half_closed = false;  // by its client: it gets no further attempt
    double memory_mb = 0;
    std::uint8_t priority = 1;
    std::vector<Attempt> attempts;
    std::string last_word;  // of an engine on why an attempt failed
  };
  struct Alarm {
    enum class Kind { wake, attempt, deadline } kind = Kind::wake;
    AttemptId id;
  };

  void on(const ListenersReady&);
  void on(EndpointUpdate& change);
  void on(const EndpointListPolled& quiet);
  void on(RequestReceived& arrived);
  void on(const ProcessStalled& stalled);
  void on(const ClientCancelled& cancelled);
  void on(const ClientHalfClosed& half);
  void on(const AttemptConnected& ready);
  void on(const AttemptProgressed& heard);
  void on(AttemptEnded& ended);
  void on(HealthCheckEnded& ended);
  void on(GossipReceived& heard);
  void on(const ShutdownRequested& asked);
  void on(const ReloadRequested&) { put(ReadConfiguration{}); }
  void on(ConfigurationRead& read);
  void on(SettingsOffered& offered);
  void on(HookRan& ran) { hooks_.ran(now_, std::move(ran.ran)); }
  void on(const HookRenewed& renewed) { hooks_.renewed(now_, renewed.renewed); }
  void on(const HooksTurn&) { hooks_.turn(now_); }
  void on(const Tick& tick);
  void on(const Alarm& alarm);

  void act(const policy::SendAttempt& send);
  void act(const policy::CancelAttempt& off);
  void act(const policy::Reject& refuse);
  void act(const policy::Fail& fail);
  void act(const policy::AttemptTerms& terms);
  void act(const policy::ScheduleTimer& wake);
  void act(const policy::SendHealthCheck& probe);
  void act(policy::SendGossip& tell);
  void act(const policy::PollEndpointList&) {}  // the change log is always asked
  void act(policy::LogMessage& trace);

  void consult();
  void settle_hooks();
  void let_through(hooks::Passed& passed);
  void hand_over(RequestId id, Request& request);
  [[nodiscard]] bool enter_hooks(RequestId id, Request& request);
  void step_out(RequestId id, Request& request);
  void advance_line(std::uint64_t key);
  void tell_end(const Request& request, AnswerKind kind, Time pause);
  [[nodiscard]] bool in_line(const Submission& asked) const;
  void give_up_all();
  void give_up(RequestId id, Request& request);
  void answer_unserved(RequestId id, Request& request);
  void withdraw_unsent(RequestId id, Request& request);
  [[nodiscard]] bool is_late(const Request& request) const;
  [[nodiscard]] bool may_refuse(const Request& request) const;
  [[nodiscard]] GuardDecision may_send(AttemptId id, const Request& request) const;
  void violated(Violation violation, RequestId id);
  template <class... Parts>
  void trace(RequestId id, const Parts&... parts);
  [[nodiscard]] bool is_news(bool live) const;
  [[nodiscard]] Time start_of(const EndpointRecord& member, bool live);
  void read_starts_anew();
  void answer(RequestId id, Request& request, AnswerKind kind, Time pause, std::string body,
              std::string shape = {});
  void conclude(AttemptId id, Request& request, policy::AttemptResult result, AttemptEnded* told);
  void abandon(AttemptId id, Attempt& attempt, bool timed_out);
  void forget_if_done(RequestId id);
  Request* find(RequestId id);
  Attempt* find(AttemptId id);
  void put(Effect effect) { out_->push_back(std::move(effect)); }

  policy::Settings settings_;
  policy::Scheduler gateway_;
  Guard guard_{settings_};
  Counters counters_;
  bool tells_all_ = false;
  Time guard_swept_{};
  // The change log's address: by the platform's configuration, and by the version in force, which wins.
  std::string own_changelog_, named_changelog_;
  Lifecycle lifecycle_;
  TimerWheel<Alarm> wheel_{kTick};
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<ClientHandle, RequestId> by_client_;
  std::unordered_set<std::string> tickets_;  // of the requests held
  std::unordered_map<EngineId, EndpointRecord> members_;
  std::unordered_map<EngineId, std::vector<Time>> probes_;  // when each one that is out was sent
  std::vector<policy::Event> news_;                         // for the module's next call
  std::vector<policy::Action> actions_;
  hooks::Control hooks_;
  // By key of order: requests that the module has not heard of, as they came.
  std::unordered_map<std::uint64_t, std::deque<RequestId>> lines_;
  std::vector<std::uint64_t> moved_lines_;
  Time tags_second_{};  // lines about tagged requests, in the second that began then
  unsigned tags_lines_ = 0, tags_unsaid_ = 0;
  RequestId last_request_ = 0;
  std::size_t owed_ = 0, most_bytes_, held_bytes_ = 0;
  bool fleet_told_ = false;
  StartClock starts_;
  ProcessStalled stalled_;  // the last one
  Time heard_{};            // the change log's last answer; 0: none yet
  Time now_{}, called_{};
  Effects* out_ = nullptr;
};

}  // namespace bellstair::core
