#include "simulator/batch_reader.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "simulator/byte_reader.hpp"
#include "simulator/settings_json.hpp"

namespace bellstair::simulator {
using namespace policy;
namespace {

constexpr std::size_t kEndpointBytes = 23;
constexpr std::size_t kStreamBegunBytes = 4 + 8 + 4 + 2;
constexpr double kMaxDataGroup = 1e9;
constexpr unsigned kHasEstimatedWork = 1, kIsClientRetry = 2;  // flags of an arrival

AttemptResult take_result(ByteReader& in) {
  const auto code = in.take<std::uint16_t>();
  switch (static_cast<ResultCode>(code)) {
    case ResultCode::served:
      return AttemptResult::served;
    case ResultCode::error:
      return AttemptResult::error;
    case ResultCode::rejected:
      return AttemptResult::rejected;
    case ResultCode::timed_out:
      return AttemptResult::timed_out;
    case ResultCode::connect_failed:
      return AttemptResult::connect_failed;
    case ResultCode::reset:
      return AttemptResult::reset;
    case ResultCode::cancelled:
      return AttemptResult::cancelled;
    case ResultCode::not_started:
      return AttemptResult::not_started;
  }
  throw FrameError("frame: unknown attempt result " + std::to_string(code));
}

std::vector<double> take_load_report(ByteReader& in) {
  const auto count = in.take<std::uint8_t>();
  std::vector<double> values;
  values.reserve(count);
  for (unsigned i = 0; i < count; ++i) values.push_back(in.take_float());
  return values;
}

EngineState take_engine_state(ByteReader& in) {
  const auto code = in.take<std::uint8_t>();
  switch (static_cast<EngineStateCode>(code)) {
    case EngineStateCode::draining:
      return EngineState::draining;
    case EngineStateCode::ready:
      return EngineState::ready;
    case EngineStateCode::gone:
      return EngineState::gone;
  }
  throw FrameError("frame: unknown engine state " + std::to_string(code));
}

Endpoint take_endpoint(ByteReader& in) {
  Endpoint endpoint;
  endpoint.engine = in.take<std::uint32_t>();
  endpoint.zone = in.take<std::uint16_t>();
  endpoint.kind = in.take<std::uint16_t>();
  endpoint.cell = in.take<std::uint16_t>();
  endpoint.state = take_engine_state(in);
  endpoint.weight = in.take_float();
  endpoint.started_at = in.take_time();
  return endpoint;
}

RequestArrival take_arrival(ByteReader& in) {
  RequestArrival arrival;
  arrival.request = in.take<std::uint32_t>();
  arrival.cls = in.take<std::uint16_t>();
  arrival.tenant = in.take<std::uint32_t>();
  arrival.ordering_key = in.take<std::uint64_t>();
  arrival.time_left = in.take_time();
  const Time work = in.take_time();
  arrival.estimated_memory_mb = in.take_float();
  const double group = in.take_float();
  arrival.data_group = group >= 0 && group < kMaxDataGroup ? static_cast<std::int64_t>(group) : 0;
  const auto flags = in.take<std::uint8_t>();
  if ((flags & kHasEstimatedWork) != 0) arrival.estimated_work = work;
  arrival.is_client_retry = (flags & kIsClientRetry) != 0;
  return arrival;
}

AttemptOutcome take_outcome(ByteReader& in) {
  AttemptOutcome outcome;
  outcome.request = in.take<std::uint32_t>();
  outcome.attempt = in.take<std::uint16_t>();
  outcome.engine = in.take<std::uint32_t>();
  outcome.result = take_result(in);
  outcome.latency = in.take_time();
  outcome.request_closed = in.take<std::uint8_t>() != 0;
  // The cost: work in milliseconds in the upper 20 bits, memory in units of 4 MB in the lower 12 bits.
  const auto cost = in.take<std::uint32_t>();
  if (cost != 0) {
    outcome.work = std::chrono::milliseconds(cost / 4096);
    outcome.memory_mb = 4.0 * (cost % 4096);
  }
  outcome.load_report = take_load_report(in);
  return outcome;
}

ProgressKind take_progress_kind(ByteReader& in) {
  const auto code = in.take<std::uint8_t>();
  switch (static_cast<ProgressCode>(code)) {
    case ProgressCode::progress:
      return ProgressKind::progress;
    case ProgressCode::spill:
      return ProgressKind::spill;
    case ProgressCode::waiting:
      return ProgressKind::waiting;
  }
  throw FrameError("frame: unknown kind of progress " + std::to_string(code));
}

AttemptProgress take_progress(ByteReader& in) {
  AttemptProgress progress;
  progress.request = in.take<std::uint32_t>();
  progress.kind = take_progress_kind(in);
  progress.amount = in.take_float();
  progress.engine = in.take<std::uint32_t>();
  progress.attempt = in.take<std::uint16_t>();
  return progress;
}

HealthCheckResult take_health_check(ByteReader& in) {
  HealthCheckResult check;
  check.result = take_result(in);
  check.engine = in.take<std::uint32_t>();
  check.latency = in.take_time();
  check.load = take_load_report(in);
  return check;
}

StartInstance take_start(ByteReader& in) {
  StartInstance start;
  start.seed = in.take<std::uint64_t>();
  start.settings = parse_settings(in.take_text(in.take<std::uint32_t>()));
  return start;
}

TimerFired take_timer(ByteReader& in) {
  in.take<std::uint32_t>();  // the timer's number, unused
  return {};
}

GossipMessage take_gossip(ByteReader& in) {
  const auto from = in.take<std::uint32_t>();
  return {from, in.take_text(in.take<std::uint16_t>())};
}

}  // namespace

std::size_t frame_length(std::span<const std::uint8_t> first_bytes) {
  const std::size_t length = ByteReader(first_bytes).take<std::uint32_t>();
  if (length < kBatchHeaderBytes || length > kMaxFrameBytes)
    throw FrameError("frame: length " + std::to_string(length) + " is out of range");
  return length;
}

Batch BatchReader::read(std::span<const std::uint8_t> frame) {
  if (frame_length(frame) != frame.size()) throw FrameError("frame: truncated");
  ByteReader in(frame);
  in.take<std::uint32_t>();
  const auto count = in.take<std::uint32_t>();
  Batch batch;
  batch.now = in.take_time();
  batch.sequence = in.take<std::uint32_t>();
  batch.records.reserve(std::min<std::size_t>(count, in.left()));
  instance_.reset();
  for (std::uint32_t i = 0; i < count; ++i) {
    auto content = read_record(in);
    if (!content) continue;
    if (!instance_) throw FrameError("frame: an event precedes the first instance record");
    batch.records.push_back({*instance_, std::move(*content)});
  }
  if (in.left() != 0) throw FrameError("frame: bytes after the last record");
  return batch;
}

std::optional<RecordContent> BatchReader::read_record(ByteReader& in) {
  const auto code = in.take<std::uint8_t>();
  switch (static_cast<RecordCode>(code)) {
    case RecordCode::instance:
      instance_ = in.take<std::uint32_t>();
      return std::nullopt;
    case RecordCode::numbered_list:
      read_numbered_list(in);
      return std::nullopt;
    case RecordCode::stream_begun:  // skipped, since no class uses streaming
      in.take_span(kStreamBegunBytes);
      return std::nullopt;
    case RecordCode::start:
      return take_start(in);
    case RecordCode::stop:
      return StopInstance{};
    case RecordCode::endpoint_list:
      return Event(read_endpoint_list(in));
    case RecordCode::request_arrival:
      return Event(take_arrival(in));
    case RecordCode::attempt_outcome:
      return Event(take_outcome(in));
    case RecordCode::request_cancelled:
      return Event(RequestCancelled{in.take<std::uint32_t>()});
    case RecordCode::timer_fired:
      return Event(take_timer(in));
    case RecordCode::health_check_result:
      return Event(take_health_check(in));
    case RecordCode::gossip:
      return Event(take_gossip(in));
    case RecordCode::attempt_progress:
      return Event(take_progress(in));
  }
  throw FrameError("frame: unknown event code " + std::to_string(code));
}

void BatchReader::read_numbered_list(ByteReader& in) {
  const auto number = in.take<std::uint32_t>();
  const auto rows = in.take<std::uint32_t>();
  if (number >= lists_.size()) throw FrameError("frame: unknown list number " + std::to_string(number));
  if (rows > in.left() / kEndpointBytes) throw FrameError("frame: a list extends past the end of its frame");
  Endpoints list;
  list.reserve(rows);
  for (std::uint32_t row = 0; row < rows; ++row) list.push_back(take_endpoint(in));
  lists_[number] = std::move(list);
}

EndpointList BatchReader::read_endpoint_list(ByteReader& in) const {
  const auto mode = in.take<std::uint8_t>();
  const auto number = in.take<std::uint32_t>();
  in.take<std::uint32_t>();  // the list's version, unused
  if (mode > static_cast<std::uint8_t>(EndpointListKind::failed))
    throw FrameError("frame: unknown list mode " + std::to_string(mode));
  EndpointList list{static_cast<EndpointListKind>(mode), {}};
  if (list.kind == EndpointListKind::failed) return list;
  if (number >= lists_.size() || !lists_[number])
    throw FrameError("frame: unknown list number " + std::to_string(number));
  list.endpoints = *lists_[number];
  return list;
}

}  // namespace bellstair::simulator
