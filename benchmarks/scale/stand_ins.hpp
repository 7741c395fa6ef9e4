// What a real broker talks to, in processes of their own: hollow databases, each on an address of its own, a
// hollow change log, and clients with an open-loop load. They count on a board that all processes share.
#pragma once

#include <sys/types.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

#include "shape.hpp"

namespace bellstair::scale {

constexpr unsigned kMaxDatabases = 1024, kMaxLoads = 4;
constexpr std::size_t kBuckets = 320;  // of latencies: eight for each doubling of a microsecond

struct SeenByDatabase {
  std::atomic<std::uint32_t> held, most;
  std::atomic<std::uint64_t> dials, calls, bytes_in, bytes_out;
};
struct SeenByChangeLog {
  std::atomic<std::uint32_t> port, held, most, events_per_second;  // the last one: set from outside
  std::atomic<std::uint64_t> calls, dials, bytes_in, bytes_out, events;
  // From an event until the last caller had taken it, as its next call tells: how often seen, us in all, and
  // most.
  std::atomic<std::uint64_t> spread, spread_us, spread_most_us;
};
struct SeenByClients {
  std::atomic<std::uint32_t> rate, held, opened;  // rate, a second: set from outside
  std::atomic<std::uint64_t> sent, answered, refused, failed, unsent, ended, bytes_in, bytes_out;
  std::array<std::atomic<std::uint64_t>, kBuckets> latency;
};
struct Board {
  std::atomic<std::uint32_t> database_port;
  std::array<SeenByDatabase, kMaxDatabases> databases;
  SeenByChangeLog changelog;
  std::array<SeenByClients, kMaxLoads> clients;
};

// A child process that ends with its parent at the latest.
class Child {
 public:
  Child() = default;
  explicit Child(const std::function<void()>& run);
  Child(Child&& other) noexcept : pid_(std::exchange(other.pid_, -1)) {}
  Child& operator=(Child&& other) noexcept {
    if (this != &other) {
      end();
      pid_ = std::exchange(other.pid_, -1);
    }
    return *this;
  }
  ~Child() { end(); }
  [[nodiscard]] pid_t pid() const { return pid_; }
  void end();

 private:
  pid_t pid_ = -1;
};

// Zeroed, and seen by all children that come after it.
[[nodiscard]] Board* make_board();

// Databases and the change log; back once they listen. Statements take `latency_ms`.
[[nodiscard]] Child start_site(Board& board, const Shape& shape, unsigned latency_ms);

// `connections` to the broker, held; statements at the board's rate, at most 32 open on each.
[[nodiscard]] Child start_load(SeenByClients& board, const std::string& address, unsigned connections,
                               unsigned tenants, std::uint64_t seed);

[[nodiscard]] double latency_at(const SeenByClients& clients, double share);  // ms

}  // namespace bellstair::scale
