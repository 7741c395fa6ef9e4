// Schedules the calls of hooks. It decides which hooks are called for a request, which call gets the next
// slice of the event loop and which call is aborted; it combines the hooks' decisions and runs their circuit
// breakers. It does no I/O and reads no clock.
//
// A call is waiting -> (first slice) -> started -> ended. At most one slice runs at any time: its result must
// be passed to on_slice_result() before dispatch() requests another.
#pragma once

#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "hooks/breaker.hpp"
#include "hooks/budget.hpp"
#include "hooks/chain.hpp"
#include "hooks/spec.hpp"

namespace bellstair::hooks {

using Owner = std::uint32_t;  // the reducer's id of the request

// The outcome of all hooks of a request.
struct HookCompletion {
  Owner owner = 0;
  RequestView subject;          // with the labels and tags that hooks have set
  std::optional<Time> refused;  // the time after which the client may retry a rejected request
  HookId by = 0;                // the hook that rejected the request; 0: none
};
using Command = std::variant<RunSlice, AbortCall, RenewMachine, RetireMachine>;

struct Counts {
  std::uint64_t calls = 0, failures = 0, limits_exceeded = 0, queue_timeouts = 0, skipped = 0, rejections = 0,
                dropped = 0;
  Time cpu{};
};
struct Status {
  std::string name;
  Breaker::State state = Breaker::State::closed;
  Time breaker_open_until{};
  std::size_t active_calls = 0;  // calls that wait or have started
  std::size_t memory = 0;        // bytes
  Counts counts;
};

class HookScheduler {
 public:
  explicit HookScheduler(Set set = {});
  HookScheduler(const HookScheduler&) = delete;  // the breakers refer to limits_
  HookScheduler& operator=(const HookScheduler&) = delete;

  // Replaces all hooks at once. Submitted requests finish with the hooks that they started with. A hook whose
  // name and script are unchanged keeps the state of its breaker.
  void install(Time now, Set set);

  [[nodiscard]] bool any(Phase phase) const {
    return !hooks_by_phase_[static_cast<std::size_t>(phase)].empty();
  }

  // Returns true if hooks are called for the request; a HookCompletion follows. Returns false if no hook
  // matches it.
  bool submit(Time now, Owner owner, RequestView subject, std::string_view statement);
  void cancel(Owner owner);  // the request has been answered before its hooks ended
  // Queues the calls of phase answer.
  void notify_answer(Time now, const RequestView& end, std::string_view statement);
  void on_slice_result(Time now, SliceResult result);
  void on_machine_renewed(Time now, const MachineRenewed& renewed);
  void tick(Time now);  // ends calls whose wait timeout has expired, and queues the calls of phase timer
  void begin_turn(Time now) { budget_.begin_turn(now); }

  // Requests the next slice if the budget allows it now. Must be called after any of the functions above.
  void dispatch(Time now);
  // Returns the earliest time at which dispatch() can request the next slice; none while a slice runs or if
  // there are no calls.
  [[nodiscard]] std::optional<Time> due(Time now) const;

  // Returns whether there is nothing to dispatch and nothing for the caller to take.
  [[nodiscard]] bool is_idle() const {
    return jobs_.empty() && completions.empty() && commands.empty() && log_lines.empty();
  }

  std::vector<Command> commands;  // for the caller to take
  std::vector<HookCompletion> completions;
  std::vector<std::string> log_lines;  // for the log

  [[nodiscard]] std::vector<Status> status() const;
  // Returns the tenants that hooks match or that calls of phase answer refer to, but not those of submitted
  // requests.
  [[nodiscard]] std::unordered_set<std::uint32_t> tenants() const;
  [[nodiscard]] std::size_t active_requests() const { return requests_.size(); }
  [[nodiscard]] std::size_t jobs() const { return jobs_.size(); }

 private:
  struct Hook {
    Spec spec;
    Breaker breaker;
    bool current = true;           // in the newest set
    std::size_t open_chains = 0;   // submitted requests whose chain contains the hook
    std::size_t answer_calls = 0;  // calls of phase answer that wait
    std::deque<JobId> waiting, started;
    Counts counts;
    std::size_t memory = 0;
    Time next_timer{}, next_log_line{};
    std::uint64_t suppressed_lines = 0;
    bool timer_running = false;  // a call of phase timer has not ended
    std::size_t jobs = 0;        // waiting, started or running
    Hook(Spec s, const Limits& limits) : spec(std::move(s)), breaker(limits) {}
  };
  struct Job {
    HookId hook = 0;
    Phase phase = Phase::request;
    Owner owner = 0;      // for phase request only
    RequestView subject;  // for phase answer only; phase request uses the RequestState of the owner
    bool started = false, trial = false;
    bool finished = false;  // the machine holds no state of the call
    CallUsage usage;
  };
  struct RequestState {
    Chain chain;
    RequestView subject;
    JobId job = 0;  // the call that the request waits for
  };

  // Copies the counts, and for an unchanged script the breaker, of the replaced hook of the same name.
  void add_hook(Time now, Spec spec, const std::vector<HookId>& replaced);
  void remove_unowned_calls(const Hook& hook);
  // Returns whether a call may start, and sets `trial` if it is a trial of the breaker.
  [[nodiscard]] bool admit(Time now, Hook& hook, bool& trial);
  void call_next_hook(Time now, Owner owner);
  JobId enqueue(Time now, Hook& hook, Phase phase, Owner owner, RequestView subject, bool trial);
  void fail(Time now, JobId id, HookFailureKind failure, const std::string& text);
  void complete(Time now, JobId id, HookFailureKind failure, const HookDecision& decision);
  void remove(JobId id);
  void log_failure(Time now, Hook& hook, HookFailureKind failure, const std::string& text);
  void on_breaker_changed(Time now, Hook& hook);
  void retire_if_done(HookId id);
  [[nodiscard]] Hook* least_served_hook();
  [[nodiscard]] static bool has_runnable_call(const Hook& hook);

  Limits limits_;
  Budget budget_;
  std::unordered_map<HookId, Hook> hooks_;
  std::vector<Hook*> busy_;                      // hooks that have calls
  std::vector<HookId> hooks_by_phase_[kPhases];  // in the newest set, in the order of calls
  std::unordered_map<JobId, Job> jobs_;
  std::unordered_map<Owner, RequestState> requests_;
  using WaitDeadline = std::pair<Time, JobId>;
  std::priority_queue<WaitDeadline, std::vector<WaitDeadline>, std::greater<>>
      wait_deadlines_;  // may include calls that have ended
  JobId last_job_ = 0, running_job_ = 0;
};

}  // namespace bellstair::hooks
