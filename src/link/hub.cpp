#include "link/hub.hpp"

#include <cerrno>
#include <cstring>
#include <utility>

namespace bellstair::link {
namespace {
// Descriptors of those that have been told to go and have not gone.
constexpr std::size_t kMaxLeaving = 256;
}  // namespace

Hub::Hub(ev::loop_ref loop, Limits limits, std::size_t most_accepted, Handlers handlers)
    : loop_(loop),
      limits_(limits),
      most_accepted_(most_accepted),
      handlers_(std::move(handlers)),
      lingerer_(loop) {}

void Hub::listen(net::Fd fd) {
  listener_ = std::make_unique<net::Listener>(loop_, std::move(fd),
                                              [this](net::Fd got, net::Time) { accept(std::move(got)); });
}

void Hub::accept(net::Fd fd) {
  if (accepted_ >= most_accepted_) {
    ++turned_away_;
    return;
  }
  auto address = net::peer_address(fd.get());
  const auto id = add(std::move(fd), false);
  channels_.at(id)->accepted = true;
  channels_.at(id)->address = std::move(address);
  ++accepted_;
  handlers_.accepted(id);
}

ChannelId Hub::dial(const std::string& address) {
  const auto at = net::parse_address(address);
  errno = EINVAL;
  auto fd = at ? net::begin_connect(*at) : net::Fd();
  const int error = errno;
  const bool made = static_cast<bool>(fd);
  const auto id = add(std::move(fd), true);
  channels_.at(id)->address = address;
  if (!made) {
    channels_.at(id)->broken = std::strerror(error);
    stirred_.push_back(id);
  }
  return id;
}

ChannelId Hub::add(net::Fd fd, bool dialling) {
  const auto id = ++last_;
  // Whoever is dialled is known by its address; its first message has no bound of its own.
  auto limits = limits_;
  if (dialling) limits.most_first = limits.most_message;
  auto held = std::make_unique<Held>(loop_, std::move(fd), dialling, limits);
  held->channel.handle({
      .connected = [this, id] { handlers_.connected(id); },
      .message = [this, id](std::string_view body) { handlers_.message(id, body); },
      .closed = [this, id](const std::string& reason) { lose(id, reason); },
      .drained =
          [this, id] {
            const auto found = channels_.find(id);
            if (found == channels_.end() || !std::exchange(found->second->sent, false)) return;
            handlers_.drained(id);
          },
  });
  channels_.emplace(id, std::move(held));
  return id;
}

void Hub::send(ChannelId id, std::string_view body) {
  const auto found = channels_.find(id);
  if (found == channels_.end() || found->second->broken) return;
  auto& held = *found->second;
  if (!held.channel.send(body)) {
    held.broken = body.size() > limits_.most_message
                      ? "a message of " + std::to_string(body.size()) + " bytes is too long to send"
                  : held.channel.error() != 0 ? std::strerror(held.channel.error())
                                              : "the peer does not read what it is sent";
    stirred_.push_back(id);
  } else if (!std::exchange(held.sent, true)) {
    stirred_.push_back(id);
  }
}

std::unique_ptr<Hub::Held> Hub::take_out(Channels::iterator found) {
  auto out = std::move(found->second);
  channels_.erase(found);
  if (out->accepted) --accepted_;
  return out;
}

void Hub::finish(ChannelId id) {
  const auto found = channels_.find(id);
  if (found == channels_.end()) return;
  auto held = take_out(found);
  if (!held->broken && held->channel.open() && !held->channel.dialling())
    lingerer_.take(held->channel.stream());
  held->channel.close();
  gone_.push_back(std::move(held));
  lingerer_.trim(kMaxLeaving);
}

void Hub::close(ChannelId id) {
  const auto found = channels_.find(id);
  if (found == channels_.end()) return;
  auto held = take_out(found);
  held->channel.close();
  gone_.push_back(std::move(held));
}

void Hub::lose(ChannelId id, const std::string& reason) {
  const auto found = channels_.find(id);
  if (found == channels_.end()) return;
  const auto address = found->second->address;
  close(id);
  handlers_.closed(id, reason, address);
}

void Hub::settle() {
  while (!stirred_.empty()) {
    for (const auto id : std::exchange(stirred_, {})) {
      const auto found = channels_.find(id);
      if (found == channels_.end()) continue;
      auto& held = *found->second;
      if (held.broken) {
        lose(id, std::string(*held.broken));
      } else if (held.sent && held.channel.unwritten() == 0) {
        held.sent = false;
        handlers_.drained(id);
      }
    }
  }
  gone_.clear();
  lingerer_.settle();
}

void Hub::tick(core::Time now) { lingerer_.tick(now); }

std::size_t Hub::unwritten() const {
  std::size_t out = 0;
  for (const auto& [id, held] : channels_) out += held->channel.unwritten();
  return out;
}

}  // namespace bellstair::link
