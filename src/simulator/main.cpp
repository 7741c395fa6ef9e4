// Runs schedulers for the simulator. Reads batches from standard input and writes replies to standard output.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <map>
#include <optional>
#include <vector>

#include "bellstair/policy/scheduler.hpp"
#include "simulator/batch_reader.hpp"
#include "simulator/reply_writer.hpp"

namespace {

using bellstair::policy::Action;
using bellstair::policy::Event;
using bellstair::policy::Scheduler;
namespace simulator = bellstair::simulator;

constexpr std::size_t kChunkBytes = std::size_t{1} << 20;  // per read

// Returns false at the end of the input. Throws FrameError if a frame is truncated.
bool read_frame(std::vector<std::uint8_t>& frame) {
  frame.resize(simulator::kLengthBytes);
  const auto got = std::fread(frame.data(), 1, frame.size(), stdin);
  if (got == 0 && std::feof(stdin) != 0) return false;
  if (got != frame.size()) throw simulator::FrameError("frame: truncated");
  const auto length = simulator::frame_length(frame);
  // Grows the frame with the bytes that arrive, so that a wrong length cannot exhaust the memory.
  while (frame.size() < length) {
    const auto offset = frame.size();
    const auto part = std::min(kChunkBytes, length - offset);
    frame.resize(offset + part);
    if (std::fread(frame.data() + offset, 1, part, stdin) != part)
      throw simulator::FrameError("frame: truncated");
  }
  return true;
}

class SchedulerHost {
 public:
  std::vector<std::uint8_t> run_batch(const simulator::Batch& batch) {
    simulator::ReplyWriter reply;
    std::vector<Event> events;
    std::optional<std::uint32_t> current;
    const auto flush = [&] {
      if (current && !events.empty()) run_scheduler(batch.now, *current, events, reply);
      events.clear();
    };
    for (const auto& record : batch.records) {
      if (current != record.instance) flush();
      current = record.instance;
      if (const auto* start = std::get_if<simulator::StartInstance>(&record.content)) {
        flush();
        schedulers_.insert_or_assign(record.instance, Scheduler(start->settings, start->seed));
      } else if (std::holds_alternative<simulator::StopInstance>(record.content)) {
        events.clear();
        schedulers_.erase(record.instance);
      } else {
        events.push_back(std::get<Event>(record.content));
      }
    }
    flush();
    return reply.finish(batch.sequence);
  }

 private:
  void run_scheduler(bellstair::policy::Time now, std::uint32_t id, const std::vector<Event>& events,
                     simulator::ReplyWriter& reply) {
    const auto found = schedulers_.find(id);
    if (found == schedulers_.end())
      throw simulator::FrameError("frame: an event for an instance that is not running");
    std::vector<Action> actions;
    found->second.handle(now, events, actions);
    if (actions.empty()) return;
    reply.instance(id);
    for (const auto& action : actions) reply.action(action);
  }

  std::map<std::uint32_t, Scheduler> schedulers_;
};

}  // namespace

int main() {
  try {
    simulator::BatchReader reader;
    SchedulerHost host;
    std::vector<std::uint8_t> frame;
    while (read_frame(frame)) {
      const auto reply = host.run_batch(reader.read(frame));
      if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0) {
        std::fputs("bellstair_simulator: cannot write the reply\n", stderr);
        return 1;
      }
    }
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "bellstair_simulator: %s\n", error.what());
    return 1;
  }
}
