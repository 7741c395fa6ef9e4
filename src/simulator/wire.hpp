// The simulator's wire: frames, records and the settings in JSON. No decisions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bellstair/policy/scheduler.hpp"

namespace bellstair::simulator {

using policy::Action;
using policy::Endpoint;
using policy::Event;
using policy::Settings;
using policy::Time;

struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Start {
  std::uint64_t seed = 0;
  Settings settings;
};
struct Stop {};
using Happening = std::variant<Start, Stop, Event>;

struct Record {
  std::uint32_t instance = 0;
  Happening what;
};

struct Batch {
  Time now{};
  std::uint32_t sequence = 0;
  std::vector<Record> records;
};

inline constexpr std::size_t kLengthBytes = 4;
inline constexpr std::size_t kHeaderBytes = 20;
inline constexpr std::size_t kMaxFrameBytes = std::size_t{1} << 30;

[[nodiscard]] Settings parse_settings(std::string_view json);
[[nodiscard]] Settings settings_from(const nlohmann::json& in);
[[nodiscard]] std::size_t frame_length(std::span<const std::uint8_t> first_bytes);

// Reads batches; keeps the numbered engine lists, which belong to no instance.
class Reader {
 public:
  [[nodiscard]] Batch read(std::span<const std::uint8_t> frame);

 private:
  std::vector<std::vector<Endpoint>> lists_ = std::vector<std::vector<Endpoint>>(16);
  std::vector<bool> known_ = std::vector<bool>(16, false);
};

class ReplyWriter {
 public:
  void instance(std::uint32_t id);
  void action(const Action& action);
  [[nodiscard]] std::vector<std::uint8_t> finish(std::uint32_t sequence);

 private:
  std::vector<std::uint8_t> body_;
  std::uint32_t records_ = 0;
};

}  // namespace bellstair::simulator
