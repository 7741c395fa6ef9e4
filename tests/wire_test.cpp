// Tests the frames of the simulator and the reading of its settings.
#include <gtest/gtest.h>

#include <initializer_list>
#include <string>

#include "simulator/batch_reader.hpp"
#include "simulator/reply_writer.hpp"
#include "simulator/settings_json.hpp"

namespace bellstair::simulator {
using namespace policy;
namespace {

using Frame = std::vector<std::uint8_t>;

void append_integer(Frame& frame, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) frame.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
}

Frame batch(std::uint32_t records, const Frame& body) {
  Frame frame;
  append_integer(frame, 20 + body.size(), 4);
  append_integer(frame, records, 4);
  append_integer(frame, 5000, 8);
  append_integer(frame, 9, 4);
  frame.insert(frame.end(), body.begin(), body.end());
  return frame;
}

Frame from_hex(const std::string& text) {
  Frame bytes;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2)
    bytes.push_back(static_cast<std::uint8_t>(std::stoi(text.substr(i, 2), nullptr, 16)));
  return bytes;
}

const char* const kSettings =
    R"({"balancers": 3, "kinds": ["a"], "unknown-key": [1, {"x": 2}], "ceilings": {"max-attempts": 3},
        "safety": {}, "family-info": {"cpu-of-kind": [12], "width-by-class": [4]},
        "classes": [{"aim": 800000000, "give-up": 4000000000, "semantics": "safe", "bound-to": [0]}]})";

TEST(Wire, ReadsRequestArrivalAfterInstance) {
  const auto body = from_hex(
      "8203000000"
      "1ec4913a5d0000"
      "00000000"
      "640ad2557c3bf091"
      "001c4e0e00000000"
      "001bb70000000000"
      "0000c043"
      "00003041"
      "01");
  BatchReader reader;
  const auto result = reader.read(batch(2, body));
  ASSERT_EQ(result.records.size(), 1U);
  EXPECT_EQ(result.records[0].instance, 3U);
  const auto& arrival = std::get<RequestArrival>(std::get<Event>(result.records[0].content));
  EXPECT_EQ(arrival.request, 0x5d3a91c4U);
  EXPECT_EQ(arrival.time_left, std::chrono::milliseconds(240));
  EXPECT_EQ(arrival.estimated_memory_mb, 384);
  EXPECT_EQ(arrival.data_group, 11);
  ASSERT_TRUE(arrival.estimated_work.has_value());
  EXPECT_EQ(*arrival.estimated_work, std::chrono::milliseconds(12));
}

TEST(Wire, ReadsEndpointListAndItsRows) {
  const auto body = from_hex(
      "7802000000"
      "02000000"
      "074a1203"
      "0000"
      "0000"
      "0000"
      "02"
      "0000803f"
      "0000000000000000"
      "f211902c"
      "0000"
      "0000"
      "0000"
      "00"
      "0000c03f"
      "009d966b01000000"
      "8203000000"
      "14"
      "02"
      "02000000"
      "29000000");
  BatchReader reader;
  const auto result = reader.read(batch(3, body));
  ASSERT_EQ(result.records.size(), 1U);
  const auto& list = std::get<EndpointList>(std::get<Event>(result.records[0].content));
  EXPECT_EQ(list.kind, EndpointListKind::cached);
  ASSERT_EQ(list.endpoints.size(), 2U);
  EXPECT_EQ(list.endpoints[0].engine, 0x03124a07U);
  EXPECT_EQ(list.endpoints[1].state, EngineState::draining);
}

TEST(Wire, ReadsAttemptOutcomeWithCost) {
  const auto body = from_hex(
      "8203000000"
      "32c4913a5d"
      "0000"
      "074a1203"
      "6400"
      "a0491a0100000000"
      "01"
      "60100100"
      "00");
  BatchReader reader;
  const auto result = reader.read(batch(2, body));
  const auto& outcome = std::get<AttemptOutcome>(std::get<Event>(result.records[0].content));
  EXPECT_EQ(outcome.result, AttemptResult::served);
  EXPECT_TRUE(outcome.request_closed);
  EXPECT_EQ(*outcome.work, std::chrono::milliseconds(17));
  EXPECT_EQ(outcome.memory_mb, 4.0 * 0x060);
}

