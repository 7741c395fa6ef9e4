// Reads the simulator's batches, which are frames of records. Numbers are little-endian.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <variant>
#include <vector>

#include "bellstair/policy/scheduler.hpp"
#include "simulator/error.hpp"
#include "simulator/record_codes.hpp"

namespace bellstair::simulator {

struct StartInstance {
  std::uint64_t seed = 0;
  policy::Settings settings;
};
struct StopInstance {};
using RecordContent = std::variant<StartInstance, StopInstance, policy::Event>;

struct Record {
  std::uint32_t instance = 0;
  RecordContent content;
};

// The events of one point in time, for any number of instances.
struct Batch {
  policy::Time now{};
  std::uint32_t sequence = 0;
  std::vector<Record> records;
};

// The length of the whole frame in bytes, from its first kLengthBytes. Throws FrameError if out of range.
[[nodiscard]] std::size_t frame_length(std::span<const std::uint8_t> first_bytes);

class ByteReader;

// Stores the numbered endpoint lists, which all instances share.
class BatchReader {
 public:
  // Throws FrameError or SettingsError.
  [[nodiscard]] Batch read(std::span<const std::uint8_t> frame);

 private:
  static constexpr std::size_t kMaxLists = 16;
  using Endpoints = std::vector<policy::Endpoint>;

  // The record's content; nullopt for records that only change the reader's state or are skipped.
  [[nodiscard]] std::optional<RecordContent> read_record(ByteReader& in);
  void read_numbered_list(ByteReader& in);
  [[nodiscard]] policy::EndpointList read_endpoint_list(ByteReader& in) const;

  std::vector<std::optional<Endpoints>> lists_ = std::vector<std::optional<Endpoints>>(kMaxLists);
  std::optional<std::uint32_t> instance_;  // of the records being read
};

}  // namespace bellstair::simulator
