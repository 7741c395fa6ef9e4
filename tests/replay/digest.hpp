// A digest of the decisions of a replay, and the random numbers from which replays generate their events.
// Both are defined here to the bit, so that no library's choice of algorithm can change a recorded digest.
#pragma once

#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>

namespace bellstair::test {

// FNV-1a, 64 bits.
class Digest {
 public:
  void add(std::string_view text) {
    for (const char c : text) {
      state_ ^= static_cast<unsigned char>(c);
      state_ *= 0x100000001b3ULL;
    }
  }
  void add(std::int64_t value) { add(std::to_string(value) + ' '); }
  // Rounds to six digits, as the last bits of exp() and pow() may differ between processors.
  void add_rounded(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.6g ", value);
    add(std::string_view(text));
  }
  [[nodiscard]] std::string hex() const {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(state_));
    return text;
  }

 private:
  std::uint64_t state_ = 0xcbf29ce484222325ULL;
};

// SplitMix64.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next() {
    std::uint64_t x = state_ += 0x9e3779b97f4a7c15ULL;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
  }
  std::uint64_t below(std::uint64_t bound) { return next() % bound; }
  double unit() { return static_cast<double>(next() >> 11) / 9007199254740992.0; }
  bool chance(double probability) { return unit() < probability; }

 private:
  std::uint64_t state_;
};

}  // namespace bellstair::test
