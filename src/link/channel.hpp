// A stream of framed messages on the loop: bounded both ways, and cut off with a reason at the first frame
// that is none. What messages say, and how long a silent peer counts as there, is its owner's business.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "link/frame.hpp"
#include "net/stream.hpp"

namespace bellstair::link {

inline constexpr const char* kPeerClosed = "the peer has closed";

struct Limits {
  std::size_t most_message = 0;    // bytes of a body, either way
  std::size_t most_first = 0;      // of the first one that comes
  std::size_t most_unwritten = 0;  // what is sent and has not left; more breaks the channel
};

class Channel {
 public:
  struct Handlers {
    std::function<void()> connected;  // for channels that dial
    std::function<void(std::string_view body)> message;
    std::function<void(const std::string& reason)> closed;  // once, from the loop; also where the peer closes
    std::function<void()> drained;                          // what had to wait has left
  };

  // It outlives the handlers: its owner frees it in a later turn of the loop.
  Channel(ev::loop_ref loop, net::Fd fd, bool dialling, Limits limits);

  void handle(Handlers handlers);
  // False: broken, too long, or the peer reads too slowly. It has lost a message, and its owner closes it.
  [[nodiscard]] bool send(std::string_view body);
  void close() { stream_.close(); }  // at once; no handler is called any more
  [[nodiscard]] bool open() const { return stream_.open(); }
  [[nodiscard]] bool dialling() const { return stream_.dialling(); }
  [[nodiscard]] std::size_t unwritten() const { return stream_.unwritten(); }
  [[nodiscard]] std::size_t held() const { return unframer_.held(); }
  [[nodiscard]] int error() const { return stream_.error(); }  // errno; 0: none
  [[nodiscard]] net::Stream& stream() { return stream_; }      // for a net::Lingerer

 private:
  void on_data(std::string_view bytes);
  void lose(const std::string& reason);

  Limits limits_;
  net::Stream stream_;
  Unframer unframer_;
  Handlers handlers_;
};

}  // namespace bellstair::link
