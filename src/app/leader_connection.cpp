#include "app/leader_connection.hpp"

#include <chrono>

namespace bellstair::app {
namespace {
using namespace std::chrono_literals;

constexpr core::Time kMinBackoff = 100ms, kMaxBackoff = 4s;

}  // namespace

LeaderConnection::LeaderConnection(link::ChannelManager& channels, std::uint64_t seed)
    : channels_(channels), backoff_(kMinBackoff, kMaxBackoff, seed) {}

void LeaderConnection::tick(core::Time now, const std::optional<std::string>& leader,
                            const FindAddress& find_address) {
  const bool dialling = channel_ != 0 && !connected_;
  const bool timed_out = dialling && now - dialled_at_ >= patience_.limit();
  if (timed_out) patience_.timed_out();
  if (timed_out || (dialling && leader != leader_)) {
    channels_.close(channel_);
    on_closed(now);
  }
  if (!leader || channel_ != 0 || now < next_dial_) return;
  const auto address = find_address(*leader);
  if (!address) {
    next_dial_ = now + backoff_.next_delay();
    return;
  }
  channel_ = channels_.dial(*address);
  leader_ = *leader;
  connected_ = false;
  dialled_at_ = now;
}

void LeaderConnection::on_closed(core::Time now) {
  if (connected_ && now - dialled_at_ >= kStableAfter) backoff_.reset();
  channel_ = 0;
  connected_ = false;
  next_dial_ = now + backoff_.next_delay();
}

}  // namespace bellstair::app
