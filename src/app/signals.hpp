// Blocks signals until the program is ready to handle them; until then the system keeps them pending.
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

// Applies to the calling thread and the threads that it starts.
inline void block_signals(std::initializer_list<int> signals) {
  const auto blocked = signal_set(signals);
  sigprocmask(SIG_BLOCK, &blocked, nullptr);
}

inline void unblock_signals(std::initializer_list<int> signals) {
  const auto unblocked = signal_set(signals);
  sigprocmask(SIG_UNBLOCK, &unblocked, nullptr);
}

}  // namespace bellstair::app
