// Makes HTTP calls to engines: one at a time on each connection, each with a timeout.
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
    not_connected,  // no byte has been sent to the engine
    unsent,         // the connection broke before a byte of the call was sent
    broken,         // the connection broke later, or the bytes received are not a valid answer
    timed_out,
  };
  // Called exactly once, from the event loop, unless the call is abandoned. `reusable` is the connection,
  // which the caller owns again, or nullptr if the connection has been closed.
  using CallHandler = std::function<void(Outcome, HttpResponse&, Connection* reusable)>;
  // Called exactly once, from the event loop.
  using ResponseHandler = std::function<void(Outcome, HttpResponse&)>;

  explicit HttpClient(net::ConnectionPool& pool) : pool_(pool) {}

  // Makes a call on a connection that the caller has acquired.
  CallId call(Connection& connection, const std::string& request, core::Time timeout, CallHandler handler);
  // Makes a call on any connection to the engine. The timeout applies to getting the connection, and again to
  // the answer.
  void call_engine(core::EngineId engine, std::string request, core::Time timeout, ResponseHandler handler);

  [[nodiscard]] bool pending(CallId id) const { return calls_.contains(id); }
  // Makes the call time out `timeout` from now at the latest.
  void shorten_timeout(CallId id, core::Time timeout) { timeouts_.arm(now_ + timeout, id); }
  // Drops the call: its handler is not called, and the caller releases or discards the connection.
  void abandon(CallId id) { calls_.erase(id); }
  // Drops the call's handler; the connection returns to the pool when the call ends. Returns false if the
  // call has already ended.
  bool release_after(CallId id);

  // Of the request and of the response, as far as they wait in the connection's buffers.
  [[nodiscard]] static std::size_t buffered_bytes(const Connection& connection);

  void set_clock(core::Time now) { now_ = now; }
  void tick(core::Time now);

 private:
  struct Call {
    Connection* connection = nullptr;
    std::size_t written_before = 0;  // bytes sent on the connection before this call
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
