#include "platform/change_log_client.hpp"

#include <algorithm>
#include <utility>

#include "log/log.hpp"
#include "platform/http_status.hpp"
#include "platform/wire_names.hpp"

namespace bellstair::platform {
namespace {
using namespace std::chrono_literals;

constexpr core::Time kMinBackoff = 100ms;
constexpr core::Time kMaxBackoff = 800ms;
constexpr core::Time kConnectTimeout = 250ms;
// At startup, a broker begins to serve with the endpoints of its configuration after this many failures, or
// after this time if the change log accepts calls but does not answer.
constexpr unsigned kFailuresBeforeServing = 4;
constexpr core::Time kMaxWaitBeforeServing = 2s;
// How long the change log may delay the answer to a poll while nothing changes. A change log that hangs is
// detected only by a missing answer after this time, and empty answers are cheap, so the time is short.
constexpr core::Time kLongPollDuration = 1000ms;
constexpr core::Time kAnswerTime = 400ms;  // of an answer that is in time
// By the platform's protocol, a change counts as known to the broker this long after the change log has it.
constexpr core::Time kMaxPropagationDelay = 7s;
constexpr core::Time kMaxCallSpacing = kMaxPropagationDelay / 2;
constexpr std::size_t kMaxCalls = 4;  // beside each other
constexpr std::size_t kMaxResponseBody = std::size_t{4} << 20;
constexpr std::size_t kMaxUnwritten = std::size_t{64} * 1024;
}  // namespace

ChangeLogClient::ChangeLogClient(ev::loop_ref loop, std::string address, const config::Names& names,
                                 std::uint64_t last_seq, std::uint64_t seed, net::EventSink emit)
    : loop_(loop),
      address_(std::move(address)),
      names_(names),
      last_seq_(last_seq),
      emit_(std::move(emit)),
      backoff_(kMinBackoff, kMaxBackoff, seed) {}

void ChangeLogClient::tick(core::Time now) {
  now_ = now;
  if (!started_at_) started_at_ = now;
  retired_.clear();
  time_out_connects();
  if (now >= next_call_at_) begin_call();
  const bool waited_long = now >= *started_at_ + kMaxWaitBeforeServing;
  if (first_poll_ && waited_long && !std::exchange(waited_long_, true)) emit_(core::EndpointListPolled{});
}

void ChangeLogClient::set_address(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  while (!calls_.empty()) retire(*calls_.back());
  lateness_ = {};
  call_spacing_ = {};
  begin_call();
}

// ---- calls

void ChangeLogClient::begin_call() {
  // The oldest call may be answered late, the newest ones in time; of those in between the oldest is dropped.
  if (calls_.size() == kMaxCalls) retire(*calls_[1]);
  auto& call = *calls_.emplace_back(std::make_unique<Call>(kMaxResponseBody));
  call_spacing_ = std::clamp(2 * call_spacing_, patience(), std::max(patience(), kMaxCallSpacing));
  next_call_at_ = now_ + call_spacing_;
  call.connect_deadline = now_ + kConnectTimeout;
  const auto address = net::parse_address(address_);
  auto fd = address ? net::begin_connect(*address) : net::Fd();
  if (!fd) return on_failure(call);
  call.stream = std::make_unique<net::Stream>(loop_, std::move(fd), true, kMaxUnwritten);
  call.stream->set_handlers({
      .connected = [this, &call] { poll(call); },
      .data =
          [this, &call](std::string_view bytes) {
            if (!call.reader.feed(bytes)) return on_failure(call);
            if (call.reader.complete()) on_response(call);
          },
      .half_closed = {},
      .caught_up = {},
      .ended = [this, &call] { call.reader.finish() ? on_response(call) : on_failure(call); },
      .closed = [this, &call] { on_failure(call); },
      .drained = {},
  });
}

void ChangeLogClient::poll(Call& call) {
  call.reader.begin_response();
  call.sent_at = now_;
  call.poll_duration = first_poll_ ? core::Time::zero() : kLongPollDuration;
  if (calls_.size() == 1) schedule_next_call();
  std::string path = wire::kChangesPath;
  path.append("?").append(wire::kSinceParameter).append("=").append(std::to_string(last_seq_));
  path.append("&").append(wire::kPollTimeoutParameter).append("=");
  path.append(std::to_string(call.poll_duration / 1ms));
  call.stream->write(format_request("GET", path, address_, {}, {}));
}

void ChangeLogClient::time_out_connects() {
  const auto calls = calls_.size();
  for (std::size_t i = calls; i-- > 0;) {
    auto& call = *calls_[i];
    if (!call.sent_at && now_ >= call.connect_deadline) on_failure(call);
  }
}

core::Time ChangeLogClient::patience() const {
  const auto in_time = kLongPollDuration + kAnswerTime;
  // A call that begins then is answered within kMaxPropagationDelay, even if all calls before it are lost. A
  // change log that is later than that can't be heard in time, and more calls would only slow it down.
  const auto latest = kMaxPropagationDelay - kConnectTimeout - kAnswerTime - lateness_;
  return latest < in_time ? in_time + lateness_ : std::min(in_time + lateness_, latest);
}

void ChangeLogClient::schedule_next_call() {
  call_spacing_ = patience();
  next_call_at_ = calls_.front()->sent_at.value_or(now_) + call_spacing_;
}

void ChangeLogClient::retire(Call& call) {
  const auto found = std::ranges::find_if(calls_, [&](const auto& other) { return other.get() == &call; });
  if (call.stream) call.stream->close();
  retired_.push_back(std::move(*found));
  calls_.erase(found);
}

// ---- answers

void ChangeLogClient::on_response(Call& call) {
  const auto response = call.reader.take();
  const auto last_seq = last_seq_;
  if (response.status != http_status::kOk || !apply(response.body)) return on_failure(call);
  record_lateness(call, last_seq_ > last_seq);
  emit_(core::EndpointListPolled{true});
  first_poll_ = false;
  invalid_logged_ = false;
  backoff_.reset();
  while (calls_.front().get() != &call) retire(*calls_.front());
  // A later call that is out goes on in place of this one.
  std::erase_if(calls_, [&](const auto& other) {
    if (other.get() == &call || other->sent_at) return false;
    other->stream->close();
    return true;
  });
  if (calls_.size() > 1) {
    retire(call);
    return schedule_next_call();
  }
  if (response.keep_alive && call.stream->open()) return poll(call);
  retire(call);
  call_spacing_ = {};
  begin_call();
}

bool ChangeLogClient::apply(const std::string& body) {
  try {
    auto update = config::parse_changes(body, names_);
    for (auto& change : update.changes) {
      // Calls beside each other are answered with the same events.
      if (change.seq != 0 && change.seq <= last_seq_) continue;
      if (change.seq == 0 && update.seq <= last_seq_) continue;
      change.from_change_log = true;
      emit_(std::move(change));
    }
    last_seq_ = std::max(last_seq_, update.seq);
    return true;
  } catch (const config::Invalid& error) {
    if (!std::exchange(invalid_logged_, true))
      log::write(log::Level::warning, std::string("bellstair: change log: ") + error.what());
    return false;
  }
}

// An answer with events may come before the end of the poll that is late all the same.
void ChangeLogClient::record_lateness(const Call& call, bool has_events) {
  const auto late_by = std::max(core::Time::zero(), now_ - *call.sent_at - call.poll_duration);
  lateness_ = has_events ? std::max(lateness_, late_by) : late_by;
}

void ChangeLogClient::on_failure(Call& call) {
  retire(call);
  next_call_at_ = now_ + backoff_.next_delay();
  if (calls_.empty()) call_spacing_ = {};
  if (!first_poll_) return;
  if (++failures_before_first_answer_ >= kFailuresBeforeServing || waited_long_)
    emit_(core::EndpointListPolled{});
}

}  // namespace bellstair::platform
