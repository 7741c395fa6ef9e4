#include "platform/peers.hpp"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "log/log.hpp"

namespace bellstair::platform {
namespace {
constexpr std::size_t kMaxBytes = 256;  // a longer datagram voids all

std::uint64_t place(const sockaddr_in& at) { return std::uint64_t{at.sin_addr.s_addr} << 16 | at.sin_port; }
}  // namespace

Peers::Peers(ev::loop_ref loop, const config::Config& config, Post post)
    : io_(loop),
      all_(net::parse_address(config.peers_all)),
      me_(config.settings.broker_index),
      post_(std::move(post)) {
  for (const auto& peer : config.peers) {
    const auto at = net::parse_address(peer);
    if (at && peers_.size() != me_)
      numbers_.try_emplace(place(*at), static_cast<std::uint32_t>(peers_.size()));
    peers_.push_back(at.value_or(sockaddr_in{}));
  }
  const auto at = net::parse_address(config.peer_listen);
  if (!at) return;
  fd_ = net::bind_udp(*at);
  if (!fd_) {
    log::write(log::Level::error,
               "bellstair: peer_listen: " + config.peer_listen + ": " + std::strerror(errno));
    return;
  }
  io_.set<Peers, &Peers::on_io>(this);
  io_.watch(fd_.get(), ev::READ);
}

void Peers::run(const core::SendGossip& effect) {
  if (!fd_ || effect.bytes.size() > kMaxBytes) return;
  const auto send = [&](const sockaddr_in& to) {
    ::sendto(fd_.get(), effect.bytes.data(), effect.bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
             reinterpret_cast<const sockaddr*>(&to), sizeof to);  // lost is lost
  };
  if (!effect.to) {
    if (all_) send(*all_);
  } else if (*effect.to < peers_.size() && *effect.to != me_) {
    send(peers_[*effect.to]);
  }
}

void Peers::on_io(int) {
  std::array<char, kMaxBytes + 1> buffer{};
  for (int i = 0; i < 64; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const auto got = ::recvfrom(fd_.get(), buffer.data(), buffer.size(), MSG_DONTWAIT,
                                reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0) {
      if (errno != EAGAIN && errno != EINTR) io_.pause();  // the loop would report it in each of its turns
      return;
    }
    if (static_cast<std::size_t>(got) > kMaxBytes) continue;
    const auto sender = numbers_.find(place(from));
    if (sender == numbers_.end()) continue;  // a stranger
    post_(core::GossipReceived{sender->second, {buffer.data(), static_cast<std::size_t>(got)}});
  }
}

}  // namespace bellstair::platform
