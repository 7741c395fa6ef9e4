// Connections to engines, one call at a time on each, under one limit on descriptors for all engines.
#pragma once

#include <ev++.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/timer_wheel.hpp"
#include "net/stream.hpp"

namespace bellstair::net {

using core::Time;

// Protocol state that a driver keeps with a connection: a parser, a login.
struct Session {
  virtual ~Session() = default;
};

class ConnectionPool {
 public:
  struct Connection {
    std::uint64_t serial = 0;
    std::uint32_t engine = 0;
    Stream stream;
    bool idle = false;
    bool established = false;       // connected, and the handshake is over where the protocol has one
    bool slow_to_connect = false;   // another connect was begun beside it
    bool has_carried_call = false;  // any, also an earlier one
    bool address_outdated = false;  // the engine has left the address that this leads to
    Time state_since{};             // the connect began, or it became idle
    std::unique_ptr<Session> session;
    // Set by whoever holds the connection, for as long as it does.
    std::function<void(std::string_view)> on_data;  // called for each read
    std::function<void(bool clean)> on_lost;  // called at most once; clean: the peer closed in good form
    Connection(ev::loop_ref loop, Fd fd, std::size_t max_unwritten_bytes)
        : stream(loop, std::move(fd), true, max_unwritten_bytes) {}
  };
  // Called exactly once, from settle() or tick(), unless the checkout is cancelled before. nullptr: no
  // connection could be had, and nothing has left for the engine.
  using CheckoutHandler = std::function<void(Connection*)>;
  // Runs the protocol's handshake on a new connection and calls done(true) once calls may use it, or
  // done(false) once it has failed.
  using Handshake = std::function<void(Connection&, std::function<void(bool succeeded)> done)>;

  struct Limits {
    std::size_t max_connections = 512;  // to all engines together
    std::size_t max_unwritten_bytes = std::size_t{4} << 20;
    Time connect_timeout{};
    Time idle_timeout{};
    Time reuse_delay{};  // after a call, before the next one on the same connection
  };

  ConnectionPool(ev::loop_ref loop, Limits limits, Handshake handshake = {});

  // Idle connections to a former address are closed, and those in use once they are released.
  void set_endpoint(std::uint32_t engine, const std::string& address);
  // Closes the engine's idle connections and opens no new ones.
  void remove_endpoint(std::uint32_t engine);

  // Returns a ticket, never 0. The handler is not called from within; with nullptr at the latest two seconds
  // after `timeout`.
  std::uint64_t acquire(std::uint32_t engine, CheckoutHandler handler, Time timeout = Time::max());
  void cancel_acquire(std::uint32_t engine, std::uint64_t ticket);
  // Returns a connection that is fit for another call.
  void release(Connection& connection);
  // Closes a connection that is not.
  void discard(Connection& connection);

  // Serves waiters and frees closed connections. To be called once in each turn of the loop.
  void settle();
  void tick(Time now);
  // Sets the clock and fires no timer; see LoopComponent::resume().
  void set_clock(Time now) { now_ = now; }

  [[nodiscard]] std::size_t size() const { return connections_.size(); }

 private:
  struct Waiter {
    std::uint64_t ticket = 0;
    CheckoutHandler handler;
    Time since{};
    Time timeout{};
    std::optional<Time> deadline;  // set by the first sweep that sees the waiter
  };
  struct Engine {
    std::string address;
    bool available = false;
    std::deque<Connection*> idle;  // most recently used at the back
    std::deque<Waiter> waiters;
    std::size_t connecting = 0;
    std::size_t connecting_slowly = 0;    // of these
    std::size_t unreported_failures = 0;  // failed connects that no waiter has been told of
    int consecutive_resets = 0;           // of connects
    bool check_connect_timeouts = false;  // some waiter may have run out of time
    Time last_heard_at{};                 // a connect succeeded, or bytes arrived
    Time next_connect_at{};
  };

  void connect(std::uint32_t id, Engine& engine);
  [[nodiscard]] Stream::Handlers handlers_of(Connection& connection);
  void connect_failed(std::uint32_t id, Engine& engine, int error);
  void finish_connect(Connection& connection, bool succeeded);
  void schedule_reconnects();
  void report_lost(Connection& connection, bool clean);
  // Hands nullptr to each waiter for whom `expired(waiter)` holds.
  template <class Expired>
  static void fail_waiters(Engine& engine, Expired expired);
  void fail_waiters_past_connect_timeout(Engine& engine);
  static void fail_waiters_past_own_timeout(Engine& engine, Time now);
  void serve_waiters(std::uint32_t id, Engine& engine);
  [[nodiscard]] static Waiter take_first_waiter(Engine& engine);
  // nullptr: none is fit for use now.
  [[nodiscard]] Connection* take_idle(Engine& engine);
  [[nodiscard]] bool needs_another_connect(const Engine& engine) const;
  // Evicts the connection that has been idle longest if the limit is reached; false: all are in use.
  bool make_room();
  void note_descriptor_shortage();
  void end_descriptor_shortage();
  void remove(Connection& connection);
  void check_connects();
  void sweep(Time now);

  ev::loop_ref loop_;
  Limits limits_;
  Handshake handshake_;
  std::unordered_map<std::uint32_t, Engine> engines_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Connection>> closed_;  // freed once no handler of theirs can be running
  core::TimerWheel<std::uint64_t> connect_timers_{std::chrono::milliseconds(5)};  // by connection
  std::vector<std::uint32_t> changed_engines_;      // whose waiters may be served
  std::vector<std::uint32_t> unreachable_engines_;  // to be connected to again
  std::uint64_t last_serial_ = 0;
  std::uint64_t last_ticket_ = 0;
  bool descriptor_shortage_ = false;  // some connect waits for a descriptor
  Time now_{};
  Time last_sweep_{};
  Time shortage_since_{};
};

}  // namespace bellstair::net
