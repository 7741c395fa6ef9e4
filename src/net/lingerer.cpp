#include "net/lingerer.hpp"

#include <utility>

namespace bellstair::net {

void Lingerer::take(Stream& stream) {
  auto rest = stream.release();
  if (!rest.fd) return;
  leaving_.push_back(std::make_unique<Leaving>(loop_, std::move(rest.fd), now_ + kLinger));
  const auto place = std::prev(leaving_.end());
  auto& leaving = **place;
  leaving.stream.handle({
      .connected = {},
      .data = [](std::string_view) {},
      .ended =
          [this, place] {
            if ((*place)->stream.unwritten() == 0) close(place);
          },
      .closed = [this, place] { close(place); },
      .drained =
          [this, place] {
            if ((*place)->stream.ended()) close(place);
          },
  });
  if (!rest.unwritten.empty()) leaving.stream.write(rest.unwritten);
  leaving.stream.finish();
}

void Lingerer::close(Place place) {
  (*place)->stream.close();
  gone_.push_back(std::move(*place));
  leaving_.erase(place);
}

void Lingerer::trim(std::size_t most) {
  while (leaving_.size() > most) close(leaving_.begin());
}

void Lingerer::tick(core::Time now) {
  now_ = now;
  while (!leaving_.empty() && leaving_.front()->until <= now) close(leaving_.begin());
}

}  // namespace bellstair::net
