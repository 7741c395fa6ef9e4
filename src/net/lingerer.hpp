// The one way in which fronts close connections whose clients may still send (a lingering close): what is
// written leaves, then the client is told that no more comes, and what it still sends is read and dropped
// until it closes too. To close over unread input would reset the connection, and take from the client what
// it has not read yet.
#pragma once

#include <ev++.h>

#include <list>
#include <memory>
#include <vector>

#include "core/events.hpp"
#include "net/stream.hpp"

namespace bellstair::net {

class Lingerer {
 public:
  // How long a client has to read its last word and to close.
  static constexpr core::Time kLinger = std::chrono::milliseconds(800);

  explicit Lingerer(ev::loop_ref loop) : loop_(loop) {}
  // The stream is empty afterwards.
  void take(Stream& stream);
  // Closes the oldest outright until no more than `most` are left, so that descriptors suffice.
  void trim(std::size_t most);
  void settle() { gone_.clear(); }  // once in each turn of the loop
  void tick(core::Time now);
  void wake(core::Time now) { now_ = now; }  // the clock alone: nothing falls due
  [[nodiscard]] std::size_t size() const { return leaving_.size(); }

 private:
  struct Leaving {
    Stream stream;
    core::Time until;
    Leaving(ev::loop_ref loop, Fd fd, core::Time until_time)
        : stream(loop, std::move(fd), false, kMaxRest), until(until_time) {}
  };
  static constexpr std::size_t kMaxRest = std::size_t{16} << 20;  // a front's own bound lies below
  using Place = std::list<std::unique_ptr<Leaving>>::iterator;
  void close(Place place);

  ev::loop_ref loop_;
  std::list<std::unique_ptr<Leaving>> leaving_;  // the oldest in front
  std::vector<std::unique_ptr<Leaving>> gone_;   // freed once no handler of theirs can be running
  core::Time now_{};
};

}  // namespace bellstair::net
