#include "link/channel.hpp"

#include <cstring>

namespace bellstair::link {

Channel::Channel(ev::loop_ref loop, net::Fd fd, bool dialling, Limits limits)
    : limits_(limits),
      stream_(loop, std::move(fd), dialling, limits.max_unsent_bytes),
      decoder_(limits.max_message_bytes, limits.max_first_message_bytes) {}

void Channel::handle(Handlers handlers) {
  handlers_ = std::move(handlers);
  stream_.set_handlers({
      .connected =
          [this] {
            if (handlers_.on_connected) handlers_.on_connected();
          },
      .data = [this](std::string_view bytes) { on_data(bytes); },
      .half_closed = {},
      .caught_up = {},
      .ended = [this] { on_end_of_stream(); },
      .closed = [this] { on_connection_failed(); },
      .drained =
          [this] {
            if (handlers_.on_drained) handlers_.on_drained();
          },
  });
}

std::optional<ChannelError> Channel::send(std::string_view body) {
  if (body.size() > limits_.max_message_bytes)
    return ChannelError(ChannelFault::message_too_long,
                        "a message of " + std::to_string(body.size()) + " bytes is too long to send");
  if (stream_.write(encode_frame(body))) return std::nullopt;
  if (stream_.error() != 0) return ChannelError(ChannelFault::io, std::strerror(stream_.error()));
  return ChannelError(ChannelFault::slow_peer,
                      "the peer reads too slowly: the limit of unsent bytes is exceeded");
}

void Channel::on_data(std::string_view bytes) {
  const auto error = decoder_.feed(bytes, [this](std::string_view body) {
    handlers_.on_message(body);
    return stream_.open();  // the handler may have closed the channel
  });
  if (error) fail({ChannelFault::bad_frame, error->what()});
}

void Channel::on_end_of_stream() {
  if (decoder_.is_within_frame()) {
    fail({ChannelFault::closed_within_frame, "the peer closed the connection within a frame"});
  } else {
    fail({ChannelFault::closed_by_peer, "the peer closed the connection"});
  }
}

void Channel::on_connection_failed() {
  fail({ChannelFault::io, stream_.error() != 0 ? std::strerror(stream_.error()) : "the connection failed"});
}

void Channel::fail(const ChannelError& error) {
  stream_.close();
  if (handlers_.on_closed) handlers_.on_closed(error);
}

}  // namespace bellstair::link
