// The client of the change log: polls it continuously, with one long poll at a time.
#pragma once

#include <ev++.h>

#include <memory>
#include <optional>
#include <string>

#include "config/config.hpp"
#include "core/events.hpp"
#include "net/backoff.hpp"
#include "net/event_sink.hpp"
#include "net/loop_component.hpp"
#include "net/stream.hpp"
#include "platform/http.hpp"

namespace bellstair::platform {

// Emits an EndpointUpdate for each change of the endpoint list, and an EndpointListPolled after each answer.
// Before the first answer, also emits an EndpointListPolled on failures, once there were several or the wait
// was long.
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
  void connect();
  void poll();
  void on_response();
  void on_failure();
  void retire_stream();  // instead of destroying it: one of its handlers may be running

  ev::loop_ref loop_;
  std::string address_;
  const config::Names& names_;
  std::uint64_t last_seq_;
  net::EventSink emit_;
  std::unique_ptr<net::Stream> stream_;
  std::unique_ptr<net::Stream> retired_stream_;
  HttpReader reader_;
  net::Backoff backoff_;
  bool first_poll_ = true;       // which the change log answers at once
  bool invalid_logged_ = false;  // an invalid answer, since the last valid one
  bool backing_off_ = true;
  unsigned failures_before_first_answer_ = 0;
  core::Time now_{};
  core::Time retry_at_{};
  core::Time call_deadline_{};
  std::optional<core::Time> started_at_;
};

}  // namespace bellstair::platform
