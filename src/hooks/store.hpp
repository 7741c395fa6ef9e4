// What a hook remembers between calls and over reloads: a bounded table of short values that expire. Full, it
// takes nothing more: to throw out what has not expired would forget what somebody still counts on.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

#include "hooks/spec.hpp"

namespace bellstair::hooks {

class Store {
 public:
  using Item = std::variant<double, std::string>;
  static constexpr std::size_t kMaxKey = 256, kMaxValue = 1024;  // bytes
  static constexpr std::size_t kEach = 128;                      // bytes an entry is charged beside its texts
  static constexpr Time kMaxTtl = std::chrono::hours(24);

  explicit Store(std::size_t most_bytes) : most_(most_bytes) {}
  void bound(std::size_t most_bytes) { most_ = most_bytes; }

  [[nodiscard]] const Item* get(Time now, std::string_view key);
  // False: there is no room. `ttl`: from now on.
  [[nodiscard]] bool set(Time now, std::string_view key, Item value, Time ttl);
  // Adds to a number, from 0 if there is none; the time to live counts from the first. None: no room, or the
  // value is a text.
  [[nodiscard]] std::optional<double> incr(Time now, std::string_view key, double by, Time ttl);
  void erase(std::string_view key);

  [[nodiscard]] std::size_t bytes() const { return bytes_; }
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    Item value;
    std::multimap<Time, const std::string*>::iterator expiry;
  };
  struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
  };
  using Entries = std::unordered_map<std::string, Entry, Hash, std::equal_to<>>;
  [[nodiscard]] static std::size_t weight(std::string_view key, const Item& value);
  void purge(Time now);
  void drop(Entries::iterator found);

  std::size_t most_, bytes_ = 0;
  Entries entries_;
  std::multimap<Time, const std::string*> expiries_;  // keys stand in entries_
};

}  // namespace bellstair::hooks
