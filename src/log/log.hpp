// The program's log: lines on standard error. Whoever writes a line never waits for whoever reads it: a
// thread of the log's own writes them, and where nobody reads, the oldest that wait are dropped and counted.
#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

#include "log/level.hpp"

namespace bellstair::log {

// Before this, and after stop(), lines are written at once, by whoever writes them. Signals are not handled
// by the log's thread.
void start(Level least = Level::info);

// Whether lines of this level are written at all: what makes one may be costly.
[[nodiscard]] bool enabled(Level level);

void write(Level level, std::string_view text);

// Lines that were dropped since start().
[[nodiscard]] std::uint64_t dropped();

// Waits until all lines have been written, but no longer than this.
void stop(std::chrono::milliseconds patience = std::chrono::milliseconds(200));

}  // namespace bellstair::log
