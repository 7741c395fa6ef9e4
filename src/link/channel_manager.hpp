// All channels of one process, accepted and dialled, each by a number: bounded in number, freed when no
// handler of theirs can be running, and closed so that the peer can read what was sent last.
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

using ChannelId = std::uint64_t;  // from 1, never used again

class ChannelManager {
 public:
  // None is called from within send(), close_after_flush() or close(); all may call these.
  struct Handlers {
    std::function<void(ChannelId)> on_accepted;
    std::function<void(ChannelId)> on_connected;  // once, of a dialled channel
    std::function<void(ChannelId, std::string_view body)> on_message;
    // All that was sent has left: once after one or more send(), from settle() or the loop.
    std::function<void(ChannelId)> on_drained;
    // Once, unless its owner has closed it: the peer has closed, or the connection has failed or never came
    // up. `address`: the peer's.
    std::function<void(ChannelId, const ChannelError& error, const std::string& address)> on_closed;
  };

  // `max_accepted`: connections from others at once; what comes beyond is closed at once.
  ChannelManager(ev::loop_ref loop, Limits limits, std::size_t max_accepted, Handlers handlers);

  void listen(net::Fd fd);
  // No time limit: that is the owner's. A malformed address and lack of descriptors are told by on_closed.
  ChannelId dial(const std::string& address);
  void send(ChannelId id, std::string_view body);  // dropped where the channel has gone
  void close_after_flush(ChannelId id);            // once what was sent has left; nothing more is read
  void close(ChannelId id);                        // at once

  // To be called before the loop sleeps: calls handlers that are due.
  void settle();
  void tick(core::Time now);

  [[nodiscard]] std::size_t accepted_count() const { return accepted_count_; }
  [[nodiscard]] std::size_t closing_count() const { return lingerer_.size(); }  // not all has left
  [[nodiscard]] std::uint64_t rejected_count() const { return rejected_count_; }
  [[nodiscard]] std::size_t unsent_bytes() const;  // of all channels

 private:
  struct Entry {
    Channel channel;
    std::string peer_address;
    bool accepted = false;
    bool drained_due = false;                   // on_drained is due once all has left
    std::optional<ChannelError> pending_error;  // on_closed is due
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
  std::vector<ChannelId> due_;  // settle() has handlers of these to call
  std::vector<std::unique_ptr<Entry>> removed_;
  net::Lingerer lingerer_;
  std::unique_ptr<net::Listener> listener_;
  ChannelId last_id_ = 0;
  std::uint64_t rejected_count_ = 0;
};

}  // namespace bellstair::link
