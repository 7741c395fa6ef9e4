// The client of the change log: polls it continuously, with one long poll at a time while answers come in
// time.
#pragma once

#include <ev++.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "core/events.hpp"
#include "net/backoff.hpp"
#include "net/event_sink.hpp"
#include "net/loop_component.hpp"
#include "net/stream.hpp"
#include "platform/http.hpp"

namespace bellstair::platform {

// Emits an EndpointUpdate for each change of the endpoint list, and an EndpointListPolled after each answer.
// Before the first answer, also emits an EndpointListPolled after failures or a long wait.
class ChangeLogClient : public net::LoopComponent {
 public:
  // Polls for the events after number `last_seq`. `seed` randomizes the backoff between retries.
  ChangeLogClient(ev::loop_ref loop, std::string address, const config::Names& names, std::uint64_t last_seq,
                  std::uint64_t seed, net::EventSink emit);
  void tick(core::Time now) override;
  void resume(const net::Stall& stall) override { now_ = stall.resumed_at; }
  void settle() override {}
  // Connects to another address at once and continues after the last event received. No-op if the address is
  // unchanged.
  void set_address(const std::string& address);

 private:
  // A call and its connection. One that is late may be slow, or lost: another begins beside it, and the first
  // answer is used. The oldest is dropped only when a later one is answered.
  struct Call {
    explicit Call(std::size_t max_body) : reader(max_body) {}
    std::unique_ptr<net::Stream> stream;
    HttpReader reader;
    core::Time connect_deadline{};
    std::optional<core::Time> sent_at;  // none: it is connecting
    core::Time poll_duration{};         // how long the answer may be delayed while nothing changes
  };

  void begin_call();
  void poll(Call& call);
  void on_response(Call& call);
  void on_failure(Call& call);
  // Applies the events that are new. Returns false if the answer is invalid.
  [[nodiscard]] bool apply(const std::string& body);
  void record_lateness(const Call& call, bool has_events);
  // How long the oldest call may take before another begins beside it.
  [[nodiscard]] core::Time patience() const;
  void schedule_next_call();
  void time_out_connects();
  void retire(Call& call);  // instead of destroying it: one of its handlers may be running

  ev::loop_ref loop_;
  std::string address_;
  const config::Names& names_;
  std::uint64_t last_seq_;
  net::EventSink emit_;
  std::deque<std::unique_ptr<Call>> calls_;  // the oldest one first
  std::vector<std::unique_ptr<Call>> retired_;
  net::Backoff backoff_;
  bool first_poll_ = true;       // which the change log answers at once
  bool invalid_logged_ = false;  // an invalid answer, since the last valid one
  bool waited_long_ = false;     // for the first answer
  unsigned failures_before_first_answer_ = 0;
  core::Time now_{};
  core::Time next_call_at_{};
  core::Time call_spacing_{};  // between calls beside each other
  core::Time lateness_{};      // by which the last answers came later than the poll asked for
  std::optional<core::Time> started_at_;
};

}  // namespace bellstair::platform
