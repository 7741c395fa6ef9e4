#include "net/lingerer.hpp"

#include <utility>

namespace bellstair::net {

void Lingerer::take(Stream& stream) {
  auto detached = stream.release();
  if (!detached.fd) return;
  lingering_.push_back(std::make_unique<Lingering>(loop_, std::move(detached.fd), now_ + kLingerTimeout));
  const auto position = std::prev(lingering_.end());
  auto& lingering = **position;
  lingering.stream.set_handlers({
      .connected = {},
      .data = [](std::string_view) {},
      .half_closed = {},
      .caught_up = {},
      .ended =
          [this, position] {
            if ((*position)->stream.unsent_bytes() == 0) close(position);
          },
      .closed = [this, position] { close(position); },
      .drained =
          [this, position] {
            if ((*position)->stream.ended()) close(position);
          },
  });
  if (!detached.unwritten.empty()) lingering.stream.write(detached.unwritten);
  lingering.stream.finish();
}

void Lingerer::reject(Fd fd, std::string_view message) {
  Stream stream(loop_, std::move(fd), false, kMaxUnwrittenBytes);
  stream.write(message);
  take(stream);
}

void Lingerer::close(Position position) {
  (*position)->stream.close();
  closed_.push_back(std::move(*position));
  lingering_.erase(position);
}

void Lingerer::trim(std::size_t max_lingering) {
  while (lingering_.size() > max_lingering) close(lingering_.begin());
}

void Lingerer::trim_to_capacity(std::size_t open, std::size_t capacity) {
  if (!limited_) return;
  const auto limit = capacity + kMaxBeyondCapacity;
  trim(limit > open ? limit - open : 0);
}

void Lingerer::trim_unsent(std::size_t max_bytes) {
  std::size_t total = 0;
  for (const auto& lingering : lingering_) total += lingering->stream.unsent_bytes();
  for (auto position = lingering_.begin(); total > max_bytes;) {
    const auto unsent = (*position)->stream.unsent_bytes();
    total -= unsent;
    const auto next = std::next(position);
    if (unsent > 0) close(position);
    position = next;
  }
}

void Lingerer::tick(core::Time now) {
  now_ = now;
  while (!lingering_.empty() && lingering_.front()->deadline <= now) close(lingering_.begin());
}

}  // namespace bellstair::net
