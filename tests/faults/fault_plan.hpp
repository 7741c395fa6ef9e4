// The faults that the library `bellstair_faults` injects into a process. Both the test and the process map
// the same file, so that a test can switch faults on and off while the process runs.
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
  control,     // epoll_ctl, other than to give up a descriptor
  open_null,   // open() of /dev/null
  write_file,  // write() to a regular file
  sync,        // fsync() and fdatasync()
  rename,
};
inline constexpr std::size_t kFaultyCalls = 11;
inline constexpr std::size_t kMaxErrors = 8;

// How one system call fails. Zero everywhere: it never does.
struct FaultRule {
  std::atomic<std::uint32_t> one_in;        // calls, of which one fails; 0: none
  std::atomic<std::uint32_t> one_short_in;  // calls, of which one transfers a part only; 0: none
  std::atomic<std::uint32_t> error_count;   // of `errors`, drawn evenly
  std::array<std::atomic<std::int32_t>, kMaxErrors> errors;
  std::atomic<std::uint64_t> calls;     // so far
  std::atomic<std::uint64_t> injected;  // failures among them
};

struct FaultPlan {
  std::atomic<std::uint64_t> seed;
  std::atomic<std::int64_t> wall_clock_offset_ns;  // added to CLOCK_REALTIME
  std::array<FaultRule, kFaultyCalls> rules;
  [[nodiscard]] FaultRule& rule(FaultyCall call) { return rules[static_cast<std::size_t>(call)]; }
};

// The environment variable that names the plan's file.
inline constexpr const char* kFaultPlanVariable = "BELLSTAIR_FAULT_PLAN";

}  // namespace bellstair::test
