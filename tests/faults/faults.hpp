// The test's side of a FaultPlan: creates its file and the environment that makes a program load it.
#pragma once

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <initializer_list>
#include <map>
#include <new>
#include <stdexcept>
#include <string>

#include "fault_plan.hpp"

namespace bellstair::test {

class Faults {
 public:
  explicit Faults(std::uint64_t seed = 1) {
    const char* directory = std::getenv("TMPDIR");
    path_ = std::string(directory != nullptr ? directory : "/tmp") + "/bellstair-faults-XXXXXX";
    const int fd = ::mkstemp(path_.data());
    if (fd < 0 || ::ftruncate(fd, sizeof(FaultPlan)) != 0)
      throw std::runtime_error("cannot create the file of the fault plan");
    void* mapped = ::mmap(nullptr, sizeof(FaultPlan), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    ::close(fd);
    if (mapped == MAP_FAILED) throw std::runtime_error("cannot map the file of the fault plan");
    plan_ = new (mapped) FaultPlan{};
    plan_->seed = seed;
  }
  ~Faults() {
    ::munmap(plan_, sizeof(FaultPlan));
    ::unlink(path_.c_str());
  }
  Faults(const Faults&) = delete;
  Faults& operator=(const Faults&) = delete;

  // One call in `one_in` fails from now on, with one of `errors`.
  void fail(FaultyCall call, std::uint32_t one_in, std::initializer_list<int> errors) {
    auto& rule = plan_->rule(call);
    rule.one_in = 0;
    std::size_t index = 0;
    for (const int error : errors) rule.errors.at(index++) = error;
    rule.error_count = static_cast<std::uint32_t>(index);
    rule.one_in = one_in;
  }
  void shorten(FaultyCall call, std::uint32_t one_in) { plan_->rule(call).one_short_in = one_in; }
  void stop(FaultyCall call) { plan_->rule(call).one_in = 0; }
  template <class Duration>
  void step_wall_clock(Duration by) {
    plan_->wall_clock_offset_ns += std::chrono::duration_cast<std::chrono::nanoseconds>(by).count();
  }
  [[nodiscard]] std::uint64_t calls(FaultyCall call) const { return plan_->rule(call).calls; }
  [[nodiscard]] std::uint64_t injected(FaultyCall call) const { return plan_->rule(call).injected; }

  // The environment of the program under test. If it is built with AddressSanitizer, the sanitizer must
  // accept that another library is loaded before its own.
  [[nodiscard]] std::map<std::string, std::string> environment() const {
    const char* sanitizer = std::getenv("ASAN_OPTIONS");
    const std::string other_options = sanitizer != nullptr ? std::string(sanitizer) + ":" : "";
    return {{"LD_PRELOAD", BELLSTAIR_FAULT_LIBRARY},
            {kFaultPlanVariable, path_},
            {"ASAN_OPTIONS", other_options + "verify_asan_link_order=0"}};
  }

 private:
  std::string path_;
  FaultPlan* plan_ = nullptr;
};

}  // namespace bellstair::test
