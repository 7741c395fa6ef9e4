// All channels of one process, accepted and dialled, each by a number: bounded in number, freed when no
// handler of theirs can be running, closed so that a last word is read.
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

using ChannelId = std::uint64_t;  // never used again

class Hub {
 public:
  // None is called from within send(), finish() or close(); all may call these.
  struct Handlers {
    std::function<void(ChannelId)> accepted;
    std::function<void(ChannelId)> connected;  // a dialled one has come up
    std::function<void(ChannelId, std::string_view body)> message;
    // All that was sent on it has left; after each send(), from settle() or the loop.
    std::function<void(ChannelId)> drained;
    // Once, unless its owner has finished or closed it: its peer has closed, it broke, or it never came up.
    // `address`: its peer's.
    std::function<void(ChannelId, const std::string& reason, const std::string& address)> closed;
  };

  // `most_accepted`: connections from others at once; what comes beyond is closed at once.
  Hub(ev::loop_ref loop, Limits limits, std::size_t most_accepted, Handlers handlers);

  void listen(net::Fd fd);
  // Nothing tells of a dial that takes long: the owner has its own limit. An address that is none, and want
  // of descriptors, come as `closed`.
  ChannelId dial(const std::string& address);
  void send(ChannelId id, std::string_view body);  // one that is not there any more: dropped
  void finish(ChannelId id);                       // once what was sent has left; nothing more is read
  void close(ChannelId id);                        // at once

  // Before the loop sleeps, and with each tick of the owner.
  void settle();
  void tick(core::Time now);

  [[nodiscard]] std::size_t accepted() const { return accepted_; }
  [[nodiscard]] std::size_t leaving() const { return lingerer_.size(); }  // finished, not all has left
  [[nodiscard]] std::uint64_t turned_away() const { return turned_away_; }
  [[nodiscard]] std::size_t unwritten() const;  // by all of them

 private:
  struct Held {
    Channel channel;
    std::string address;  // the peer's
    bool accepted = false;
    bool sent = false;                  // and `drained` is still owed
    std::optional<std::string> broken;  // `closed` is still owed
    Held(ev::loop_ref loop, net::Fd fd, bool dialling, Limits limits)
        : channel(loop, std::move(fd), dialling, limits) {}
  };
  using Channels = std::unordered_map<ChannelId, std::unique_ptr<Held>>;

  ChannelId add(net::Fd fd, bool dialling);
  void accept(net::Fd fd);
  std::unique_ptr<Held> take_out(Channels::iterator found);
  void lose(ChannelId id, const std::string& reason);  // `reason` is not the channel's own

  ev::loop_ref loop_;
  Limits limits_;
  std::size_t most_accepted_, accepted_ = 0;
  Handlers handlers_;
  Channels channels_;
  std::vector<ChannelId> stirred_;  // settle() has something to tell of these
  std::vector<std::unique_ptr<Held>> gone_;
  net::Lingerer lingerer_;
  std::unique_ptr<net::Listener> listener_;
  ChannelId last_ = 0;
  std::uint64_t turned_away_ = 0;
};

}  // namespace bellstair::link
