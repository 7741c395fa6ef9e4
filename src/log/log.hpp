// The program's log, written to standard error by a thread of its own. write() never waits for the reader of
// standard error: if the queue of lines is full, the oldest are dropped and counted.
#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

#include "log/level.hpp"

namespace bellstair::log {

// Sets the lowest level that is logged and starts the log's thread, which handles no signals. Before the
// first start() the calling thread writes each line itself.
void start(Level min_level = Level::info);

// Whether lines of this level are written, for callers whose lines are costly to build.
[[nodiscard]] bool enabled(Level level);

void write(Level level, std::string_view text);

// Number of lines dropped since start().
[[nodiscard]] std::uint64_t dropped();

// Waits until all queued lines have been written, but at most `timeout`.
void stop(std::chrono::milliseconds timeout = std::chrono::milliseconds(200));

}  // namespace bellstair::log
