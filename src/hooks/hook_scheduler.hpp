// Schedules the calls of hooks: which hooks are called for a request, which call gets the next slice of the
// loop, which is aborted, what the request's hooks decide in the end, and the circuit breakers. Plain values
// in, plain values out, without I/O or a clock of its own.
//
// A call is waiting -> (first slice) -> begun -> ended. At most one slice runs at any time: its result must
// be given to ran() before another is asked for.
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

using Owner = std::uint32_t;  // the request, as the reducer knows it

// A request's hooks have ended.
struct HookCompletion {
  Owner owner = 0;
  RequestView subject;          // with labels and tags as they were set
  std::optional<Time> refused;  // for how long it is to stay away
  HookId by = 0;
};
using Command = std::variant<RunSlice, AbortCall, RenewMachine, RetireMachine>;

struct Counts {
  std::uint64_t calls = 0, failures = 0, cut = 0, crowded = 0, passed_over = 0, refusals = 0, dropped = 0;
  Time cpu{};
};
struct Status {
  std::string name;
  Breaker::State state = Breaker::State::closed;
  Time until{};
  std::size_t inside = 0;  // calls that wait or have begun
  std::size_t memory = 0;  // bytes
  Counts counts;
};

class HookScheduler {
 public:
  explicit HookScheduler(Set set = {});
  HookScheduler(const HookScheduler&) = delete;  // its breakers refer to its limits
  HookScheduler& operator=(const HookScheduler&) = delete;

  // Replaces all hooks at once. Requests that have entered finish with the hooks that they began with; a hook
  // whose name and script stay the same keeps the state of its breaker.
  void install(Time now, Set set);

  [[nodiscard]] bool any(Phase phase) const {
    return !hooks_by_phase_[static_cast<std::size_t>(phase)].empty();
  }

  // True: the request has entered, and a Passed follows; false: no hook is for it.
  bool submit(Time now, Owner owner, RequestView subject, std::string_view statement);
  void cancel(Owner owner);  // the request has been answered meanwhile
  void notify_answer(Time now, const RequestView& end, std::string_view statement);  // phase answer
  void on_slice_result(Time now, SliceResult ran);
  void on_machine_renewed(Time now, const MachineRenewed& renewed);
  void tick(Time now);  // wait timeouts and timers
  void begin_turn(Time now) { budget_.begin_turn(now); }

  // Next slices, as far as the budget allows now; to be called after all of the above.
  void dispatch(Time now);
  // When dispatch() can do more; none if nothing waits for it.
  [[nodiscard]] std::optional<Time> due(Time now) const;

  // Nothing to dispatch, and nothing for the caller to take.
  [[nodiscard]] bool is_idle() const {
    return jobs_.empty() && completions.empty() && commands.empty() && log_lines.empty();
  }

  std::vector<Command> commands;  // for the caller to take
  std::vector<HookCompletion> completions;
  std::vector<std::string> log_lines;  // for the log

  [[nodiscard]] std::vector<Status> status() const;
  // Tenants that hooks match, and that calls of phase answer are about; without those of requests that have
  // entered.
  [[nodiscard]] std::unordered_set<std::uint32_t> tenants() const;
  [[nodiscard]] std::size_t inside() const { return requests_.size(); }
  [[nodiscard]] std::size_t jobs() const { return jobs_.size(); }

 private:
  struct Hook {
    Spec spec;
    Breaker breaker;
    bool current = true;           // of the newest set
    std::size_t open_chains = 0;   // requests inside whose chain names it
    std::size_t answer_calls = 0;  // calls of phase answer that wait
    std::deque<JobId> waiting, begun;
    Counts counts;
    std::size_t memory = 0;
    Time next_timer{}, next_log_line{};
    std::uint64_t suppressed_lines = 0;
    bool timer_running = false;  // a call of phase timer is under way
    std::size_t jobs = 0;        // waiting, begun or running
    Hook(Spec s, const Limits& limits) : spec(std::move(s)), breaker(limits) {}
  };
  struct Job {
    HookId hook = 0;
    Phase phase = Phase::request;
    Owner owner = 0;      // phase request
    RequestView subject;  // phase answer; of a request it is its owner's
    bool begun = false, trial = false;
    bool finished = false;  // its machine holds nothing of it
    CallUsage usage;
  };
  struct RequestState {
    Chain chain;
    RequestView subject;
    JobId job = 0;  // the call that it waits for
  };

  // Takes over the record of the replaced hook of the same name.
  void add_hook(Time now, Spec spec, const std::vector<HookId>& replaced);
  void remove_unowned_calls(const Hook& hook);
  // Whether a call may begin, and whether it is a trial.
  [[nodiscard]] bool admit(Time now, Hook& hook, bool& trial);
  void call_next_hook(Time now, Owner owner);
  JobId enqueue(Time now, Hook& hook, Phase phase, Owner owner, RequestView subject, bool trial);
  void fail(Time now, JobId id, HookFailureKind failure, const std::string& text);
  void complete(Time now, JobId id, HookFailureKind failure, const HookDecision& verdict);
  void remove(JobId id);
  void log_failure(Time now, Hook& hook, HookFailureKind failure, const std::string& text);
  void on_breaker_changed(Time now, Hook& hook);
  void retire_if_done(HookId id);
  [[nodiscard]] Hook* least_served_hook();
  [[nodiscard]] static bool has_runnable_call(const Hook& hook);

  Limits limits_;
  Budget budget_;
  std::unordered_map<HookId, Hook> hooks_;
  std::vector<Hook*> busy_;                      // those that have calls
  std::vector<HookId> hooks_by_phase_[kPhases];  // of the newest set, in order
  std::unordered_map<JobId, Job> jobs_;
  std::unordered_map<Owner, RequestState> requests_;
  using WaitDeadline = std::pair<Time, JobId>;
  std::priority_queue<WaitDeadline, std::vector<WaitDeadline>, std::greater<>>
      wait_deadlines_;  // also of calls that have ended
  JobId last_job_ = 0, running_job_ = 0;
};

}  // namespace bellstair::hooks