TEST(Wire, RejectsTruncatedRecord) {
  const auto body = from_hex(
      "8203000000"
      "32c4913a5d"
      "0000"
      "074a1203"
      "6400"
      "a0491a0100000000"
      "01"
      "60100100"
      "00");
  for (std::size_t cut = 0; cut < body.size(); ++cut) {
    BatchReader reader;
    const Frame truncated(body.begin(), body.begin() + static_cast<std::ptrdiff_t>(cut));
    EXPECT_THROW((void)reader.read(batch(2, truncated)), FrameError) << cut;
  }
}

TEST(Wire, RejectsInvalidRecordsAndFrames) {
  const auto expect_rejected = [](std::uint32_t records, const std::string& text) {
    BatchReader reader;
    EXPECT_THROW((void)reader.read(batch(records, from_hex(text))), FrameError) << text;
  };
  expect_rejected(2,
                  "8203000000"
                  "07");             // unknown event code
  expect_rejected(1, "4600000000");  // no instance before the event
  expect_rejected(1,
                  "7810000000"
                  "00000000");  // list number too large
  expect_rejected(2,
                  "8203000000"
                  "14"
                  "01"
                  "05000000"
                  "00000000");  // a list that was not sent before
  expect_rejected(1,
                  "7800000000"
                  "ffffffff");  // more rows than the frame has bytes for
  expect_rejected(1,
                  "8203000000"
                  "00");  // extra bytes
  expect_rejected(2,
                  "8203000000"
                  "0a"
                  "0000000000000000"
                  "ffffffff");  // settings that run past the frame
  BatchReader reader;
  Frame truncated = batch(0, {});
  truncated.pop_back();
  EXPECT_THROW((void)reader.read(truncated), FrameError);
  EXPECT_THROW((void)frame_length(from_hex("ffffffff")), FrameError);
  EXPECT_THROW((void)frame_length(from_hex("0300")), FrameError);
}

TEST(Wire, WritesDocumentedReply) {
  ReplyWriter writer;
  writer.instance(3);
  writer.action(SendAttempt{0x5d3a91c4, 0x03124a07, Time(0x01fa2d7390)});
  EXPECT_EQ(writer.finish(12), from_hex("22000000"
                                        "02000000"
                                        "0c000000"
                                        "5a03000000"
                                        "64c4913a5d"
                                        "90732dfa01000000"
                                        "074a1203"));
}

TEST(SettingsText, ReadsKnownKeysAndIgnoresOthers) {
  const auto settings = parse_settings(kSettings);
  EXPECT_EQ(settings.brokers, 3U);
  EXPECT_EQ(settings.kinds[0].cores, 12);
  EXPECT_EQ(settings.classes[0].threads, 4U);
  EXPECT_EQ(settings.classes[0].latency_objective, std::chrono::milliseconds(800));
  ASSERT_TRUE(settings.classes[0].kinds.has_value());
  EXPECT_FALSE(settings.retry_budget.has_value());
}

TEST(SettingsText, RejectsInvalidSettingsAndNamesMissingKey) {
  EXPECT_THROW((void)parse_settings("{"), SettingsError);
  EXPECT_THROW((void)parse_settings("[]"), SettingsError);
  std::string text = kSettings;
  text.replace(text.find("balancers"), 9, "balancerz");
  try {
    (void)parse_settings(text);
    FAIL();
  } catch (const SettingsError& error) {
    EXPECT_NE(std::string(error.what()).find("balancers"), std::string::npos);
  }
  text = kSettings;
  text.replace(text.find("\"safe\""), 6, "\"what\"");
  EXPECT_THROW((void)parse_settings(text), SettingsError);
  text = kSettings;
  text.replace(text.find("800000000"), 9, "\"soon\"   ");
  EXPECT_THROW((void)parse_settings(text), SettingsError);
  text = kSettings;
  text.insert(text.find('{') + 1, R"("report": {"how": "pull", "fields": [7]}, )");
  EXPECT_THROW((void)parse_settings(text), SettingsError);
}

}  // namespace
}  // namespace bellstair::simulator
