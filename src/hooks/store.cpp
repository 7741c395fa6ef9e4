#include "hooks/store.hpp"

#include <algorithm>

namespace bellstair::hooks {
namespace {

constexpr int kMaxPurgedPerUse = 16;  // expired entries; bounds the time of each call

}  // namespace

std::size_t Store::charged_bytes(std::string_view key, const Item& value) {
  const auto* text = std::get_if<std::string>(&value);
  return kEntryOverhead + key.size() + (text == nullptr ? 0 : text->size());
}

void Store::purge_expired(Time now) {
  for (int i = 0; i < kMaxPurgedPerUse && !expiries_.empty() && expiries_.begin()->first <= now; ++i)
    remove(entries_.find(*expiries_.begin()->second));
}

void Store::remove(Entries::iterator found) {
  bytes_ -= charged_bytes(found->first, found->second.value);
  expiries_.erase(found->second.expiry);
  entries_.erase(found);
}

const Store::Item* Store::get(Time now, std::string_view key) {
  purge_expired(now);
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.expiry->first <= now) return nullptr;
  return &found->second.value;
}

bool Store::set(Time now, std::string_view key, Item value, Time ttl) {
  purge_expired(now);
  const auto needed = charged_bytes(key, value);
  if (const auto found = entries_.find(key); found != entries_.end()) {
    if (bytes_ - charged_bytes(key, found->second.value) + needed > max_bytes_) return false;
    remove(found);
  }
  if (bytes_ + needed > max_bytes_) return false;
  const auto made = entries_.emplace(std::string(key), Entry{std::move(value), {}}).first;
  made->second.expiry = expiries_.emplace(now + std::clamp(ttl, Time(1), kMaxTtl), &made->first);
  bytes_ += needed;
  return true;
}

std::optional<double> Store::incr(Time now, std::string_view key, double by, Time ttl) {
  purge_expired(now);
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.expiry->first <= now)
    return set(now, key, by, ttl) ? std::optional(by) : std::nullopt;
  auto* number = std::get_if<double>(&found->second.value);
  if (number == nullptr) return std::nullopt;
  return *number += by;
}

void Store::erase(std::string_view key) {
  if (const auto found = entries_.find(key); found != entries_.end()) remove(found);
}

}  // namespace bellstair::hooks
