// Queues requests by ordering key, so that the scheduler is notified of the requests of a key in the order in
// which they were received, even if their hooks end in another order.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/events.hpp"

namespace bellstair::core {

class OrderingQueues {
 public:
  using Key = std::uint64_t;

  [[nodiscard]] bool empty() const { return queues_.empty(); }
  [[nodiscard]] bool contains(Key key) const { return queues_.contains(key); }

  void push(Key key, RequestId request) { queues_[key].push_back(request); }
  // Removes a request that was answered while it was queued.
  void remove(Key key, RequestId request) {
    const auto queue = queues_.find(key);
    if (queue == queues_.end()) return;
    std::erase(queue->second, request);
    mark_changed(key);
  }

  // Marks a key for which advance() must be called.
  void mark_changed(Key key) { changed_.push_back(key); }
  [[nodiscard]] bool has_changed() const { return !changed_.empty(); }
  [[nodiscard]] std::vector<Key> take_changed() { return std::exchange(changed_, {}); }

  // Calls `release(request)` for requests from the front of the queue and removes them, until it returns
  // false; that request stays in the queue.
  template <class Release>
  void advance(Key key, Release release) {
    const auto queue = queues_.find(key);
    if (queue == queues_.end()) return;
    auto& waiting = queue->second;
    while (!waiting.empty()) {
      if (!release(waiting.front())) return;
      waiting.pop_front();
    }
    queues_.erase(queue);
  }

 private:
  std::unordered_map<Key, std::deque<RequestId>> queues_;
  std::vector<Key> changed_;
};

}  // namespace bellstair::core
