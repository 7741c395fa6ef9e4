// Owns all channels of one process, accepted and dialled, and identifies each by a number. It limits the
// number of accepted channels, frees a channel only when none of its handlers can be running, and can close
// one so that the peer still receives the last message.
#pragma once

#include <ev++.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/events.hpp"
#include "link/channel.hpp"
#include "net/lingerer.hpp"
#include "net/listener.hpp"

namespace bellstair::link {

using ChannelId = std::uint64_t;  // starts at 1, never reused

class ChannelManager {
 public:
  // No handler is called from within send(), close_after_flush() or close(), and each handler may call these.
  struct Handlers {
    std::function<void(ChannelId)> on_accepted;
    std::function<void(ChannelId)> on_connected;  // called once, for a dialled channel
    std::function<void(ChannelId, std::string_view body)> on_message;
    // Everything sent has been written: called once after one or more send(), from settle() or the loop.
    std::function<void(ChannelId)> on_drained;
    // Called once, unless the owner closed the channel: the peer closed the connection, or the connection
    // failed or could not be made. `address` is the peer's.
    std::function<void(ChannelId, const ChannelError& error, const std::string& address)> on_closed;
  };

  // `max_accepted` limits concurrent accepted connections; further ones are closed immediately.
  ChannelManager(ev::loop_ref loop, Limits limits, std::size_t max_accepted, Handlers handlers);

  void listen(net::Fd fd);
  // Sets no timeout; the owner has to. A malformed address or a lack of descriptors is reported by on_closed.
  ChannelId dial(const std::string& address);
  void send(ChannelId id, std::string_view body);  // ignored if the channel is closed
  void close_after_flush(ChannelId id);  // once everything sent is written; reads no further messages
  void close(ChannelId id);              // immediately

  // Calls the handlers that are due. Must be called before the loop waits for events.
  void settle();
  void tick(core::Time now);

  [[nodiscard]] std::size_t accepted_count() const { return accepted_count_; }
  // Channels after close_after_flush() that are not flushed yet or not closed by the peer.
  [[nodiscard]] std::size_t closing_count() const { return lingerer_.size(); }
  [[nodiscard]] std::uint64_t rejected_count() const { return rejected_count_; }
  [[nodiscard]] std::size_t unsent_bytes() const;  // of all channels

 private:
  struct Entry {
    Channel channel;
    std::string peer_address;
    bool accepted = false;
    bool drained_due = false;                   // on_drained is due once everything sent is written
    std::optional<ChannelError> pending_error;  // on_closed is due with this error
    Entry(ev::loop_ref loop, net::Fd fd, bool dialling, Limits limits)
        : channel(loop, std::move(fd), dialling, limits) {}
  };
  using Entries = std::unordered_map<ChannelId, std::unique_ptr<Entry>>;

  ChannelId add(net::Fd fd, bool dialling);
  void accept(net::Fd fd);
  std::unique_ptr<Entry> remove(Entries::iterator found);
  void on_channel_closed(ChannelId id, const ChannelError& error);
  void on_channel_drained(ChannelId id);
  void dispatch(ChannelId id);

  ev::loop_ref loop_;
  Limits limits_;
  std::size_t max_accepted_, accepted_count_ = 0;
  Handlers handlers_;
  Entries entries_;
  std::vector<ChannelId> due_;  // channels whose handlers settle() has to call
  std::vector<std::unique_ptr<Entry>> removed_;
  net::Lingerer lingerer_;
  std::unique_ptr<net::Listener> listener_;
  ChannelId last_id_ = 0;
  std::uint64_t rejected_count_ = 0;
};

}  // namespace bellstair::link
