// Tests the queues of requests by ordering key.
#include "core/ordering_queues.hpp"

#include <gtest/gtest.h>

#include <set>

namespace bellstair::core {
namespace {

std::vector<RequestId> advance(OrderingQueues& queues, OrderingQueues::Key key,
                               const std::set<RequestId>& ready) {
  std::vector<RequestId> released;
  queues.advance(key, [&](RequestId request) {
    if (!ready.contains(request)) return false;
    released.push_back(request);
    return true;
  });
  return released;
}

TEST(OrderingQueues, ReleasesRequestsInOrderUpToTheFirstThatIsNotReady) {
  OrderingQueues queues;
  for (const RequestId request : {1, 2, 3}) queues.push(7, request);
  EXPECT_EQ(advance(queues, 7, {2, 3}), std::vector<RequestId>{});
  EXPECT_EQ(advance(queues, 7, {1, 3}), std::vector<RequestId>{1});
  EXPECT_EQ(advance(queues, 8, {2, 3}), std::vector<RequestId>{}) << "another key";
  EXPECT_EQ(advance(queues, 7, {2, 3}), (std::vector<RequestId>{2, 3}));
  EXPECT_TRUE(queues.empty());
}

TEST(OrderingQueues, RemovedRequestDoesNotBlockLaterOnes) {
  OrderingQueues queues;
  queues.push(7, 1);
  queues.push(7, 2);
  queues.remove(7, 1);
  EXPECT_EQ(queues.take_changed(), std::vector<OrderingQueues::Key>{7});
  EXPECT_FALSE(queues.has_changed());
  EXPECT_EQ(advance(queues, 7, {2}), std::vector<RequestId>{2});
  EXPECT_FALSE(queues.contains(7));
  queues.remove(7, 3);
  EXPECT_FALSE(queues.has_changed()) << "the queue no longer exists";
}

}  // namespace
}  // namespace bellstair::core
