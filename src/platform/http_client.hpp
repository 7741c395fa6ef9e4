// HTTP calls to engines: one at a time on a connection, each with a timeout.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "core/events.hpp"
#include "core/timer_wheel.hpp"
#include "net/connection_pool.hpp"
#include "platform/http.hpp"

namespace bellstair::platform {

class HttpClient {
 public:
  using Connection = net::ConnectionPool::Connection;
  using CallId = std::uint64_t;

  enum class Outcome {
    answered,
    not_connected,  // nothing has left for the engine
    unsent,         // the connection broke before a byte of the call had left
    broken,         // it broke later, or what arrived is not an answer
    timed_out,
  };
  // Called exactly once, from the loop, unless the call is forgotten. `reusable` is the connection, handed
  // back to the caller, or nullptr: it is closed.
  using CallHandler = std::function<void(Outcome, HttpResponse&, Connection* reusable)>;
  // Called exactly once, from the loop.
  using ResponseHandler = std::function<void(Outcome, HttpResponse&)>;

  explicit HttpClient(net::ConnectionPool& pool) : pool_(pool) {}

  // A call on a connection that the caller holds.
  CallId call(Connection& connection, const std::string& request, core::Time timeout, CallHandler handler);
  // A call on any connection to the engine. The timeout holds for the connection, and again for the answer.
  void call_engine(core::EngineId engine, std::string request, core::Time timeout, ResponseHandler handler);

  [[nodiscard]] bool pending(CallId id) const { return calls_.contains(id); }
  // The call times out after `timeout` from now, unless it does so earlier.
  void shorten_timeout(CallId id, core::Time timeout) { timeouts_.arm(now_ + timeout, id); }
  // The handler is not called any more; what becomes of the connection is the caller's business.
  void forget(CallId id) { calls_.erase(id); }
  // The handler is not called any more, and the connection returns to the pool at the call's end. False: the
  // call is over.
  bool release_after(CallId id);

  void set_clock(core::Time now) { now_ = now; }
  void tick(core::Time now);

 private:
  struct Call {
    Connection* connection = nullptr;
    std::size_t written_before = 0;  // bytes that had left on the connection
    CallHandler handler;
  };

  void finish(CallId id, Outcome outcome);

  net::ConnectionPool& pool_;
  std::unordered_map<CallId, Call> calls_;
  core::TimerWheel<CallId> timeouts_{std::chrono::milliseconds(5)};
  CallId last_id_ = 0;
  core::Time now_{};
};

}  // namespace bellstair::platform
