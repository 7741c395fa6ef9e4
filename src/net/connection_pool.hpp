// A pool of connections to engines. Each connection carries one call at a time, and one limit holds for the
// connections to all engines together.
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

// Protocol state that a driver attaches to a connection, such as a parser or the state of a login.
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
    bool established = false;       // connected, and the protocol's handshake, if any, is complete
    bool slow_to_connect = false;   // another connect may run in parallel to it
    bool has_been_used = false;     // checked out for a call at least once
    bool address_outdated = false;  // the engine has moved from the address that this leads to
    Time state_since{};             // when the connect began or the connection became idle
    std::unique_ptr<Session> session;
    // Set by the current user of the connection while it is checked out.
    std::function<void(std::string_view)> on_data;  // called for each read
    std::function<void(bool clean)> on_lost;        // called at most once; clean: closed without a reset
    Connection(ev::loop_ref loop, Fd fd, std::size_t max_unwritten_bytes)
        : stream(loop, std::move(fd), true, max_unwritten_bytes) {}
  };
  // Called exactly once, from settle() or tick(), unless the checkout is cancelled first. nullptr means that
  // no connection could be made and nothing was sent to the engine.
  using CheckoutHandler = std::function<void(Connection*)>;
  // Runs the protocol's handshake on a new connection and calls done(true) when calls may use it, or
  // done(false) when the handshake has failed.
  using Handshake = std::function<void(Connection&, std::function<void(bool succeeded)> done)>;

  struct Limits {
    std::size_t max_connections = 512;  // to all engines together
    std::size_t max_unwritten_bytes = std::size_t{4} << 20;
    // Of the users of all connections together: statements, unsent output, and responses being read.
    std::size_t max_buffered_bytes = std::size_t{24} << 20;
    Time connect_timeout{};
    Time idle_timeout{};
    Time reuse_delay{};  // least idle time between two calls on the same connection
  };

  ConnectionPool(ev::loop_ref loop, Limits limits, Handshake handshake = {});

  // Closes idle and unfinished connections to the previous address at once, and those in use when they are
  // released.
  void set_endpoint(std::uint32_t engine, const std::string& address);
  // Closes the engine's idle connections and opens no new ones.
  void remove_endpoint(std::uint32_t engine);

  // Returns a ticket, never 0. The handler is not called from within acquire(). If there is no connection in
  // time, the handler is called with nullptr at most two seconds after `timeout`.
  std::uint64_t acquire(std::uint32_t engine, CheckoutHandler handler, Time timeout = Time::max());
  void cancel_acquire(std::uint32_t engine, std::uint64_t ticket);
  // Returns a connection that can be used for another call.
  void release(Connection& connection);
  // Closes a connection that cannot be used again.
  void discard(Connection& connection);

  // Serves waiters and frees closed connections. Must be called once in each iteration of the loop.
  void settle();
  void tick(Time now);
  // Sets the clock without firing timers; see LoopComponent::resume().
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
    std::size_t unreported_failures = 0;  // failed connects not yet reported to a waiter
    int consecutive_resets = 0;           // of connects
    bool check_connect_timeouts = false;  // some waiter may have timed out
    Time last_received_at{};              // a connect succeeded, or bytes arrived
    Time next_connect_at{};
  };

  void connect(std::uint32_t id, Engine& engine);
  [[nodiscard]] Stream::Handlers handlers_of(Connection& connection);
  void connect_failed(std::uint32_t id, Engine& engine, int error);
  void finish_connect(Connection& connection, bool succeeded);
  void schedule_reconnects();
  void report_lost(Connection& connection, bool clean);
  // Calls the handler with nullptr for each waiter for which `expired(waiter)` is true.
  template <class Expired>
  static void fail_waiters(Engine& engine, Expired expired);
  void fail_waiters_past_connect_timeout(Engine& engine);
  static void fail_waiters_past_own_timeout(Engine& engine, Time now);
  void serve_waiters(std::uint32_t id, Engine& engine);
  [[nodiscard]] static Waiter take_first_waiter(Engine& engine);
  // nullptr if no idle connection can be used now.
  [[nodiscard]] Connection* take_idle(Engine& engine);
  [[nodiscard]] bool needs_another_connect(const Engine& engine) const;
  // Evicts the connection that has been idle longest if the limit is reached; false if all are in use.
  bool ensure_capacity();
  void begin_descriptor_shortage();
  void end_descriptor_shortage();
  void remove(Connection& connection);
  void check_connects();
  void sweep(Time now);

  ev::loop_ref loop_;
  Limits limits_;
  Handshake handshake_;
  std::unordered_map<std::uint32_t, Engine> engines_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Connection>> closed_;  // freed by settle(), when no handler is running
  core::TimerWheel<std::uint64_t> connect_timers_{std::chrono::milliseconds(5)};  // by connection
  std::vector<std::uint32_t> changed_engines_;      // whose waiters may be served now
  std::vector<std::uint32_t> unreachable_engines_;  // to be connected to again after a delay
  std::uint64_t last_serial_ = 0;
  std::uint64_t last_ticket_ = 0;
  bool descriptor_shortage_ = false;  // some connect is waiting for a descriptor
  Time now_{};
  Time last_sweep_{};
  Time shortage_since_{};
};

}  // namespace bellstair::net
