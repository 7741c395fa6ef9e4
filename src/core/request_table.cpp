#include "core/request_table.hpp"

#include <utility>

namespace bellstair::core {
namespace {
constexpr std::size_t kFixedSize = 1024;  // bytes of a request without its strings

std::size_t size_in_bytes(const Submission& submission) {
  return kFixedSize + submission.body.size() + submission.parameters.size() +
         submission.idempotency_key.size();
}
}  // namespace

bool RequestTable::fits(const Submission& submission) const {
  return bytes_ + size_in_bytes(submission) <= max_bytes_;
}

RequestId RequestTable::insert(Submission submission, Time received_at) {
  const auto id = ++last_id_;
  if (!submission.ticket.empty()) tickets_.insert(submission.ticket);
  by_client_[submission.client] = id;
  bytes_ += size_in_bytes(submission);
  ++unanswered_;
  auto& request = requests_[id];
  request.received_at = received_at;
  request.deadline = received_at + submission.time_limit;
  request.submission = std::move(submission);
  return id;
}

Request* RequestTable::find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

const Request* RequestTable::find(RequestId id) const {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

Attempt* RequestTable::find(AttemptId id) {
  auto* request = find(id.request);
  if (request == nullptr || id.index >= request->attempts.size()) return nullptr;
  return &request->attempts[id.index];
}

std::optional<RequestId> RequestTable::find_by_client(ClientHandle client) const {
  const auto found = by_client_.find(client);
  if (found == by_client_.end()) return std::nullopt;
  return found->second;
}

void RequestTable::mark_answered(Request& request) {
  request.answered = true;
  by_client_.erase(request.submission.client);
  --unanswered_;
}

void RequestTable::erase_if_complete(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || !is_complete(found->second)) return;
  if (history_ != nullptr) history_->add(found->second);
  bytes_ -= size_in_bytes(found->second.submission);
  tickets_.erase(found->second.submission.ticket);
  requests_.erase(found);
}

}  // namespace bellstair::core
