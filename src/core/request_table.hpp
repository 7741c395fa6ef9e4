// Stores requests from their admission until they are answered and all of their attempts have ended.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "core/request.hpp"
#include "core/ticket_history.hpp"

namespace bellstair::core {

class RequestTable {
 public:
  // `max_bytes`: memory limit of all requests together. `history`: is told of each request that is erased;
  // may be null.
  explicit RequestTable(std::size_t max_bytes, TicketHistory* history = nullptr)
      : max_bytes_(max_bytes), history_(history) {}

  [[nodiscard]] bool fits(const Submission& submission) const;
  [[nodiscard]] bool ticket_in_use(const std::string& ticket) const { return tickets_.contains(ticket); }

  // Returns a new id. References to a request stay valid until erase_if_complete() removes it.
  RequestId insert(Submission submission, Time received_at);
  [[nodiscard]] RequestId last_id() const { return last_id_; }

  [[nodiscard]] Request* find(RequestId id);
  [[nodiscard]] const Request* find(RequestId id) const;
  [[nodiscard]] Attempt* find(AttemptId id);
  // `id` must be in the table.
  [[nodiscard]] Request& at(RequestId id) { return requests_.at(id); }
  // Returns the client's unanswered request.
  [[nodiscard]] std::optional<RequestId> find_by_client(ClientHandle client) const;

  // Marks a request that is answered or that its client has cancelled.
  void mark_answered(Request& request);
  void erase_if_complete(RequestId id);

  [[nodiscard]] std::size_t size() const { return requests_.size(); }
  [[nodiscard]] std::size_t unanswered() const { return unanswered_; }

  auto begin() { return requests_.begin(); }
  auto end() { return requests_.end(); }
  [[nodiscard]] auto begin() const { return requests_.begin(); }
  [[nodiscard]] auto end() const { return requests_.end(); }

 private:
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<ClientHandle, RequestId> by_client_;  // only unanswered requests
  std::unordered_set<std::string> tickets_;
  RequestId last_id_ = 0;
  std::size_t unanswered_ = 0;
  std::size_t bytes_ = 0;
  std::size_t max_bytes_;
  TicketHistory* history_;
};

}  // namespace bellstair::core
