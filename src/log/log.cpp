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

constexpr std::size_t kMaxQueued = 512;  // lines that wait to be written
constexpr auto kPollInterval = 2ms;      // between looks at whether all has been written
// With the time in UTC: whoever reads the log may be anywhere.
constexpr const char* kPattern = "%Y-%m-%dT%H:%M:%S.%eZ %l %v";

// Runs in the log's thread alone, which may block here for as long as nobody reads.
class StandardError : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  [[nodiscard]] std::uint64_t written() const { return written_; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    for (std::size_t done = 0; done < line.size();) {
      const auto put = ::write(STDERR_FILENO, line.data() + done, line.size() - done);
      if (put < 0 && errno == EINTR) continue;
      if (put < 0) break;  // nobody is there any more
      done += static_cast<std::size_t>(put);
    }
    ++written_;
  }
  void flush_() override {}

 private:
  std::atomic<std::uint64_t> written_ = 0;
};

struct Running {
  std::shared_ptr<StandardError> sink = std::make_shared<StandardError>();
  std::shared_ptr<spdlog::details::thread_pool> pool;
  std::shared_ptr<spdlog::async_logger> logger;
  std::atomic<std::uint64_t> queued = 0;

  [[nodiscard]] bool all_written() const { return sink->written() + pool->overrun_counter() >= queued; }
};

// Never destroyed: its thread may be held up for ever in writing a line, and nobody is to wait for it.
Running* running = nullptr;
Level least_level = Level::info;

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

void start(Level least) {
  least_level = least;
  if (running != nullptr) return;
  auto* made = new Running;
  sigset_t all, before;
  sigfillset(&all);
  pthread_sigmask(SIG_BLOCK, &all, &before);
  made->pool = std::make_shared<spdlog::details::thread_pool>(
      kMaxQueued, 1U, [] { pthread_setname_np(pthread_self(), "log"); });
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
  made->sink->set_formatter(
      std::make_unique<spdlog::pattern_formatter>(kPattern, spdlog::pattern_time_type::utc));
  made->logger = std::make_shared<spdlog::async_logger>("bellstair", made->sink, made->pool,
                                                        spdlog::async_overflow_policy::overrun_oldest);
  made->logger->set_level(spdlog::level::trace);
  running = made;
}

bool enabled(Level level) { return level >= least_level; }

void write(Level level, std::string_view text) {
  if (!enabled(level)) return;
  if (running == nullptr) {
    std::fprintf(stderr, "%.*s\n", static_cast<int>(text.size()), text.data());
    return;
  }
  ++running->queued;
  running->logger->log(to_spdlog(level), spdlog::string_view_t(text.data(), text.size()));
}

std::uint64_t dropped() { return running == nullptr ? 0 : running->pool->overrun_counter(); }

void stop(std::chrono::milliseconds patience) {
  if (running == nullptr) return;
  const auto until = std::chrono::steady_clock::now() + patience;
  while (!running->all_written() && std::chrono::steady_clock::now() < until)
    std::this_thread::sleep_for(kPollInterval);
}

}  // namespace bellstair::log
