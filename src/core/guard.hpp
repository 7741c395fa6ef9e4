// The one place that decides whether something may be taken, sent, sent again, refused or closed now. The
// reducer asks it at each such step, whoever wants it: the module, a client, an alarm, the end of the
// program. It decides by the state as it is at that moment, since all that led to the step may be out of
// date.
#pragma once

#include <optional>
#include <span>
#include <unordered_map>

#include "core/lifecycle.hpp"
#include "core/verdict.hpp"
#include "policy/retry_rules.hpp"

namespace bellstair::core {

class Guard {
 public:
  // `settings`: those in force; they are replaced in place.
  explicit Guard(const policy::Settings& settings) : settings_(settings) {}

  struct Taking {
    Phase phase = Phase::starting;
    std::size_t owed = 0;  // requests without their answer
    bool fits = true;      // what it holds, into what all requests may hold
    bool ticket_in_use = false;
  };
  [[nodiscard]] Verdict may_take(const Taking& taking) const;

  // An attempt of the same request. `running`: it is at its engine, or nothing proves yet that it is over.
  struct Earlier {
    policy::EarlierAttempt attempt;
    bool running = false;
  };
  struct Sending {
    RequestId request = 0;
    ClassIndex cls = 0;
    std::uint64_t order_key = 0;  // 0: none
    bool answered = false, client_gone = false;
    Time until{};                              // its time is over then
    const policy::Endpoint* engine = nullptr;  // none: not known
    std::span<const Earlier> earlier;
  };
  // Whether the attempt may begin, and whether its first byte may leave: asked for both.
  [[nodiscard]] Verdict may_send(const Sending& sending, Time now) const;
  // What a module that heeds the rules does not ask for, however much has changed meanwhile.
  [[nodiscard]] static bool breaks_a_rule(Verdict verdict);

  // Whether a client may be told that trying again does no harm. `unrun`: that is proved of all attempts.
  [[nodiscard]] bool may_refuse(ClassIndex cls, bool unrun) const;

  // A client's connection: `open` requests on it without their answer, and whether input waits to be read.
  [[nodiscard]] static bool may_close(std::size_t open, bool unread) { return open == 0 && !unread; }

  // An attempt of a request with a key left for its engine, and ended there; it may run on until `lingers`.
  void sent(std::uint64_t key, RequestId request);
  void ended(std::uint64_t key, RequestId request, Time lingers);
  void forget(Time now);  // keys at rest

 private:
  // The request of a key whose attempts are out.
  struct Key {
    RequestId request = 0;
    unsigned out = 0;
    Time lingers{};
  };
  [[nodiscard]] bool key_in_use(std::uint64_t key, RequestId request, Time now) const;

  // What a repeat's window is taken to end earlier by.
  static constexpr Time kWindowSlack = std::chrono::milliseconds(5);

  const policy::Settings& settings_;
  std::unordered_map<std::uint64_t, Key> keys_;
};

}  // namespace bellstair::core
