// Signals that come before a program can heed them wait, and are let through once it can.
#pragma once

#include <csignal>
#include <initializer_list>

namespace bellstair::app {

inline sigset_t signal_set(std::initializer_list<int> signals) {
  sigset_t out;
  sigemptyset(&out);
  for (const int signal : signals) sigaddset(&out, signal);
  return out;
}

// Of this thread, and of those that it starts.
inline void block_signals(std::initializer_list<int> signals) {
  const auto held = signal_set(signals);
  sigprocmask(SIG_BLOCK, &held, nullptr);
}

inline void unblock_signals(std::initializer_list<int> signals) {
  const auto heeded = signal_set(signals);
  sigprocmask(SIG_UNBLOCK, &heeded, nullptr);
}

}  // namespace bellstair::app
