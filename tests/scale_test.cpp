// The small form of 'make scale': counts, bytes and growth of hollow fleets on a driven clock, never times.
#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "heap.hpp"
#include "hollow_fleet.hpp"

namespace bellstair::scale {
namespace {

// With seeds of its own for each size, as the measurements have them.
HollowFleet fleet_of(unsigned brokers, unsigned databases, double rate = 40) {
  Shape shape;
  shape.brokers = brokers;
  shape.databases = databases;
  return {shape, brokers, rate, rate, brokers * 1000ULL + databases};
}

struct Use {
  double messages = 0, bytes = 0, heard = 0;  // a broker and second
};
Use use_of(HollowFleet& fleet, Time span) {
  const auto before = fleet.all();
  fleet.run(span);
  const auto after = fleet.all();
  const auto each = [&](std::uint64_t to, std::uint64_t from) {
    return static_cast<double>(to - from) / static_cast<double>(fleet.brokers.size()) /
           std::chrono::duration<double>(span).count();
  };
  return {each(after.messages_sent, before.messages_sent), each(after.bytes_sent, before.bytes_sent),
          each(after.messages_heard, before.messages_heard)};
}

// Datagrams are paid for by queries, 250 bytes for each with its heads counted; a few queries' worth may be
// saved from before.
TEST(Scale, DatagramsStayWithinTheBytesThatQueriesPayFor) {
  constexpr unsigned kBrokers = 20;
  for (const double rate : {2.0, 10.0, 40.0}) {
    auto fleet = fleet_of(kBrokers, 80, rate);
    fleet.run(1s);
    const auto before = fleet.all();
    fleet.run(2s);
    const auto after = fleet.all();
    const auto statements = static_cast<double>(after.statements - before.statements);
    const auto bytes = static_cast<double>(after.bytes_sent - before.bytes_sent);
    constexpr double kSaved = 4;  // queries' worth, of each broker
    EXPECT_GT(after.messages_sent, before.messages_sent) << rate;
    EXPECT_LE(bytes, (250 + 28) * (statements + kSaved * kBrokers)) << rate;
  }
}

// However many queries there are: this is what a broker's share of control has to hold at the planned rate.
TEST(Scale, DatagramsAreBoundedWhateverTheTraffic) {
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
    EXPECT_GE(static_cast<double>(after.statements - before.statements), 0.79 * rate) << "as asked for";
    bytes.push_back(static_cast<double>(after.bytes_sent - before.bytes_sent) / 2 / 0.4);
  }
  EXPECT_GT(bytes[0], 0);
  EXPECT_LE(bytes[1], 1.1 * bytes[0]);
  EXPECT_LE(bytes[1], 21'000) << "bytes a second that control may take";
}

TEST(Scale, MessagesOfABrokerDoNotGrowWithTheNumberOfBrokers) {
  Use small;
  for (const unsigned brokers : {16U, 64U, 256U}) {
    auto fleet = fleet_of(brokers, 40, 20);
    fleet.run(500ms);
    const auto use = use_of(fleet, 500ms);
    if (brokers == 16) small = use;
    EXPECT_GT(use.messages, 0) << brokers;
    EXPECT_NEAR(use.messages, small.messages, 0.1 * small.messages) << brokers;
    EXPECT_NEAR(use.heard, small.heard, 0.1 * small.heard) << brokers;
  }
}

// Blocks of the heap that one broker holds.
double entries(unsigned brokers, unsigned databases) {
  const auto before = heap();
  auto fleet = fleet_of(brokers, databases, 10);
  fleet.run(500ms);
  return static_cast<double>(heap().blocks - before.blocks) / brokers;
}

TEST(Scale, StateGrowsWithDatabasesInALineAndNotWithBrokers) {
  const double few = entries(10, 100), twice = entries(10, 200), four = entries(10, 400);
  EXPECT_LT(few, twice);
  const double first = (twice - few) / 100, second = (four - twice) / 200;  // for each database
  EXPECT_GT(first, 0);
  EXPECT_LE(second, 1.25 * first);
  EXPECT_LE(second, 8) << "blocks for each database";
  EXPECT_LE(entries(80, 100), 1.1 * few + 8);
}

// Databases come with new ids for ever, and what is gone leaves nothing behind: one period is like the next.
// Before, there is time for a lap of the timer wheel (5.12 s), each of whose slots keeps its room.
TEST(Scale, NothingGrowsBetweenTwoEqualPeriods) {
  constexpr unsigned kDatabases = 24;
  auto fleet = fleet_of(12, kDatabases, 50);
  std::vector<std::optional<core::EngineId>> place(kDatabases);  // who has it now; none: as at the start
  core::EngineId last = 100'000;
  const auto period = [&] {
    for (unsigned n = 0; n < kDatabases; ++n) {
      for (const auto state : {policy::EngineState::gone, policy::EngineState::ready}) {
        auto change = fleet.delta(n, state);
        auto& id = change.endpoints.front().endpoint.engine;
        if (state == policy::EngineState::ready) place[n] = ++last;
        id = place[n].value_or(id);
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

// An event of the change log reaches a broker once, and asks it to tell nobody.
TEST(Scale, AnEventOfTheChangeLogMakesNoMessages) {
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
