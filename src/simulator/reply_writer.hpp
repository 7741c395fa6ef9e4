// Writes the reply to one batch: the actions of its instances.
#pragma once

#include <cstdint>
#include <vector>

#include "bellstair/policy/scheduler.hpp"

namespace bellstair::simulator {

class ReplyWriter {
 public:
  // Sets the instance of the following actions.
  void instance(std::uint32_t id);
  void action(const policy::Action& action);
  // Returns the frame. `sequence`: that of the batch.
  [[nodiscard]] std::vector<std::uint8_t> finish(std::uint32_t sequence);

 private:
  std::vector<std::uint8_t> body_;
  std::uint32_t records_ = 0;
};

}  // namespace bellstair::simulator
