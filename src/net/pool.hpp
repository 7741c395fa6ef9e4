// Connections to engines, one call at a time on each, under one budget of descriptors for all engines.
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

#include "core/wheel.hpp"
#include "net/stream.hpp"

namespace bellstair::net {

using core::Time;

// What a driver keeps with a connection of its own: a parser, a session.
struct Session {
  virtual ~Session() = default;
};

class Pool {
 public:
  struct Connection {
    std::uint64_t serial = 0;
    std::uint32_t engine = 0;
    Stream stream;
    bool idle = false, ready = false;  // ready: dialled, and greeted where the protocol asks for that
    bool slow = false;                 // the dial takes long, and another one was made beside it
    bool used = false;                 // by a call
    bool outdated = false;             // the engine has left the address that this leads to
    Time since{};                      // it was dialled, or came to rest
    std::unique_ptr<Session> session;
    std::function<void(std::string_view)> data;  // of the call that has it
    std::function<void(bool clean)> lost;        // clean: its peer ended it in good form
    Connection(ev::loop_ref loop, Fd fd, std::size_t most_unwritten)
        : stream(loop, std::move(fd), true, most_unwritten) {}
  };
  // A connection, or none: it could not be made, and nothing has left for the engine.
  using Taker = std::function<void(Connection*)>;
  // Prepares a fresh connection and calls done(true) once calls may use it.
  using Greeter = std::function<void(Connection&, std::function<void(bool)> done)>;

  struct Limits {
    std::size_t most = 512;  // connections, to all engines together
    std::size_t most_unwritten = std::size_t{4} << 20;
    Time dial_timeout{}, idle_life{};
    Time rest{};  // after a call, before the next one on the same connection
  };

  Pool(ev::loop_ref loop, Limits limits, Greeter greeter = {});

  void place(std::uint32_t engine, const std::string& address);  // where it listens now
  void retire(std::uint32_t engine);                             // drop its idle connections; no new ones

  // The taker is called later, never from within: with none after `patience`, two seconds later at the most.
  // 0 is no ticket.
  std::uint64_t acquire(std::uint32_t engine, Taker taker, Time patience = Time::max());
  void withdraw(std::uint32_t engine, std::uint64_t ticket);  // the taker is not called any more
  void release(Connection& connection);                       // fit for another call
  void discard(Connection& connection);
  // Moves on what waits, and lets go of what is over. Call it once in each turn of the loop.
  void settle();
  void tick(Time now);
  void wake(Time now) { now_ = now; }  // the clock alone: nothing falls due

  [[nodiscard]] std::size_t size() const { return connections_.size(); }

 private:
  struct Waiter {
    std::uint64_t ticket = 0;
    Taker taker;
    Time since{}, patience{};
    std::optional<Time> until;  // by the clock of ticks, from the first look at it on
  };
  struct Engine {
    std::string address;
    bool usable = false;
    std::deque<Connection*> idle;  // the one used last at the back
    std::deque<Waiter> waiting;
    std::size_t dialling = 0;
    std::size_t slow = 0;      // of these
    std::size_t failures = 0;  // dials that failed, not yet told to a waiter
    int resets = 0;            // dials in a row that were reset
    bool overdue = false;      // a dial did not come up, and waiters are to be looked at
    Time heard{};              // the last dial that came up, or byte that came
    Time next_dial{};          // none is made before
  };

  void dial(std::uint32_t id, Engine& engine);
  void dial_failed(std::uint32_t id, Engine& engine, int error);
  void dialled(Connection& connection, bool well);
  void redial();
  void lose(Connection& connection, bool clean);
  void give_up_overdue(Engine& engine);
  void hand_out(std::uint32_t id, Engine& engine);
  bool make_room();
  void remove(Connection& connection);
  void feed_starved();

  ev::loop_ref loop_;
  Limits limits_;
  Greeter greeter_;
  std::unordered_map<std::uint32_t, Engine> engines_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Connection>> gone_;  // freed once no handler of theirs can be running
  core::TimerWheel<std::uint64_t> dials_{std::chrono::milliseconds(5)};
  std::vector<std::uint32_t> stirred_;  // engines for which something may go on
  std::vector<std::uint32_t> redials_;  // engines to which a dial is to be made again
  std::uint64_t serial_ = 0, tickets_ = 0;
  bool starved_ = false;  // a dial waits for a descriptor
  Time now_{}, swept_{}, starved_since_{};
};

}  // namespace bellstair::net
