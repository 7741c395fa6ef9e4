#include "net/connection_pool.hpp"

#include <algorithm>

#include "net/connect_error.hpp"

namespace bellstair::net {
namespace {
using namespace std::chrono_literals;

constexpr Time kSweepInterval = 1s;
// A reset connect, unlike a refused one, is no evidence of a failed engine. It is retried up to this many
// times in a row.
constexpr int kMaxConnectRetries = 2;
// When a connect has taken the timeout divided by this, another one is started in parallel: most connects
// succeed either within milliseconds or late, and the waiter gets whichever succeeds first.
constexpr int kSlowConnectDivisor = 4;
constexpr std::size_t kMaxSlowConnectsPerWaiter = 2;
// While descriptors are short, connects are retried at this interval even if the pool closes no connection.
constexpr Time kShortageRetryInterval = 100ms;
// Delay before the next connect to an engine that the network could not reach.
constexpr Time kUnreachableRetryDelay = 10ms;
// Bounds the work of one settle() in case handlers keep requesting connections.
constexpr int kMaxRoundsPerSettle = 1000;
}  // namespace

ConnectionPool::ConnectionPool(ev::loop_ref loop, Limits limits, Handshake handshake)
    : loop_(loop), limits_(limits), handshake_(std::move(handshake)) {}

// ---- endpoints

void ConnectionPool::set_endpoint(std::uint32_t id, const std::string& address) {
  auto& engine = engines_[id];
  // Connections to the previous address may lead to another engine by now.
  if (engine.address != address) {
    while (!engine.idle.empty()) remove(*engine.idle.front());
    std::vector<Connection*> connecting;
    for (const auto& [serial, connection] : connections_) {
      if (connection->engine != id) continue;
      connection->address_outdated = true;
      if (!connection->established) connecting.push_back(connection.get());
    }
    for (auto* connection : connecting) remove(*connection);
  }
  engine.address = address;
  engine.available = true;
}

void ConnectionPool::remove_endpoint(std::uint32_t id) {
  auto& engine = engines_[id];
  engine.available = false;
  while (!engine.idle.empty()) remove(*engine.idle.front());
  changed_engines_.push_back(id);
}

// ---- checkout

std::uint64_t ConnectionPool::acquire(std::uint32_t id, CheckoutHandler handler, Time timeout) {
  engines_[id].waiters.push_back({++last_ticket_, std::move(handler), now_, timeout, {}});
  changed_engines_.push_back(id);
  return last_ticket_;
}

void ConnectionPool::cancel_acquire(std::uint32_t id, std::uint64_t ticket) {
  std::erase_if(engines_[id].waiters, [ticket](const Waiter& waiter) { return waiter.ticket == ticket; });
}

void ConnectionPool::release(Connection& connection) {
  connection.on_data = nullptr;
  connection.on_lost = nullptr;
  auto& engine = engines_[connection.engine];
  const bool wanted = engine.available || !engine.waiters.empty();
  if (!connection.stream.open() || connection.address_outdated || !wanted) return remove(connection);
  connection.idle = true;
  connection.state_since = now_;
  engine.idle.push_back(&connection);
  changed_engines_.push_back(connection.engine);
}

void ConnectionPool::discard(Connection& connection) {
  connection.stream.abort();
  remove(connection);
}

void ConnectionPool::remove(Connection& connection) {
  auto& engine = engines_[connection.engine];
  if (connection.idle) std::erase(engine.idle, &connection);
  if (!connection.established) --engine.connecting;
  if (!connection.established && connection.slow_to_connect) --engine.connecting_slowly;
  connection.stream.close();
  const auto found = connections_.find(connection.serial);
  closed_.push_back(std::move(found->second));
  connections_.erase(found);
  changed_engines_.push_back(connection.engine);
  end_descriptor_shortage();
}

void ConnectionPool::report_lost(Connection& connection, bool clean) {
  if (!connection.on_lost) return remove(connection);
  const auto on_lost = std::move(connection.on_lost);
  connection.on_lost = nullptr;
  on_lost(clean);
}

// ---- descriptors

void ConnectionPool::begin_descriptor_shortage() {
  descriptor_shortage_ = true;
  shortage_since_ = now_;
}

void ConnectionPool::end_descriptor_shortage() {
  if (!std::exchange(descriptor_shortage_, false)) return;
  for (const auto& [id, engine] : engines_) {
    if (!engine.waiters.empty()) changed_engines_.push_back(id);
  }
}

bool ConnectionPool::ensure_capacity() {
  if (connections_.size() < limits_.max_connections) return true;
  Connection* oldest = nullptr;
  for (auto& [id, engine] : engines_) {
    if (engine.idle.empty()) continue;
    auto* candidate = engine.idle.front();
    if (oldest == nullptr || candidate->state_since < oldest->state_since) oldest = candidate;
  }
  if (oldest != nullptr) remove(*oldest);
  return oldest != nullptr;
}

// ---- connecting

void ConnectionPool::connect(std::uint32_t id, Engine& engine) {
  const auto address = parse_address(engine.address);
  auto fd = address ? begin_connect(*address) : Fd();
  if (!fd) {
    if (address) return connect_failed(id, engine, errno);
    ++engine.unreported_failures;
    return;
  }
  const auto serial = ++last_serial_;
  auto made = std::make_unique<Connection>(loop_, std::move(fd), limits_.max_unwritten_bytes);
  auto& connection = *made;
  connection.serial = serial;
  connection.engine = id;
  connection.state_since = now_;
  connections_.emplace(serial, std::move(made));
  ++engine.connecting;
  connect_timers_.arm(now_ + limits_.connect_timeout / kSlowConnectDivisor, serial);
  connection.stream.set_handlers(handlers_of(connection));
}

Stream::Handlers ConnectionPool::handlers_of(Connection& connection) {
  const auto ended = [this, &connection](bool clean) {
    connection.established ? report_lost(connection, clean) : finish_connect(connection, false);
  };
  return {
      .connected =
          [this, &connection] {
            if (!handshake_) return finish_connect(connection, true);
            handshake_(connection,
                       [this, &connection](bool succeeded) { finish_connect(connection, succeeded); });
          },
      .data =
          [this, &connection](std::string_view bytes) {
            engines_[connection.engine].last_received_at = now_;
            if (!connection.on_data) return report_lost(connection, false);  // no call is in progress
            const auto on_data = connection.on_data;  // a copy: the handler may replace it
            on_data(bytes);
          },
      .half_closed = {},
      .caught_up = {},
      .ended = [ended] { ended(true); },
      .closed = [ended] { ended(false); },
      .drained = {},
  };
}

// A refused connect is a failure of the engine, and so is a reset after kMaxConnectRetries retries in a row.
// Other failed connects are retried until their waiters time out.
void ConnectionPool::connect_failed(std::uint32_t id, Engine& engine, int error) {
  switch (classify_connect_error(error)) {
    case ConnectError::refused:
      ++engine.unreported_failures;
      return;
    case ConnectError::reset:
      if (++engine.consecutive_resets <= kMaxConnectRetries) return;
      ++engine.unreported_failures;
      engine.consecutive_resets = 0;
      return;
    case ConnectError::out_of_resources:
      return begin_descriptor_shortage();
    case ConnectError::unreachable:
      engine.next_connect_at = now_ + kUnreachableRetryDelay;
      unreachable_engines_.push_back(id);
      return;
  }
}

void ConnectionPool::finish_connect(Connection& connection, bool succeeded) {
  auto& engine = engines_[connection.engine];
  if (!succeeded) {
    // A peer that closes the connection without a reset during the handshake leaves no errno.
    const int error = connection.stream.error();
    connect_failed(connection.engine, engine, error != 0 ? error : ECONNREFUSED);
    return remove(connection);
  }
  connection.established = true;
  engine.last_received_at = now_;
  engine.consecutive_resets = 0;
  --engine.connecting;
  if (connection.slow_to_connect) --engine.connecting_slowly;
  release(connection);
}

void ConnectionPool::schedule_reconnects() {
  std::erase_if(unreachable_engines_, [this](std::uint32_t id) {
    const auto found = engines_.find(id);
    if (found == engines_.end()) return true;
    if (now_ < found->second.next_connect_at) return false;
    found->second.check_connect_timeouts = true;
    changed_engines_.push_back(id);
    return true;
  });
}

void ConnectionPool::check_connects() {
  connect_timers_.advance(now_, [this](std::uint64_t serial) {
    const auto found = connections_.find(serial);
    if (found == connections_.end() || found->second->established) return;
    auto& connection = *found->second;
    auto& engine = engines_[connection.engine];
    if (now_ >= connection.state_since + limits_.connect_timeout) {
      engine.check_connect_timeouts = true;
      return remove(connection);
    }
    connection.slow_to_connect = true;
    ++engine.connecting_slowly;
    changed_engines_.push_back(connection.engine);
    connect_timers_.arm(connection.state_since + limits_.connect_timeout, serial);
  });
}

// ---- waiters

template <class Expired>
void ConnectionPool::fail_waiters(Engine& engine, Expired expired) {
  std::vector<CheckoutHandler> handlers;
  std::erase_if(engine.waiters, [&](Waiter& waiter) {
    if (!expired(waiter)) return false;
    handlers.push_back(std::move(waiter.handler));
    return true;
  });
  for (const auto& handler : handlers) handler(nullptr);
}

// The timeout runs from the waiter's checkout, no matter how many connects have been started since, or for
// which waiters. An engine that has sent data or completed a connect since then has not failed, so that its
// waiters get a longer timeout.
void ConnectionPool::fail_waiters_past_connect_timeout(Engine& engine) {
  fail_waiters(engine, [&](const Waiter& waiter) {
    const bool received_since = engine.last_received_at > waiter.since;
    const Time limit = (received_since ? 1 + kMaxConnectRetries : 1) * limits_.connect_timeout;
    return now_ >= waiter.since + limit;
  });
}

void ConnectionPool::fail_waiters_past_own_timeout(Engine& engine, Time now) {
  fail_waiters(engine, [now](Waiter& waiter) {
    if (waiter.timeout == Time::max()) return false;
    if (!waiter.deadline) waiter.deadline = now + waiter.timeout;
    return *waiter.deadline <= now;
  });
}

ConnectionPool::Waiter ConnectionPool::take_first_waiter(Engine& engine) {
  auto waiter = std::move(engine.waiters.front());
  engine.waiters.pop_front();
  return waiter;
}

// Prefers the most recently used connection, so that the others reach their idle timeout.
ConnectionPool::Connection* ConnectionPool::take_idle(Engine& engine) {
  while (true) {
    const auto found = std::ranges::find_if(engine.idle.rbegin(), engine.idle.rend(), [this](const auto* c) {
      return !c->has_been_used || c->state_since + limits_.reuse_delay <= now_;
    });
    if (found == engine.idle.rend()) return nullptr;
    auto* connection = *found;
    engine.idle.erase(std::next(found).base());
    connection->idle = false;
    // The engine may have closed it without the loop having read that yet.
    if (!connection->stream.stale()) return connection;
    remove(*connection);
  }
}

bool ConnectionPool::needs_another_connect(const Engine& engine) const {
  if (now_ < engine.next_connect_at) return false;
  const auto replaced = std::min(engine.connecting_slowly, kMaxSlowConnectsPerWaiter * engine.waiters.size());
  return engine.connecting - replaced < engine.waiters.size();
}

void ConnectionPool::serve_waiters(std::uint32_t id, Engine& engine) {
  if (std::exchange(engine.check_connect_timeouts, false)) fail_waiters_past_connect_timeout(engine);
  while (!engine.waiters.empty()) {
    if (auto* connection = take_idle(engine)) {
      connection->has_been_used = true;
      take_first_waiter(engine).handler(connection);
      continue;
    }
    if (engine.unreported_failures > 0 || !engine.available) {
      if (engine.unreported_failures > 0) --engine.unreported_failures;
      take_first_waiter(engine).handler(nullptr);
      continue;
    }
    if (!needs_another_connect(engine)) return;
    if (!ensure_capacity()) return begin_descriptor_shortage();
    connect(id, engine);
    if (descriptor_shortage_) return;
  }
  engine.unreported_failures = 0;
}

// ---- event loop

void ConnectionPool::settle() {
  for (int round = 0; round < kMaxRoundsPerSettle && !changed_engines_.empty(); ++round) {
    const auto changed = std::exchange(changed_engines_, {});
    for (const auto id : changed) serve_waiters(id, engines_[id]);
  }
  closed_.clear();
}

void ConnectionPool::tick(Time now) {
  now_ = now;
  check_connects();
  if (descriptor_shortage_ && now >= shortage_since_ + kShortageRetryInterval) end_descriptor_shortage();
  schedule_reconnects();
  if (now < last_sweep_ + kSweepInterval) return;
  last_sweep_ = now;
  sweep(now);
}

void ConnectionPool::sweep(Time now) {
  for (auto& [id, engine] : engines_) {
    while (!engine.idle.empty() && engine.idle.front()->state_since + limits_.idle_timeout <= now)
      remove(*engine.idle.front());
    fail_waiters_past_own_timeout(engine, now);
  }
  // Engine ids are never reused.
  std::erase_if(engines_, [](const auto& entry) {
    const auto& engine = entry.second;
    return !engine.available && engine.idle.empty() && engine.waiters.empty() && engine.connecting == 0;
  });
}

}  // namespace bellstair::net
