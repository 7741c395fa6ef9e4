// A control node's one dialled connection, to its leader: dialled again with a backoff, given up after a time
// limit.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "core/events.hpp"
#include "link/channel_manager.hpp"
#include "net/backoff.hpp"

namespace bellstair::app {

class LeaderConnection {
 public:
  static constexpr core::Time kConnectTimeout = std::chrono::seconds(1);
  // A connection that has lasted so long resets the backoff.
  static constexpr core::Time kStableAfter = std::chrono::seconds(4);

  // The address of a node by its name; none: the operator's file has not heard of it yet.
  using FindAddress = std::function<std::optional<std::string>(const std::string& node)>;

  // `channels` outlives the connection. `seed`: of the backoff's jitter.
  LeaderConnection(link::ChannelManager& channels, std::uint64_t seed);

  // Dials where it is time to. `leader`: whom the node wants to follow; none: nobody.
  void tick(core::Time now, const std::optional<std::string>& leader, const FindAddress& find_address);
  void on_connected() { connected_ = true; }
  // It has failed, or is closed.
  void on_closed(core::Time now);
  void dial_at_once() { next_dial_ = {}; }

  // Whether the channel is this connection's.
  [[nodiscard]] bool owns(link::ChannelId channel) const { return channel_ != 0 && channel == channel_; }
  [[nodiscard]] bool is_connected() const { return connected_; }

 private:
  link::ChannelManager& channels_;
  net::Backoff backoff_;
  link::ChannelId channel_ = 0;  // 0: none
  std::string leader_;           // that it was dialled to
  bool connected_ = false;
  core::Time dialled_at_{}, next_dial_{};
};

}  // namespace bellstair::app
