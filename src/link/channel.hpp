// A stream of framed messages on the event loop, with limits in both directions. Its owner interprets the
// messages and times out peers that send nothing.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "common/error.hpp"
#include "link/frame.hpp"
#include "net/stream.hpp"

namespace bellstair::link {

// Why a channel was closed.
enum class ChannelFault {
  closed_by_peer,
  closed_within_frame,  // by the peer, after a part of a frame
  bad_frame,
  message_too_long,  // the owner tried to send a message above the limit
  slow_peer,         // the unsent bytes exceed their limit
  io,                // the connection failed or could not be made
};
using ChannelError = CodedError<ChannelFault>;

struct Limits {
  std::size_t max_message_bytes = 0;        // limit of a body, sent or received
  std::size_t max_first_message_bytes = 0;  // limit of the first body received
  std::size_t max_unsent_bytes = 0;         // limit of bytes queued here; beyond it, send() fails
};

class Channel {
 public:
  // All handlers are called from the event loop.
  struct Handlers {
    std::function<void()> on_connected;  // called once, on a channel that dials
    std::function<void(std::string_view body)> on_message;
    std::function<void(const ChannelError& error)> on_closed;  // called once, unless close() was called
    std::function<void()> on_drained;                          // queued bytes have been written completely
  };

  // The channel must outlive the handler that is running: the owner frees it in a later iteration of
  // the event loop.
  Channel(ev::loop_ref loop, net::Fd fd, bool dialling, Limits limits);

  void handle(Handlers handlers);
  // After an error the message is lost, and the owner must close the channel.
  [[nodiscard]] std::optional<ChannelError> send(std::string_view body);
  void close() { stream_.close(); }  // immediately; no handler is called afterwards
  [[nodiscard]] bool is_open() const { return stream_.open(); }
  [[nodiscard]] bool is_dialling() const { return stream_.connecting(); }
  [[nodiscard]] std::size_t unsent_bytes() const { return stream_.unsent_bytes(); }
  [[nodiscard]] net::Stream& stream() { return stream_; }  // for a net::Lingerer

 private:
  void on_data(std::string_view bytes);
  void on_end_of_stream();
  void on_connection_failed();
  void fail(const ChannelError& error);

  Limits limits_;
  net::Stream stream_;
  FrameDecoder decoder_;
  Handlers handlers_;
};

}  // namespace bellstair::link
