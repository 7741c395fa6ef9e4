// A stream of framed messages on the event loop, bounded both ways. What messages say, and when a silent peer
// counts as gone, is its owner's business.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "common/error.hpp"
#include "link/frame.hpp"
#include "net/stream.hpp"

namespace bellstair::link {

// Why a channel has ended.
enum class ChannelFault {
  closed_by_peer,
  closed_within_frame,  // by the peer
  bad_frame,
  message_too_long,  // to be sent
  slow_peer,         // does not read what it is sent
  io,                // of the connection, or of making it
};
using ChannelError = CodedError<ChannelFault>;

struct Limits {
  std::size_t max_message_bytes = 0;        // of a body, either way
  std::size_t max_first_message_bytes = 0;  // of the first one that comes
  std::size_t max_unsent_bytes = 0;         // queued, and not taken by the system; more breaks the channel
};

class Channel {
 public:
  // All are called from the event loop.
  struct Handlers {
    std::function<void()> on_connected;  // once, of a channel that dials
    std::function<void(std::string_view body)> on_message;
    std::function<void(const ChannelError& error)> on_closed;  // once, unless close() was called
    std::function<void()> on_drained;                          // what had to wait has left
  };

  // The channel must outlive its handlers: the owner frees it in a later turn of the loop.
  Channel(ev::loop_ref loop, net::Fd fd, bool dialling, Limits limits);

  void handle(Handlers handlers);
  // With an error the message is lost, and the owner closes the channel.
  [[nodiscard]] std::optional<ChannelError> send(std::string_view body);
  void close() { stream_.close(); }  // at once; no handler is called any more
  [[nodiscard]] bool is_open() const { return stream_.open(); }
  [[nodiscard]] bool is_dialling() const { return stream_.connecting(); }
  [[nodiscard]] std::size_t unsent_bytes() const { return stream_.unsent_bytes(); }
  [[nodiscard]] net::Stream& stream() { return stream_; }  // for a net::Lingerer

 private:
  void on_data(std::string_view bytes);
  void on_end_of_stream();
  void on_broken();
  void fail(const ChannelError& error);

  Limits limits_;
  net::Stream stream_;
  FrameDecoder decoder_;
  Handlers handlers_;
};

}  // namespace bellstair::link
