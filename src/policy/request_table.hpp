// Stores the requests that are open or have an attempt in flight, and ends them.
#pragma once

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "policy/class_table.hpp"
#include "policy/context.hpp"
#include "policy/ordering_keys.hpp"
#include "policy/request.hpp"

namespace bellstair::policy {

/// Owns all requests, and adds them to and removes them from the queues of their classes.
class RequestTable {
 public:
  RequestTable(const Context& context, ClassTable& classes, OrderingKeys& ordering_keys)
      : context_(context), classes_(classes), ordering_keys_(ordering_keys) {}

  Request& add(const RequestArrival& arrival);
  [[nodiscard]] Request* find(RequestId id);  // nullptr: not known
  [[nodiscard]] Request& at(RequestId id) { return requests_.at(id); }
  [[nodiscard]] const Request& at(RequestId id) const { return requests_.at(id); }

  void enqueue_back(Request& request);
  void enqueue_front(Request& request);

  /// Ends an open request without success: rejects it if a retry by its client is safe, or else fails it.
  void finish(Request& request, UnservedReason reason);
  /// Closes an open request and cancels its attempts. The request is removed once none is in flight.
  void close(Request& request);
  void remove(Request& request);
  /// Cancels an attempt if it is awaited and the settings allow it.
  void cancel(Request& request, std::size_t attempt) const;

  /// Finishes the requests whose Request::answer_by has passed.
  void finish_expired();

 private:
  void mark_queued(Request& request) const;

  const Context& context_;
  ClassTable& classes_;
  OrderingKeys& ordering_keys_;
  std::map<RequestId, Request> requests_;
  std::set<std::pair<Time, RequestId>> by_answer_time_;  // open requests
};

}  // namespace bellstair::policy
