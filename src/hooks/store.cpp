#include "hooks/store.hpp"

#include <algorithm>

namespace bellstair::hooks {

std::size_t Store::weight(std::string_view key, const Item& value) {
  const auto* text = std::get_if<std::string>(&value);
  return kEach + key.size() + (text == nullptr ? 0 : text->size());
}

// A few at each use, so that none takes long.
void Store::purge(Time now) {
  for (int i = 0; i < 16 && !expiries_.empty() && expiries_.begin()->first <= now; ++i)
    drop(entries_.find(*expiries_.begin()->second));
}

void Store::drop(Entries::iterator found) {
  bytes_ -= weight(found->first, found->second.value);
  expiries_.erase(found->second.expiry);
  entries_.erase(found);
}

const Store::Item* Store::get(Time now, std::string_view key) {
  purge(now);
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.expiry->first <= now) return nullptr;
  return &found->second.value;
}

bool Store::set(Time now, std::string_view key, Item value, Time ttl) {
  purge(now);
  const auto needed = weight(key, value);
  if (const auto found = entries_.find(key); found != entries_.end()) {
    if (bytes_ - weight(key, found->second.value) + needed > most_) return false;
    drop(found);
  }
  if (bytes_ + needed > most_) return false;
  const auto made = entries_.emplace(std::string(key), Entry{std::move(value), {}}).first;
  made->second.expiry = expiries_.emplace(now + std::clamp(ttl, Time(1), kMaxTtl), &made->first);
  bytes_ += needed;
  return true;
}

std::optional<double> Store::incr(Time now, std::string_view key, double by, Time ttl) {
  purge(now);
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.expiry->first <= now)
    return set(now, key, by, ttl) ? std::optional(by) : std::nullopt;
  auto* number = std::get_if<double>(&found->second.value);
  if (number == nullptr) return std::nullopt;
  return *number += by;
}

void Store::erase(std::string_view key) {
  if (const auto found = entries_.find(key); found != entries_.end()) drop(found);
}

}  // namespace bellstair::hooks
