#include "platform/gossip_socket.hpp"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "log/log.hpp"

namespace bellstair::platform {
namespace {
constexpr std::size_t kMaxDatagramBytes = 256;  // limit of the gossip protocol
constexpr int kMaxDatagramsPerQuantum = 16;

std::uint64_t address_key(const sockaddr_in& address) {
  return std::uint64_t{address.sin_addr.s_addr} << 16 | address.sin_port;
}
}  // namespace

GossipSocket::GossipSocket(ev::loop_ref loop, const config::Config& config, net::EventSink emit)
    : io_(loop),
      all_peers_address_(net::parse_address(config.peers_all)),
      own_index_(config.settings.broker_index),
      emit_(std::move(emit)) {
  for (const auto& peer : config.peers) {
    const auto address = net::parse_address(peer);
    if (address && peers_.size() != own_index_)
      index_by_address_.try_emplace(address_key(*address), static_cast<std::uint32_t>(peers_.size()));
    peers_.push_back(address.value_or(sockaddr_in{}));
  }
  const auto listen_address = net::parse_address(config.peer_listen);
  if (!listen_address) return;
  fd_ = net::bind_udp(*listen_address);
  if (!fd_) {
    log::write(log::Level::error,
               "bellstair: peer_listen: cannot bind " + config.peer_listen + ": " + std::strerror(errno));
    return;
  }
  io_.set<GossipSocket, &GossipSocket::read>(this);
  io_.watch(fd_.get(), ev::READ);
}

void GossipSocket::run(const core::SendGossip& effect) {
  if (!fd_ || effect.bytes.size() > kMaxDatagramBytes) return;
  if (!effect.to) {
    if (all_peers_address_) send(*all_peers_address_, effect.bytes);
  } else if (*effect.to < peers_.size() && *effect.to != own_index_) {
    send(peers_[*effect.to], effect.bytes);
  }
}

void GossipSocket::send(const sockaddr_in& to, const std::string& bytes) {
  ::sendto(fd_.get(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
           reinterpret_cast<const sockaddr*>(&to), sizeof to);
}

net::InputSource::Quantum GossipSocket::read() {
  using Quantum = net::InputSource::Quantum;
  std::array<char, kMaxDatagramBytes + 1> buffer{};
  for (int i = 0; i < kMaxDatagramsPerQuantum; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const auto received = ::recvfrom(fd_.get(), buffer.data(), buffer.size(), MSG_DONTWAIT,
                                     reinterpret_cast<sockaddr*>(&from), &size);
    if (received < 0) {
      // The event loop would report a persistent error in every iteration.
      if (errno != EAGAIN && errno != EINTR) io_.pause();
      return Quantum::drained;
    }
    on_datagram(from, {buffer.data(), static_cast<std::size_t>(received)});
  }
  return Quantum::has_more;
}

void GossipSocket::on_datagram(const sockaddr_in& from, std::string_view bytes) {
  if (bytes.size() > kMaxDatagramBytes) return;
  const auto sender = index_by_address_.find(address_key(from));
  if (sender == index_by_address_.end()) return;
  emit_(core::GossipReceived{sender->second, std::string(bytes)});
}

}  // namespace bellstair::platform
