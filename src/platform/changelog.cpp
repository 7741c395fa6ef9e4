#include "platform/changelog.hpp"

#include <utility>

#include "log/log.hpp"

namespace bellstair::platform {
namespace {
using namespace std::chrono_literals;
// After calls that failed, the spans of the waits. What a broken call would have told counts as told 2 s
// later (PROTOCOL, "Figures"): the longest wait and a dial lie well below that.
constexpr core::Time kRetryLeast = 100ms, kRetryMost = 800ms;
constexpr core::Time kDial = 250ms;
// Failures at the start after which a broker serves on what it was told: their waits come to 350 to 700 ms.
constexpr unsigned kFailuresToServe = 4;
// A change log that takes calls and says nothing costs much longer each time: then it is the time that
// counts, of which the platform leaves 10 s to a broker that was restarted.
constexpr core::Time kLongToServe = 2s;
// The change log holds a call for so long. A log that has stopped, its connections open, shows only by an
// answer that stays away after that: the shorter the wait, the less is missed. Empty answers cost next to
// nothing.
constexpr auto kHold = 1000ms;
constexpr core::Time kPatience = kHold + 400ms;
constexpr std::size_t kMaxAnswer = std::size_t{4} << 20;
}  // namespace

ChangeLog::ChangeLog(ev::loop_ref loop, std::string address, const config::Names& names, std::uint64_t since,
                     std::uint64_t seed, Post post)
    : loop_(loop),
      address_(std::move(address)),
      names_(names),
      since_(since),
      post_(std::move(post)),
      reader_(kMaxAnswer),
      backoff_(kRetryLeast, kRetryMost, seed),
      waiting_(true) {}

void ChangeLog::tick(core::Time now) {
  now_ = now;
  if (!began_) began_ = now;
  old_.reset();
  if (waiting_) {
    if (now >= next_try_) dial();
  } else if (now >= patience_) {
    lost();
  }
}

void ChangeLog::follow(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  if (stream_) {
    stream_->close();
    old_ = std::move(stream_);
  }
  dial();
}

void ChangeLog::dial() {
  waiting_ = false;
  patience_ = now_ + kDial;
  const auto at = net::parse_address(address_);
  auto fd = at ? net::begin_connect(*at) : net::Fd();
  if (!fd) return lost();
  stream_ = std::make_unique<net::Stream>(loop_, std::move(fd), true, std::size_t{64} * 1024);
  stream_->handle({
      .connected = [this] { ask(); },
      .data =
          [this](std::string_view bytes) {
            if (!reader_.feed(bytes)) return lost();
            if (reader_.complete()) answered();
          },
      .ended = [this] { reader_.finish() ? answered() : lost(); },
      .closed = [this] { lost(); },
      .drained = {},
  });
}

void ChangeLog::ask() {
  reader_.expect();
  patience_ = now_ + kPatience;
  const auto hold = first_ ? 0ms : kHold;
  stream_->write(http_call(
      "GET", "/changes?since=" + std::to_string(since_) + "&timeout=" + std::to_string(hold.count()),
      address_, {}, {}));
}

void ChangeLog::answered() {
  const auto answer = reader_.take();
  if (answer.status != 200) return lost();
  try {
    auto news = config::parse_changes(answer.body, names_);
    for (auto& change : news.changes) {
      change.from_change_log = true;
      post_(std::move(change));
    }
    post_(core::EndpointListPolled{true});
    since_ = std::max(since_, news.seq);
    first_ = nonsense_ = false;
    backoff_.succeeded();
  } catch (const config::Invalid& error) {
    if (!std::exchange(nonsense_, true))
      log::write(log::Level::warning, std::string("bellstair: change log: ") + error.what());
    return lost();
  }
  if (!answer.keep_alive || !stream_->open()) {
    next_try_ = {};  // nothing went wrong: ask anew at once
    old_ = std::move(stream_);
    old_->close();
    return dial();
  }
  ask();
}

void ChangeLog::lost() {
  if (stream_) {
    stream_->close();
    old_ = std::move(stream_);  // one of its handlers may be running
  }
  waiting_ = true;
  next_try_ = now_ + backoff_.after_failure();
  // A broker that has just started serves on what it was told until the change log can be asked.
  if (first_ && (++failures_ >= kFailuresToServe || now_ >= *began_ + kLongToServe))
    post_(core::EndpointListPolled{});
}

}  // namespace bellstair::platform
