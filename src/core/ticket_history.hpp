// Remembers the tickets of requests whose clients have left and that must not run again. A client that has
// lost its connection may send the same request again on another one, after the first has ended here.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "core/request.hpp"

namespace bellstair::core {

class TicketHistory {
 public:
  // When all places are taken, the oldest ticket is forgotten.
  static constexpr std::size_t kMaxTickets = 16'384;

  // `settings`: the active settings, which ConfigurationUpdater replaces in place.
  explicit TicketHistory(const policy::Settings& settings) : settings_(settings) {}

  // Must be called when a request has ended. Keeps its ticket for the client timeout of its class, if its
  // client has left and it may have run.
  void add(const Request& request);
  // Whether a request with this ticket may have run already, so that its class forbids to run it at `now`.
  [[nodiscard]] bool forbids(const std::string& ticket, Time now) const;
  void remove_expired(Time now);
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    ClassIndex cls = 0;
    Time sent{};  // its last attempt
  };
  void remove_oldest();

  const policy::Settings& settings_;
  std::unordered_map<std::string, Entry> entries_;
  std::deque<std::string> by_age_;
};

}  // namespace bellstair::core
