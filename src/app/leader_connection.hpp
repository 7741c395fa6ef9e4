// A control node's connection to its leader: dials the leader, closes an attempt that times out, and dials
// again after a backoff.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "common/patience.hpp"
#include "core/events.hpp"
#include "link/channel_manager.hpp"
#include "net/backoff.hpp"

namespace bellstair::app {

class LeaderConnection {
 public:
  // Of an attempt; longer after attempts that have timed out.
  static constexpr core::Time kConnectTimeout = std::chrono::seconds(1);
  static constexpr core::Time kMaxConnectTimeout = std::chrono::seconds(8);
  // A connection that has lasted this long resets the backoff.
  static constexpr core::Time kStableAfter = std::chrono::seconds(4);

  // Returns the address of a node by its name; none: the operator's file does not name that node yet.
  using FindAddress = std::function<std::optional<std::string>(const std::string& node)>;

  // `channels` must outlive the connection. `seed`: of the backoff's jitter.
  LeaderConnection(link::ChannelManager& channels, std::uint64_t seed);

  // Dials `leader` if an attempt is due; closes an attempt that has timed out or is to another node.
  // `leader`: the node to follow; none: there is no node to follow.
  void tick(core::Time now, const std::optional<std::string>& leader, const FindAddress& find_address);
  void on_connected() {
    connected_ = true;
    patience_.answered();
  }
  // The attempt has failed, or the connection is closed.
  void on_closed(core::Time now);
  void dial_at_once() { next_dial_ = {}; }

  // Whether the channel is this connection's.
  [[nodiscard]] bool owns(link::ChannelId channel) const { return channel_ != 0 && channel == channel_; }
  [[nodiscard]] bool is_connected() const { return connected_; }

 private:
  link::ChannelManager& channels_;
  net::Backoff backoff_;
  Patience patience_{kConnectTimeout, kMaxConnectTimeout};
  link::ChannelId channel_ = 0;  // 0: none
  std::string leader_;           // the node that was dialled
  bool connected_ = false;
  core::Time dialled_at_{}, next_dial_{};
};

}  // namespace bellstair::app
