// The faults that the library `bellstair_faults` injects into a process. The test and the process map the
// same file, so that the test can switch faults on and off while the process runs.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace bellstair::test {

// The system calls that can be made to fail.
enum class FaultyCall : unsigned {
  accept,
  connect,
  socket,
  send,
  receive,
  wait,        // epoll_wait
  control,     // epoll_ctl, except to remove a descriptor
  open_null,   // open() of /dev/null
  write_file,  // write() to a regular file
  sync,        // fsync() and fdatasync()
  rename,
};
inline constexpr std::size_t kFaultyCalls = 11;
inline constexpr std::size_t kMaxErrors = 8;

// How often and with which errors one system call fails; if all fields are 0, it never fails.
struct FaultRule {
  std::atomic<std::uint32_t> one_in;        // one call in this many fails; 0: none
  std::atomic<std::uint32_t> one_short_in;  // one call in this many transfers only a part; 0: none
  std::atomic<std::uint32_t> error_count;   // number of `errors`, which are equally likely
  std::array<std::atomic<std::int32_t>, kMaxErrors> errors;
  std::atomic<std::uint64_t> calls;     // so far
  std::atomic<std::uint64_t> injected;  // number of calls that failed
};

struct FaultPlan {
  std::atomic<std::uint64_t> seed;
  std::atomic<std::int64_t> wall_clock_offset_ns;  // added to CLOCK_REALTIME
  std::array<FaultRule, kFaultyCalls> rules;
  [[nodiscard]] FaultRule& rule(FaultyCall call) { return rules[static_cast<std::size_t>(call)]; }
};

// The environment variable with the path of the plan's file.
inline constexpr const char* kFaultPlanVariable = "BELLSTAIR_FAULT_PLAN";

}  // namespace bellstair::test
