// The small form of 'make scale': checks counts, bytes and growth of fleets on a manual clock, but no times.
#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "heap.hpp"
#include "hollow_fleet.hpp"

namespace bellstair::scale {
namespace {

// Uses a seed of its own for each size, as the measurements do.
HollowFleet fleet_of(unsigned brokers, unsigned databases, double rate = 40) {
  Shape shape;
  shape.brokers = brokers;
  shape.databases = databases;
  return {shape, brokers, rate, rate, brokers * 1000ULL + databases};
}

struct Traffic {
  double messages = 0, bytes = 0, received = 0;  // per broker and second
};
Traffic measure_traffic(HollowFleet& fleet, Time span) {
  const auto before = fleet.all();
  fleet.run(span);
  const auto after = fleet.all();
  const auto per_broker_second = [&](std::uint64_t to, std::uint64_t from) {
    return static_cast<double>(to - from) / static_cast<double>(fleet.brokers.size()) /
           std::chrono::duration<double>(span).count();
  };
  return {per_broker_second(after.messages_sent, before.messages_sent),
          per_broker_second(after.bytes_sent, before.bytes_sent),
          per_broker_second(after.messages_heard, before.messages_heard)};
}

// Each query adds 250 bytes to the budget of datagrams, with headers counted. The budget of a few queries may
// be left from before.
TEST(Scale, DatagramBytesStayWithinBudgetOfQueries) {
  constexpr unsigned kBrokers = 20;
  for (const double rate : {2.0, 10.0, 40.0}) {
    auto fleet = fleet_of(kBrokers, 80, rate);
    fleet.run(1s);
    const auto before = fleet.all();
    fleet.run(2s);
    const auto after = fleet.all();
    const auto statements = static_cast<double>(after.statements - before.statements);
    const auto bytes = static_cast<double>(after.bytes_sent - before.bytes_sent);
    constexpr double kSavedQueries = 4;  // budget that each broker may have left
    EXPECT_GT(after.messages_sent, before.messages_sent) << rate;
    EXPECT_LE(bytes, (250 + 28) * (statements + kSavedQueries * kBrokers)) << rate;
  }
}

// The bytes of datagrams are limited at any query rate. A broker's bandwidth for control traffic must suffice
// for them at the planned rate.
TEST(Scale, DatagramBytesAreBoundedAtAnyQueryRate) {
  Shape shape;
  shape.brokers = 12;
  shape.databases = 80;
  std::vector<double> bytes;
  for (const double rate : {400.0, 3140.0}) {
    HollowFleet fleet(shape, 2, rate, 20, 11);  // two of them busy
    fleet.run(400ms);
    const auto before = fleet.measured();
    fleet.run(400ms);
    const auto after = fleet.measured();
    EXPECT_GE(static_cast<double>(after.statements - before.statements), 0.79 * rate)
        << "the requested rate must be reached";
    bytes.push_back(static_cast<double>(after.bytes_sent - before.bytes_sent) / 2 / 0.4);
  }
  EXPECT_GT(bytes[0], 0);
  EXPECT_LE(bytes[1], 1.1 * bytes[0]);
  EXPECT_LE(bytes[1], 21'000) << "bytes per second allowed for control traffic";
}

TEST(Scale, MessagesPerBrokerDoNotGrowWithBrokerCount) {
  Traffic small;
  for (const unsigned brokers : {16U, 64U, 256U}) {
    auto fleet = fleet_of(brokers, 40, 20);
    fleet.run(500ms);
    const auto traffic = measure_traffic(fleet, 500ms);
    if (brokers == 16) small = traffic;
    EXPECT_GT(traffic.messages, 0) << brokers;
    EXPECT_NEAR(traffic.messages, small.messages, 0.1 * small.messages) << brokers;
    EXPECT_NEAR(traffic.received, small.received, 0.1 * small.received) << brokers;
  }
}

// Heap blocks held by one broker.
double heap_blocks_per_broker(unsigned brokers, unsigned databases) {
  const auto before = heap();
  auto fleet = fleet_of(brokers, databases, 10);
  fleet.run(500ms);
  return static_cast<double>(heap().blocks - before.blocks) / brokers;
}

TEST(Scale, StateGrowsLinearlyWithDatabasesAndNotWithBrokers) {
  const double few = heap_blocks_per_broker(10, 100), twice = heap_blocks_per_broker(10, 200),
               four = heap_blocks_per_broker(10, 400);
  EXPECT_LT(few, twice);
  const double first = (twice - few) / 100, second = (four - twice) / 200;  // per database
  EXPECT_GT(first, 0);
  EXPECT_LE(second, 1.25 * first);
  EXPECT_LE(second, 8) << "blocks per database";
  EXPECT_LE(heap_blocks_per_broker(80, 100), 1.1 * few + 8);
}

// Databases are replaced by ones with new ids again and again. Removed ones must leave no state behind, so
// two equal periods need the same memory. Ten periods before them cover a rotation of the timer wheel
// (5.12 s), whose slots keep their capacity.
TEST(Scale, MemoryDoesNotGrowBetweenEqualPeriods) {
  constexpr unsigned kDatabases = 24;
  auto fleet = fleet_of(12, kDatabases, 50);
  std::vector<std::optional<core::EngineId>> current_id(kDatabases);  // by database; none: its first id
  core::EngineId last_id = 100'000;
  const auto period = [&] {
    for (unsigned n = 0; n < kDatabases; ++n) {
      for (const auto state : {policy::EngineState::gone, policy::EngineState::ready}) {
        auto change = fleet.delta(n, state);
        auto& id = change.endpoints.front().endpoint.engine;
        if (state == policy::EngineState::ready) current_id[n] = ++last_id;
        id = current_id[n].value_or(id);
        fleet.change(change);
        fleet.run(20ms);
      }
    }
    return heap();
  };
  for (int n = 0; n < 10; ++n) period();
  const auto first = period(), second = period();
  EXPECT_LE(static_cast<double>(second.blocks), 1.02 * static_cast<double>(first.blocks));
  EXPECT_LE(static_cast<double>(second.bytes), 1.02 * static_cast<double>(first.bytes));
  EXPECT_GT(fleet.all().served, 0U);
  for (const auto& broker : fleet.brokers) EXPECT_LE(broker->reducer().open_requests(), 10U);
}

// An event of the change log reaches each broker once and causes no messages between brokers.
TEST(Scale, ChangeLogEventCausesNoMessages) {
  auto fleet = fleet_of(30, 60, 0);
  fleet.run(500ms);
  const auto before = fleet.all();
  for (unsigned n = 0; n < 30; ++n) {
    fleet.change(fleet.delta(n, policy::EngineState::draining));
    fleet.run(20ms);
  }
  EXPECT_EQ(fleet.all().messages_sent, before.messages_sent);
  EXPECT_EQ(fleet.all().list_events, before.list_events + 30U * 30U);
}

}  // namespace
}  // namespace bellstair::scale
