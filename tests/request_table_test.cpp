// Tests the request table: its counts, and when a request is erased.
#include "core/request_table.hpp"

#include <gtest/gtest.h>

namespace bellstair::core {
namespace {
using namespace std::chrono_literals;

Submission submission(ClientHandle client, const std::string& ticket = {}, std::size_t body_size = 0) {
  Submission out;
  out.client = client;
  out.ticket = ticket;
  out.time_limit = 2s;
  out.body = std::string(body_size, 'x');
  return out;
}

TEST(RequestTable, FindsARequestByIdAndByClientUntilItIsAnswered) {
  RequestTable requests(1 << 20);
  const auto id = requests.insert(submission(42), 10s);
  EXPECT_EQ(requests.last_id(), id);
  ASSERT_NE(requests.find(id), nullptr);
  EXPECT_EQ(requests.find(id)->deadline, 12s);
  EXPECT_EQ(requests.find_by_client(42), id);
  EXPECT_EQ(requests.unanswered(), 1U);
  requests.mark_answered(requests.at(id));
  EXPECT_EQ(requests.find_by_client(42), std::nullopt);
  EXPECT_EQ(requests.unanswered(), 0U);
  EXPECT_EQ(requests.size(), 1U);
}

TEST(RequestTable, StoresARequestUntilItIsAnsweredAndItsAttemptsHaveEnded) {
  RequestTable requests(1 << 20);
  const auto id = requests.insert(submission(1), 10s);
  auto& request = requests.at(id);
  request.attempts.emplace_back();
  requests.erase_if_complete(id);
  EXPECT_NE(requests.find(AttemptId{id, 0}), nullptr);
  EXPECT_EQ(requests.find(AttemptId{id, 1}), nullptr);
  requests.mark_answered(request);
  requests.erase_if_complete(id);
  EXPECT_EQ(requests.size(), 1U) << "its attempt has not ended";
  request.attempts[0].stage = AttemptStage::ended;
  requests.erase_if_complete(id);
  EXPECT_EQ(requests.size(), 0U);
  EXPECT_EQ(requests.find(AttemptId{id, 0}), nullptr);
}

TEST(RequestTable, ErasingARequestFreesItsMemoryAndTicket) {
  RequestTable requests(4000);
  const auto first = requests.insert(submission(1, "ticket", 2000), 10s);
  EXPECT_TRUE(requests.ticket_in_use("ticket"));
  EXPECT_FALSE(requests.fits(submission(2, "other", 2000)));
  requests.mark_answered(requests.at(first));
  requests.erase_if_complete(first);
  EXPECT_FALSE(requests.ticket_in_use("ticket"));
  EXPECT_TRUE(requests.fits(submission(2, "other", 2000)));
}

}  // namespace
}  // namespace bellstair::core
