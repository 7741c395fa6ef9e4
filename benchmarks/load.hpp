// Lookups at a steady rate before the real program on loopback, and how long each took; for measurements in
// which runs with something and without it take turns.
#pragma once

#include <algorithm>
#include <cstdio>

#include "harness.hpp"

namespace bellstair::test {
using Clock = std::chrono::steady_clock;

inline double at(std::vector<double>& sorted, double share) {
  return sorted.empty() ? 0
                        : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}
inline double ms(Clock::duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

inline std::string ticket(std::uint64_t number) {
  char out[17];
  std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(number));
  return out;
}

// Requests in an open loop on one connection; how long each took, by its id.
inline std::vector<double> drive(const std::string& address, double rate, double seconds,
                                 const std::string& statement, std::uint64_t tickets, std::size_t* lost) {
  Client client(address);
  const auto count = static_cast<std::size_t>(rate * seconds);
  std::vector<Clock::time_point> sent(count);
  std::vector<double> took(count, -1);
  std::thread reader([&] {
    try {
      for (std::size_t i = 0; i < count; ++i) {
        const auto answer = client.answer();
        const auto id = answer["id"].get<std::size_t>() - 1;
        if (answer.contains("result")) took[id] = ms(Clock::now() - sent[id]);
      }
    } catch (const std::exception&) {
      // what has not come counts as lost
    }
  });
  const auto begun = Clock::now();
  for (std::size_t i = 0; i < count; ++i) {
    const auto due = begun + std::chrono::duration_cast<Clock::duration>(
                                 std::chrono::duration<double>(static_cast<double>(i) / rate));
    std::this_thread::sleep_until(due);
    sent[i] = due;  // what a busy sender adds is a client's wait too
    client.ask(static_cast<int>(i) + 1, "lookup", statement, {{"txn", ticket(tickets + i)}});
  }
  reader.join();
  *lost = static_cast<std::size_t>(std::ranges::count(took, -1.0));
  std::erase(took, -1.0);
  return took;
}

}  // namespace bellstair::test
