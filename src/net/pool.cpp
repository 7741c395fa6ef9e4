#include "net/pool.hpp"

#include <algorithm>
#include <cerrno>

namespace bellstair::net {
namespace {
using namespace std::chrono_literals;
constexpr Time kSweep = 1s;
// A connection reset while it was made tells nothing of its engine, unlike one that nobody takes: so many in
// a row are dialled again, within the waiter's time.
constexpr int kRedials = 2;
}  // namespace

Pool::Pool(ev::loop_ref loop, Limits limits, Greeter greeter)
    : loop_(loop), limits_(limits), greeter_(std::move(greeter)) {}

void Pool::place(std::uint32_t id, const std::string& address) {
  auto& engine = engines_[id];
  // Idle connections to an address that it has left may lead to another engine by now.
  if (engine.address != address) {
    while (!engine.idle.empty()) remove(*engine.idle.front());
  }
  engine.address = address;
  engine.usable = true;
}

void Pool::retire(std::uint32_t id) {
  auto& engine = engines_[id];
  engine.usable = false;
  while (!engine.idle.empty()) remove(*engine.idle.front());
  stirred_.push_back(id);
}

std::uint64_t Pool::acquire(std::uint32_t id, Taker taker) {
  engines_[id].waiting.push_back({++tickets_, std::move(taker)});
  stirred_.push_back(id);
  return tickets_;
}

void Pool::withdraw(std::uint32_t id, std::uint64_t ticket) {
  std::erase_if(engines_[id].waiting, [ticket](const Waiter& w) { return w.ticket == ticket; });
}

void Pool::release(Connection& connection) {
  connection.data = nullptr;
  connection.lost = nullptr;
  auto& engine = engines_[connection.engine];
  if (!connection.stream.open() || (!engine.usable && engine.waiting.empty())) return remove(connection);
  connection.idle = true;
  connection.since = now_;
  engine.idle.push_back(&connection);
  stirred_.push_back(connection.engine);
}

void Pool::discard(Connection& connection) {
  connection.stream.abort();
  remove(connection);
}

void Pool::remove(Connection& connection) {
  auto& engine = engines_[connection.engine];
  if (connection.idle) std::erase(engine.idle, &connection);
  if (!connection.ready) --engine.dialling;
  connection.stream.close();
  const auto found = connections_.find(connection.serial);
  gone_.push_back(std::move(found->second));
  connections_.erase(found);
  stirred_.push_back(connection.engine);
  if (!starved_) return;
  starved_ = false;
  for (const auto& [id, other] : engines_) {
    if (!other.waiting.empty()) stirred_.push_back(id);
  }
}

bool Pool::make_room() {
  if (connections_.size() < limits_.most) return true;
  Connection* oldest = nullptr;
  for (auto& [id, engine] : engines_) {
    if (!engine.idle.empty() && (oldest == nullptr || engine.idle.front()->since < oldest->since))
      oldest = engine.idle.front();
  }
  if (oldest != nullptr) remove(*oldest);
  return oldest != nullptr;
}

void Pool::dial(std::uint32_t id, Engine& engine) {
  const auto address = parse_address(engine.address);
  auto fd = address ? begin_connect(*address) : Fd();
  if (!fd) {
    ++engine.failures;
    return;
  }
  const auto serial = ++serial_;
  auto made = std::make_unique<Connection>(loop_, std::move(fd), limits_.most_unwritten);
  auto& connection = *made;
  connection.serial = serial;
  connection.engine = id;
  connections_.emplace(serial, std::move(made));
  ++engine.dialling;
  dials_.arm(now_ + limits_.dial_timeout, serial);
  connection.stream.handle({
      .connected =
          [this, &connection] {
            if (!greeter_) return dialled(connection, true);
            greeter_(connection, [this, &connection](bool well) { dialled(connection, well); });
          },
      .data =
          [this, &connection](std::string_view bytes) {
            if (!connection.data) return lose(connection, false);  // nobody asked
            const auto data = connection.data;                     // it may be replaced from within
            data(bytes);
          },
      .ended =
          [this, &connection] {
            if (!connection.ready) return dialled(connection, false);
            lose(connection, true);
          },
      .closed =
          [this, &connection] {
            if (!connection.ready) return dialled(connection, false);
            lose(connection, false);
          },
      .drained = {},
  });
}

void Pool::lose(Connection& connection, bool clean) {
  if (!connection.lost) return remove(connection);
  const auto lost = std::move(connection.lost);
  connection.lost = nullptr;
  lost(clean);
}

void Pool::dialled(Connection& connection, bool well) {
  auto& engine = engines_[connection.engine];
  if (!well) {
    // A waiter that is left has the next settle() dial again.
    const bool again = connection.stream.error() == ECONNRESET && ++engine.resets <= kRedials;
    if (!again) {
      ++engine.failures;
      engine.resets = 0;
    }
    return remove(connection);
  }
  connection.ready = true;
  engine.resets = 0;
  --engine.dialling;
  release(connection);
}

void Pool::hand_out(std::uint32_t id, Engine& engine) {
  while (!engine.waiting.empty()) {
    if (!engine.idle.empty()) {
      auto* connection = engine.idle.back();
      engine.idle.pop_back();
      connection->idle = false;
      // The engine may have closed it while it lay idle, and the loop not have come to that yet.
      if (connection->stream.stale()) {
        remove(*connection);
        continue;
      }
      auto waiter = std::move(engine.waiting.front());
      engine.waiting.pop_front();
      waiter.taker(connection);
      continue;
    }
    if (engine.failures > 0 || !engine.usable) {
      if (engine.failures > 0) --engine.failures;
      auto waiter = std::move(engine.waiting.front());
      engine.waiting.pop_front();
      waiter.taker(nullptr);
      continue;
    }
    if (engine.dialling >= engine.waiting.size()) return;
    if (!make_room()) {
      starved_ = true;
      return;
    }
    dial(id, engine);
  }
  engine.failures = 0;
}

void Pool::settle() {
  for (int turn = 0; turn < 1000 && !stirred_.empty(); ++turn) {
    const auto stirred = std::exchange(stirred_, {});
    for (const auto id : stirred) hand_out(id, engines_[id]);
  }
  gone_.clear();
}

void Pool::tick(Time now) {
  now_ = now;
  dials_.advance(now, [this](std::uint64_t serial) {
    const auto found = connections_.find(serial);
    if (found != connections_.end() && !found->second->ready) dialled(*found->second, false);
  });
  if (now < swept_ + kSweep) return;
  swept_ = now;
  for (auto& [id, engine] : engines_) {
    while (!engine.idle.empty() && engine.idle.front()->since + limits_.idle_life <= now)
      remove(*engine.idle.front());
  }
  // Engines come with new ids for ever.
  std::erase_if(engines_, [](const auto& entry) {
    const auto& engine = entry.second;
    return !engine.usable && engine.idle.empty() && engine.waiting.empty() && engine.dialling == 0;
  });
}

}  // namespace bellstair::net
