#include "link/channel.hpp"

#include <cstring>

namespace bellstair::link {

Channel::Channel(ev::loop_ref loop, net::Fd fd, bool dialling, Limits limits)
    : limits_(limits),
      stream_(loop, std::move(fd), dialling, limits.most_unwritten),
      unframer_(limits.most_message, limits.most_first) {}

void Channel::handle(Handlers handlers) {
  handlers_ = std::move(handlers);
  stream_.handle({
      .connected =
          [this] {
            if (handlers_.connected) handlers_.connected();
          },
      .data = [this](std::string_view bytes) { on_data(bytes); },
      .ended = [this] { lose(unframer_.within() ? "the peer has closed within a frame" : kPeerClosed); },
      .closed =
          [this] {
            lose(stream_.error() != 0 ? std::strerror(stream_.error()) : "the connection is broken");
          },
      .drained =
          [this] {
            if (handlers_.drained) handlers_.drained();
          },
  });
}

bool Channel::send(std::string_view body) {
  return body.size() <= limits_.most_message && stream_.write(frame(body));
}

void Channel::on_data(std::string_view bytes) {
  const auto problem = unframer_.feed(bytes, [this](std::string_view body) {
    handlers_.message(body);
    return stream_.open();  // the owner may have closed it
  });
  if (!problem.empty()) lose(problem);
}

void Channel::lose(const std::string& reason) {
  stream_.close();
  if (handlers_.closed) handlers_.closed(reason);
}

}  // namespace bellstair::link
