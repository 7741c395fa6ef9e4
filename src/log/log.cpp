#include "log/log.hpp"

#include <pthread.h>
#include <spdlog/async_logger.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/details/thread_pool.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>

namespace bellstair::log {
namespace {
using namespace std::chrono_literals;

constexpr std::size_t kMaxQueued = 512;                       // lines in the queue
constexpr std::size_t kMaxLineBytes = std::size_t{8} * 1024;  // longer ones are cut
constexpr auto kPollInterval = 2ms;                           // between checks for unwritten lines in stop()
// The time is in UTC, because readers of the log may be in any time zone.
constexpr const char* kPattern = "%Y-%m-%dT%H:%M:%S.%eZ %l %v";

// Used only by the log's thread, which blocks here while nobody reads standard error.
class StandardErrorSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  [[nodiscard]] std::uint64_t written() const { return written_; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    for (std::size_t offset = 0; offset < line.size();) {
      const auto count = ::write(STDERR_FILENO, line.data() + offset, line.size() - offset);
      if (count < 0 && errno == EINTR) continue;
      if (count < 0) break;  // standard error can no longer be written
      offset += static_cast<std::size_t>(count);
    }
    ++written_;
  }
  void flush_() override {}

 private:
  std::atomic<std::uint64_t> written_ = 0;
};

struct AsyncLog {
  std::shared_ptr<StandardErrorSink> sink = std::make_shared<StandardErrorSink>();
  std::shared_ptr<spdlog::details::thread_pool> pool;
  std::shared_ptr<spdlog::async_logger> logger;
  std::atomic<std::uint64_t> queued = 0;

  [[nodiscard]] bool all_written() const { return sink->written() + pool->overrun_counter() >= queued; }
};

// Never destroyed: its thread may be blocked in writing a line, and the destructor would wait for it.
AsyncLog* async_log = nullptr;
Level current_min_level = Level::info;

spdlog::level::level_enum to_spdlog(Level level) {
  switch (level) {
    case Level::debug:
      return spdlog::level::debug;
    case Level::info:
      return spdlog::level::info;
    case Level::warning:
      return spdlog::level::warn;
    case Level::error:
      return spdlog::level::err;
  }
  return spdlog::level::off;
}
}  // namespace

void start(Level min_level) {
  current_min_level = min_level;
  if (async_log != nullptr) return;
  auto* new_log = new AsyncLog;
  sigset_t all_signals, previous_signals;
  sigfillset(&all_signals);
  pthread_sigmask(SIG_BLOCK, &all_signals, &previous_signals);
  new_log->pool = std::make_shared<spdlog::details::thread_pool>(
      kMaxQueued, 1U, [] { pthread_setname_np(pthread_self(), "log"); });
  pthread_sigmask(SIG_SETMASK, &previous_signals, nullptr);
  new_log->sink->set_formatter(
      std::make_unique<spdlog::pattern_formatter>(kPattern, spdlog::pattern_time_type::utc));
  new_log->logger = std::make_shared<spdlog::async_logger>("bellstair", new_log->sink, new_log->pool,
                                                           spdlog::async_overflow_policy::overrun_oldest);
  new_log->logger->set_level(spdlog::level::trace);
  async_log = new_log;
}

bool enabled(Level level) { return level >= current_min_level; }

void write(Level level, std::string_view text) {
  if (!enabled(level)) return;
  text = text.substr(0, kMaxLineBytes);
  if (async_log == nullptr) {
    std::fprintf(stderr, "%.*s\n", static_cast<int>(text.size()), text.data());
    return;
  }
  ++async_log->queued;
  async_log->logger->log(to_spdlog(level), spdlog::string_view_t(text.data(), text.size()));
}

std::uint64_t dropped() { return async_log == nullptr ? 0 : async_log->pool->overrun_counter(); }

void stop(std::chrono::milliseconds timeout) {
  if (async_log == nullptr) return;
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!async_log->all_written() && std::chrono::steady_clock::now() < deadline)
    std::this_thread::sleep_for(kPollInterval);
}

}  // namespace bellstair::log
