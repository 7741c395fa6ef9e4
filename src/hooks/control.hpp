// All decisions about hooks, driven by the reducer: which hook is called for which request, who gets the next
// slice of the loop, what is cut off, what a request's hooks have said in the end, who is taken out. Plain
// values in, plain values out; no script is known here, and no clock but the one told.
//
// A call goes: waiting -> (first slice) -> begun -> ended. At most one slice is out at any time: its result
// must be told by ran() before another is asked for.
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
struct Passed {
  Owner owner = 0;
  Subject subject;              // with labels and tags as they were set
  std::optional<Time> refused;  // for how long it is to stay away
  HookId by = 0;
};
using Command = std::variant<Run, Drop, Renew, Retire>;

struct Counts {
  std::uint64_t calls = 0, failures = 0, cut = 0, crowded = 0, passed_over = 0, refusals = 0, dropped = 0;
  Time cpu{};
};
struct Status {
  std::string name;
  Breaker::State state = Breaker::State::closed;
  Time until{};
  std::size_t inside = 0, memory = 0;  // calls; bytes
  Counts counts;
};

class Control {
 public:
  explicit Control(Set set = {});
  Control(const Control&) = delete;  // its breakers look at its limits
  Control& operator=(const Control&) = delete;

  // Swaps all hooks at once. Requests that are inside finish with the hooks that they began with; a hook
  // whose name and script stay the same keeps its record with the breaker.
  void install(Time now, Set set);

  [[nodiscard]] bool any(Phase phase) const { return !phased_[static_cast<std::size_t>(phase)].empty(); }

  // A request comes. True: it is inside now, and a Passed tells its end; false: no hook is for it.
  bool enter(Time now, Owner owner, Subject subject, std::string_view statement);
  void leave(Owner owner);                                              // it has been answered meanwhile
  void told(Time now, const Subject& end, std::string_view statement);  // phase answer
  void ran(Time now, Ran ran);
  void renewed(Time now, const Renewed& renewed);
  void tick(Time now);  // what waits too long, timers
  void turn(Time now) { budget_.begin_turn(now); }

  // Next slices, as far as the budget allows now; to be called after all of the above.
  void dispatch(Time now);
  // When dispatch() can do more; none: nothing waits.
  [[nodiscard]] std::optional<Time> due(Time now) const;

  // Nothing to dispatch, and nothing for the caller to take.
  [[nodiscard]] bool quiet() const {
    return jobs_.empty() && passed.empty() && commands.empty() && said.empty();
  }

  std::vector<Command> commands;  // for the caller to take
  std::vector<Passed> passed;
  std::vector<std::string> said;  // for the log

  [[nodiscard]] std::vector<Status> status() const;
  // Tenants that hooks are for, and that calls of phase answer are about; those of requests inside are not
  // told.
  [[nodiscard]] std::unordered_set<std::uint32_t> tenants() const;
  [[nodiscard]] std::size_t inside() const { return owners_.size(); }
  [[nodiscard]] std::size_t jobs() const { return jobs_.size(); }

 private:
  struct Hook {
    Spec spec;
    Breaker breaker;
    bool current = true;      // of the newest set
    std::size_t chains = 0;   // requests inside whose chain names it
    std::size_t answers = 0;  // calls of phase answer that wait
    std::deque<JobId> waiting, begun;
    Counts counts;
    std::size_t memory = 0;
    Time next_timer{}, next_line{};
    std::uint64_t unsaid = 0;
    bool timing = false;   // a call of phase timer is under way
    std::size_t jobs = 0;  // waiting, begun or out
    Hook(Spec s, const Limits& limits) : spec(std::move(s)), breaker(limits) {}
  };
  struct Job {
    HookId hook = 0;
    Phase phase = Phase::request;
    Owner owner = 0;  // phase request
    Subject subject;  // phase answer; of a request it is its owner's
    bool begun = false, trial = false;
    bool over = false;  // its machine has nothing left of it
    Use use;
  };
  struct Inside {
    Chain chain;
    Subject subject;
    JobId job = 0;  // the call that it waits for
  };

  // Whether a call may begin, and whether it is a trial.
  [[nodiscard]] bool admit(Time now, Hook& hook, bool& trial);
  void advance(Time now, Owner owner);
  JobId add(Time now, Hook& hook, Phase phase, Owner owner, Subject subject, bool trial);
  void fail(Time now, JobId id, Failure failure, const std::string& text);
  void end(Time now, JobId id, Failure failure, const Verdict& verdict);
  void remove(JobId id);
  void blame(Time now, Hook& hook, Failure failure, const std::string& text);
  void changed(Time now, Hook& hook);
  void retire_if_done(HookId id);
  [[nodiscard]] Hook* pick();
  [[nodiscard]] static bool ready(const Hook& hook);

  Limits limits_;
  Budget budget_;
  std::unordered_map<HookId, Hook> hooks_;
  std::vector<Hook*> busy_;              // those that have calls
  std::vector<HookId> phased_[kPhases];  // of the newest set, in order
  std::unordered_map<JobId, Job> jobs_;
  std::unordered_map<Owner, Inside> owners_;
  using Wait = std::pair<Time, JobId>;
  std::priority_queue<Wait, std::vector<Wait>, std::greater<>> waits_;  // also of calls that have ended
  JobId last_job_ = 0, out_ = 0;
};

}  // namespace bellstair::hooks
