// The change log: a long poll that is always out.
#pragma once

#include <ev++.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "config/config.hpp"
#include "core/events.hpp"
#include "net/backoff.hpp"
#include "net/stream.hpp"
#include "platform/http.hpp"

namespace bellstair::platform {

class ChangeLog {
 public:
  using Post = std::function<void(core::Event)>;
  ChangeLog(ev::loop_ref loop, std::string address, const config::Names& names, std::uint64_t since,
            std::uint64_t seed, Post post);
  void tick(core::Time now);
  // The clock, after a time without a tick: nothing falls due before what has come meanwhile is read.
  void wake(core::Time now) { now_ = now; }
  // Moves to another address at once, from the last whole event on.
  void follow(const std::string& address);

 private:
  void dial();
  void ask();
  void answered();
  void lost();

  ev::loop_ref loop_;
  std::string address_;
  const config::Names& names_;
  std::uint64_t since_;
  Post post_;
  std::unique_ptr<net::Stream> stream_, old_;
  HttpReader reader_;
  net::Backoff backoff_;
  bool first_ = true;      // the first call asks without waiting
  bool nonsense_ = false;  // came last; said once
  bool waiting_ = false;   // for the next try
  unsigned failures_ = 0;
  core::Time now_{}, next_try_{}, patience_{};
  std::optional<core::Time> began_;
};

}  // namespace bellstair::platform
