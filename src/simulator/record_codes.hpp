// Codes of the records in the simulator's frames, as defined by its protocol.
#pragma once

#include <cstddef>
#include <cstdint>

namespace bellstair::simulator {

inline constexpr std::size_t kLengthBytes = 4;  // at the start of each frame; the length includes them
inline constexpr std::size_t kBatchHeaderBytes = 20;
inline constexpr std::size_t kReplyHeaderBytes = 12;
inline constexpr std::size_t kMaxFrameBytes = std::size_t{1} << 30;

// Records of batches.
enum class RecordCode : std::uint8_t {
  start = 10,
  endpoint_list = 20,
  request_arrival = 30,
  stream_begun = 40,
  attempt_outcome = 50,
  request_cancelled = 60,
  timer_fired = 70,
  health_check_result = 80,
  gossip = 90,
  stop = 100,
  attempt_progress = 110,
  numbered_list = 120,  // a list of endpoints with a number, by which endpoint_list refers to it
  instance = 130        // the instance of the following records
};

// Records of replies.
enum class ActionCode : std::uint8_t {
  gossip = 10,
  schedule_timer = 20,
  attempt_terms = 30,
  health_check = 40,
  cancel_attempt = 50,
  poll_endpoint_list = 60,
  reject = 70,
  fail = 80,
  instance = 90,
  send_attempt = 100,
  log_message = 110
};

// Results of attempts and health checks.
enum class ResultCode : std::uint16_t {
  served = 100,
  error = 301,
  rejected = 302,
  timed_out = 303,
  connect_failed = 304,
  reset = 305,
  cancelled = 306,
  not_started = 307
};

enum class EngineStateCode : std::uint8_t { draining = 0, ready = 2, gone = 3 };
enum class ProgressCode : std::uint8_t { progress = 1, spill = 2, waiting = 3 };

}  // namespace bellstair::simulator
