// The state of a hook between calls and across reloads: a bounded table of short values that expire. When it
// is full, it rejects new values, because eviction would drop values that a script still relies on.
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
  static constexpr std::size_t kMaxKeyBytes = 256, kMaxValueBytes = 1024;  // bytes
  static constexpr std::size_t kEntryOverhead = 128;  // bytes charged for an entry in addition to its texts
  static constexpr Time kMaxTtl = std::chrono::hours(24);

  explicit Store(std::size_t max_bytes) : max_bytes_(max_bytes) {}
  void set_limit(std::size_t max_bytes) { max_bytes_ = max_bytes; }

  [[nodiscard]] const Item* get(Time now, std::string_view key);
  // Stores the value for `ttl` from now. Returns false if the store is full.
  [[nodiscard]] bool set(Time now, std::string_view key, Item value, Time ttl);
  // Adds `by` to the number, or to 0 if the key is not set. The time to live starts when the key is first
  // set. Returns none if the store is full or the value is a text.
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
  [[nodiscard]] static std::size_t charged_bytes(std::string_view key, const Item& value);
  void purge_expired(Time now);
  void remove(Entries::iterator found);

  std::size_t max_bytes_, bytes_ = 0;
  Entries entries_;
  std::multimap<Time, const std::string*> expiries_;  // points to the keys in entries_
};

}  // namespace bellstair::hooks
