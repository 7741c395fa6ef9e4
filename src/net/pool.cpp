#include "net/pool.hpp"

#include <algorithm>

#include "net/dial_error.hpp"

namespace bellstair::net {
namespace {
using namespace std::chrono_literals;
constexpr Time kSweep = 1s;
// A dial that is reset tells nothing of its engine, unlike one that nobody takes: so many in a row are made
// again. Nor does one that does not come up while the engine is heard on other connections: so many further
// limits a waiter has then.
constexpr int kRedials = 2;
// Of the dial limit: a dial that takes longer has another made beside it, twice at the most. Connections come
// up in milliseconds or late, so that this costs nothing otherwise, and the waiter takes whichever is first.
constexpr int kSlowPart = 4;
constexpr std::size_t kMaxSlow = 2;  // for each waiter
// Without a descriptor, dials are tried again after so long, should nothing of this pool's be closed.
constexpr Time kStarved = 100ms;
// After the network did not carry a dial, the next one to that engine is made no sooner. Errors of this
// machine's own pass in moments, and a waiter has but the dial limit.
constexpr Time kUnreachable = 10ms;
}  // namespace

Pool::Pool(ev::loop_ref loop, Limits limits, Greeter greeter)
    : loop_(loop), limits_(limits), greeter_(std::move(greeter)) {}

void Pool::place(std::uint32_t id, const std::string& address) {
  auto& engine = engines_[id];
  // Connections to an address that it has left may lead to another engine by now.
  if (engine.address != address) {
    while (!engine.idle.empty()) remove(*engine.idle.front());
    std::vector<Connection*> dials;
    for (const auto& [serial, connection] : connections_) {
      if (connection->engine != id) continue;
      connection->outdated = true;
      if (!connection->ready) dials.push_back(connection.get());
    }
    for (auto* connection : dials) remove(*connection);
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

std::uint64_t Pool::acquire(std::uint32_t id, Taker taker, Time patience) {
  engines_[id].waiting.push_back({++tickets_, std::move(taker), now_, patience, {}});
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
  if (!connection.stream.open() || connection.outdated || (!engine.usable && engine.waiting.empty()))
    return remove(connection);
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
  if (!connection.ready && connection.slow) --engine.slow;
  connection.stream.close();
  const auto found = connections_.find(connection.serial);
  gone_.push_back(std::move(found->second));
  connections_.erase(found);
  stirred_.push_back(connection.engine);
  feed_starved();
}

void Pool::feed_starved() {
  if (!std::exchange(starved_, false)) return;
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
    if (address) return dial_failed(id, engine, errno);
    ++engine.failures;
    return;
  }
  const auto serial = ++serial_;
  auto made = std::make_unique<Connection>(loop_, std::move(fd), limits_.most_unwritten);
  auto& connection = *made;
  connection.serial = serial;
  connection.engine = id;
  connection.since = now_;
  connections_.emplace(serial, std::move(made));
  ++engine.dialling;
  dials_.arm(now_ + limits_.dial_timeout / kSlowPart, serial);
  connection.stream.handle({
      .connected =
          [this, &connection] {
            if (!greeter_) return dialled(connection, true);
            greeter_(connection, [this, &connection](bool well) { dialled(connection, well); });
          },
      .data =
          [this, &connection](std::string_view bytes) {
            engines_[connection.engine].heard = now_;
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

// Only a refusal is the engine's own word. For the rest its waiters have dials made again, until their limit.
void Pool::dial_failed(std::uint32_t id, Engine& engine, int error) {
  switch (classify_dial_error(error)) {
    case DialError::refused:
      ++engine.failures;
      return;
    case DialError::reset:
      if (++engine.resets <= kRedials) return;
      ++engine.failures;
      engine.resets = 0;
      return;
    case DialError::exhausted:
      starved_ = true;
      starved_since_ = now_;
      return;
    case DialError::unreachable:
      engine.next_dial = now_ + kUnreachable;
      redials_.push_back(id);
      return;
  }
}

void Pool::dialled(Connection& connection, bool well) {
  auto& engine = engines_[connection.engine];
  if (!well) {
    // One that was ended in good form before it was greeted has no error.
    const int error = connection.stream.error();
    dial_failed(connection.engine, engine, error != 0 ? error : ECONNREFUSED);
    return remove(connection);
  }
  connection.ready = true;
  engine.heard = now_;
  engine.resets = 0;
  --engine.dialling;
  if (connection.slow) --engine.slow;
  release(connection);
}

// Each waiter has the dial limit, however many dials were made meanwhile and for whom.
void Pool::give_up_overdue(Engine& engine) {
  std::vector<Taker> late;
  std::erase_if(engine.waiting, [&](Waiter& waiter) {
    const Time limit = (engine.heard > waiter.since ? 1 + kRedials : 1) * limits_.dial_timeout;
    if (now_ < waiter.since + limit) return false;
    late.push_back(std::move(waiter.taker));
    return true;
  });
  for (const auto& taker : late) taker(nullptr);
}

void Pool::hand_out(std::uint32_t id, Engine& engine) {
  if (std::exchange(engine.overdue, false)) give_up_overdue(engine);
  while (!engine.waiting.empty()) {
    // The one used last that has rested, so that the others may be let go.
    const auto rested = std::ranges::find_if(engine.idle.rbegin(), engine.idle.rend(), [this](const auto* c) {
      return !c->used || c->since + limits_.rest <= now_;
    });
    if (rested != engine.idle.rend()) {
      auto* connection = *rested;
      engine.idle.erase(std::next(rested).base());
      connection->idle = false;
      // The engine may have closed it while it lay idle, and the loop not have come to that yet.
      if (connection->stream.stale()) {
        remove(*connection);
        continue;
      }
      auto waiter = std::move(engine.waiting.front());
      engine.waiting.pop_front();
      connection->used = true;
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
    if (now_ < engine.next_dial) return;
    const auto slow = std::min(engine.slow, kMaxSlow * engine.waiting.size());
    if (engine.dialling - slow >= engine.waiting.size()) return;
    if (!make_room()) {
      starved_ = true;
      starved_since_ = now_;
      return;
    }
    dial(id, engine);
    if (starved_) return;
  }
  engine.failures = 0;
}

// Waiters of engines that could not be reached: whose limit is over is told, for the others a dial is made.
void Pool::redial() {
  std::erase_if(redials_, [this](std::uint32_t id) {
    const auto found = engines_.find(id);
    if (found == engines_.end()) return true;
    if (now_ < found->second.next_dial) return false;
    found->second.overdue = true;
    stirred_.push_back(id);
    return true;
  });
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
    if (found == connections_.end() || found->second->ready) return;
    auto& connection = *found->second;
    if (now_ >= connection.since + limits_.dial_timeout) {
      engines_[connection.engine].overdue = true;
      return remove(connection);
    }
    connection.slow = true;
    ++engines_[connection.engine].slow;
    stirred_.push_back(connection.engine);
    dials_.arm(connection.since + limits_.dial_timeout, serial);
  });
  if (starved_ && now >= starved_since_ + kStarved) feed_starved();
  redial();
  if (now < swept_ + kSweep) return;
  swept_ = now;
  for (auto& [id, engine] : engines_) {
    while (!engine.idle.empty() && engine.idle.front()->since + limits_.idle_life <= now)
      remove(*engine.idle.front());
    std::vector<Taker> late;
    std::erase_if(engine.waiting, [&](Waiter& waiter) {
      if (waiter.patience == Time::max()) return false;
      if (!waiter.until) waiter.until = now + waiter.patience;
      if (*waiter.until > now) return false;
      late.push_back(std::move(waiter.taker));
      return true;
    });
    for (const auto& taker : late) taker(nullptr);
  }
  // Engines come with new ids for ever.
  std::erase_if(engines_, [](const auto& entry) {
    const auto& engine = entry.second;
    return !engine.usable && engine.idle.empty() && engine.waiting.empty() && engine.dialling == 0;
  });
}

}  // namespace bellstair::net
