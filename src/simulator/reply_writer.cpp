#include "simulator/reply_writer.hpp"

#include <algorithm>
#include <bit>
#include <concepts>
#include <limits>
#include <string>

#include "simulator/record_codes.hpp"

namespace bellstair::simulator {
using namespace policy;
namespace {

template <std::unsigned_integral T>
void put(std::vector<std::uint8_t>& out, T value) {
  for (std::size_t i = 0; i < sizeof(T); ++i) out.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
}

void put_time(std::vector<std::uint8_t>& out, Time value) {
  put(out, static_cast<std::uint64_t>(std::max<std::int64_t>(0, value.count())));
}

void put_text(std::vector<std::uint8_t>& out, const std::string& text) {
  const auto size = std::min<std::size_t>(text.size(), std::numeric_limits<std::uint16_t>::max());
  put(out, static_cast<std::uint16_t>(size));
  out.insert(out.end(), text.begin(), text.begin() + static_cast<std::ptrdiff_t>(size));
}

// Appends one record.
struct ActionWriter {
  std::vector<std::uint8_t>& out;

  void code(ActionCode value) const { out.push_back(static_cast<std::uint8_t>(value)); }
  void operator()(const SendAttempt& action) const {
    code(ActionCode::send_attempt);
    put(out, action.request);
    put_time(out, action.give_up_at);
    put(out, action.engine);
  }
  void operator()(const CancelAttempt& action) const {
    code(ActionCode::cancel_attempt);
    put(out, action.request);
    put(out, action.attempt);
  }
  void operator()(const Reject& action) const {
    code(ActionCode::reject);
    put(out, action.request);
    put_time(out, action.retry_after);
  }
  void operator()(const Fail& action) const {
    code(ActionCode::fail);
    put(out, action.request);
  }
  void operator()(const AttemptTerms& action) const {
    code(ActionCode::attempt_terms);
    put(out, action.request);
    put(out, std::bit_cast<std::uint32_t>(static_cast<float>(action.memory_mb)));
    put(out, action.priority);
  }
  void operator()(const ScheduleTimer& action) const {
    code(ActionCode::schedule_timer);
    put(out, std::uint32_t{0});  // the timer's number, unused
    put_time(out, action.delay);
  }
  void operator()(const SendHealthCheck& action) const {
    code(ActionCode::health_check);
    put(out, action.engine);
  }
  void operator()(const SendGossip& action) const {
    code(ActionCode::gossip);
    put(out, action.to.value_or(std::numeric_limits<std::uint32_t>::max()));
    put_text(out, action.bytes);
  }
  void operator()(const PollEndpointList& action) const {
    code(ActionCode::poll_endpoint_list);
    put(out, static_cast<std::uint8_t>(action.on ? 1 : 0));
  }
  void operator()(const LogMessage& action) const {
    code(ActionCode::log_message);
    put_text(out, action.text);
  }
};

}  // namespace

void ReplyWriter::instance(std::uint32_t id) {
  body_.push_back(static_cast<std::uint8_t>(ActionCode::instance));
  put(body_, id);
  ++records_;
}

void ReplyWriter::action(const Action& action) {
  std::visit(ActionWriter{body_}, action);
  ++records_;
}

std::vector<std::uint8_t> ReplyWriter::finish(std::uint32_t sequence) {
  const auto length = kReplyHeaderBytes + body_.size();
  std::vector<std::uint8_t> frame;
  frame.reserve(length);
  put(frame, static_cast<std::uint32_t>(length));
  put(frame, records_);
  put(frame, sequence);
  frame.insert(frame.end(), body_.begin(), body_.end());
  return frame;
}

}  // namespace bellstair::simulator
