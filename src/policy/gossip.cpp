#include "policy/gossip.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>

namespace bellstair::policy {
namespace {
constexpr Time kSendInterval = std::chrono::milliseconds(200);
constexpr unsigned kMaxBrokersForBroadcast = 10;
constexpr double kBytesPerRequest = 250;      // of reports
constexpr double kMaxBudgetRequests = 4;      // requests whose bytes may be saved up
constexpr double kDatagramHeaderBytes = 28;   // IP and UDP
constexpr std::size_t kMaxLatencyRatios = 3;  // in one message
constexpr unsigned kMaxReportAge = 255;       // ticks
constexpr double kMinRate = 0.2;              // 1/s, of messages; the inverse of the seconds that one covers
constexpr double kMinSeconds = 1e-3;
constexpr unsigned kRateScale = 16;  // of GossipPayload::rate, per 1/s
constexpr unsigned kLoadScale = 32;  // of GossipEntry::value, per thread a core or latency ratio of 1
}  // namespace

void Gossip::record_request() {
  budget_bytes_ = std::min(budget_bytes_ + kBytesPerRequest, kMaxBudgetRequests * kBytesPerRequest);
}

void Gossip::advance(double elapsed_seconds) {
  unsent_thread_seconds_ += classes_.running_threads() * elapsed_seconds;
  unsent_seconds_ += elapsed_seconds;
}

void Gossip::send() {
  const auto& settings = context_.settings;
  if (!settings.may_gossip || settings.brokers < 2 || context_.now < sent_at_ + kSendInterval) return;
  sent_at_ = context_.now;
  settings.brokers > kMaxBrokersForBroadcast ? send_reports() : send_own_threads();
}

void Gossip::send_own_threads() const {
  GossipPayload payload;
  for (const auto id : fleet_.busy()) payload.entries.push_back({id, fleet_.at(id).threads, 0});
  context_.emit(SendGossip{std::nullopt, encode_gossip(payload)});
}

void Gossip::send_reports() {
  GossipPayload payload = report_payload();
  const auto size = kDatagramHeaderBytes + static_cast<double>(encode_gossip(payload).size());
  const double count = std::floor(budget_bytes_ / size);
  if (count < 1) return;
  // Messages are more frequent in busy times. Each one states the time that it covers, which is shorter if
  // more are sent at once, so that busy times do not count more in the receivers' averages.
  payload.rate = static_cast<unsigned>(kRateScale * count * size / kBytesPerRequest /
                                       std::max(kMinSeconds, unsent_seconds_));
  const auto bytes = encode_gossip(payload);
  unsent_thread_seconds_ = 0;
  unsent_seconds_ = 0;
  const auto& settings = context_.settings;
  for (; budget_bytes_ >= size; budget_bytes_ -= size) {
    const auto other = static_cast<std::uint32_t>(context_.random() % (settings.brokers - 1));
    context_.emit(SendGossip{other < settings.broker_index ? other : other + 1, bytes});
  }
}

GossipPayload Gossip::report_payload() {
  GossipPayload payload;
  payload.has_reports = true;
  // Messages are sent after arrivals, when more threads run than on average. The message therefore has the
  // mean since the last ones, rounded at random.
  const double mean_threads = unsent_thread_seconds_ / std::max(kMinSeconds, unsent_seconds_);
  payload.mean_threads = static_cast<unsigned>(mean_threads + context_.uniform());
  const std::size_t limit = load_.uses_reports() ? kMaxRecentReports : kMaxLatencyRatios;
  for (const auto& [at, engine] : load_.recent_reports()) {
    const auto age = static_cast<unsigned>((context_.now - at) / kTickInterval);
    const double load = load_.uses_reports() ? (engine->other_brokers_threads + engine->threads) /
                                                   cores_of(context_.settings, *engine)
                                             : engine->last_latency_ratio;
    if (payload.entries.size() >= limit || age >= kMaxReportAge || engine->reported_at != at) continue;
    payload.entries.push_back({engine->endpoint.engine, static_cast<unsigned>(load * kLoadScale), age});
  }
  return payload;
}

void Gossip::receive(const GossipMessage& message) {
  const auto payload = decode_gossip(message.bytes);
  if (!payload) return;
  if (payload->has_reports) return receive_reports(*payload);
  std::map<EngineId, unsigned> threads;
  for (const auto& entry : payload->entries) threads[entry.engine] = entry.value;
  load_.record_peer_threads(message.from, std::move(threads));
}

void Gossip::receive_reports(const GossipPayload& payload) {
  const double rate = payload.rate / static_cast<double>(kRateScale);
  load_.record_peer_mean(payload.mean_threads, 1 / std::max(kMinRate, rate));
  for (const auto& entry : payload.entries) receive_report(entry);
}

void Gossip::receive_report(const GossipEntry& entry) {
  Engine* engine = fleet_.find(entry.engine);
  const Time reported_at = context_.now - entry.age * kTickInterval;
  if (engine == nullptr || !engine->ready) return;
  if (load_.uses_reports() && reported_at <= engine->reported_at) return;
  // The message does not contain the time at which the peer sent the request that the engine answered.
  engine->record_alive(reported_at, reported_at - StartTracker::kMaxTransitTime);
  const double load = entry.value / static_cast<double>(kLoadScale);
  if (load_.uses_reports()) {
    load_.record_engine_threads(*engine, load * cores_of(context_.settings, *engine), reported_at);
  } else {
    LatencyMonitor::record_engine_ratio(*engine, load);
  }
}

}  // namespace bellstair::policy
