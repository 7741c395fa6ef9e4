#include "policy/load_estimator.hpp"

#include <algorithm>
#include <cmath>

#include "policy/units.hpp"

namespace bellstair::policy {
namespace {
using namespace std::chrono_literals;

constexpr double kLevelStep = 0.1;                // weight of one report in the fleet's level
constexpr Time kLevelLifetime = 5s;               // after this time without a report, the level is unknown
constexpr double kReportDecaySeconds = 1.5;       // time constant of a report's weight
constexpr double kPeerDecaySeconds = 1.5;         // time constant of a message's weight
constexpr double kOwnThreadsDecaySeconds = 5.0;   // time constant of the slow average
constexpr unsigned kMinPeerMessages = 10;         // needed before a level is computed from them
constexpr double kWarmingUpLevelFraction = 0.5;   // of the fleet's level; slow start fills engines to it
constexpr double kThreadsPerCoreAtFullUse = 1.6;  // threads a core at a reported utilisation of 1
constexpr double kFullUtilisation = 0.95;  // above it, the number of threads does not follow from utilisation
constexpr double kMinReportConfidence = 0.25;  // not 0: slow engines must still be distinguished
constexpr double kExpectedDispersion = 1.5;    // if engines differ only by chance
constexpr double kMaxDispersionOfReport = 30;
constexpr double kDispersionStep = 0.05;  // weight of one report
}  // namespace

bool reports_have_load(const Settings& settings) {
  return std::ranges::any_of(settings.load_report_fields, [](LoadReportField field) {
    return field == LoadReportField::inflight || field == LoadReportField::util;
  });
}

LoadEstimator::LoadEstimator(const Context& context, const Fleet& fleet, const SlowStart& slow_start,
                             const ClassTable& classes)
    : context_(context),
      fleet_(fleet),
      slow_start_(slow_start),
      classes_(classes),
      uses_reports_(reports_have_load(context.settings)) {
  const auto& settings = context.settings.classes;
  for (const auto& cls : settings) threads_per_query_ += cls.threads / static_cast<double>(settings.size());
}

void LoadEstimator::record_report(Engine& engine, const std::vector<double>& report) {
  const auto& fields = context_.settings.load_report_fields;
  if (report.empty() || report.size() > fields.size()) return;
  double in_flight = -1;
  double queued = 0;  // these wait for memory and use no core
  double utilisation = -1;
  for (std::size_t i = 0; i < report.size(); ++i) {
    if (fields[i] == LoadReportField::inflight) in_flight = report[i];
    if (fields[i] == LoadReportField::queue) queued = report[i];
    if (fields[i] == LoadReportField::util) utilisation = report[i];
  }
  const double others = std::max(0.0, in_flight - queued - engine.queries) * threads_per_query_;
  const double by_cores = utilisation * kThreadsPerCoreAtFullUse * cores_of(context_.settings, engine);
  double threads = in_flight >= 0 ? others + engine.threads : by_cores;
  // Queries that wait for memory are in flight but use no core. While cores are idle, utilisation is
  // therefore the better measure.
  if (utilisation >= 0 && utilisation < kFullUtilisation) threads = std::min(threads, by_cores);
  if (threads < 0) return;
  record_engine_threads(engine, threads, std::max(engine.reported_at, context_.now - context_.stall));
}

void LoadEstimator::record_engine_threads(Engine& engine, double threads, Time at) {
  record_engine_threads_only(engine, threads, at);
  const double reported = threads / cores_of(context_.settings, engine);
  const bool known = level() >= 0;
  if (known) record_dispersion(engine, threads);
  reported_level_ = known ? reported_level_ + kLevelStep * (reported - reported_level_) : reported;
  reported_level_at_ = context_.now;
}

void LoadEstimator::record_dispersion(const Engine& engine, double threads) {
  const double engine_cores = cores_of(context_.settings, engine);
  const double expected = std::max(1.0, reported_level_ * engine_cores / threads_per_query_);
  const double dispersion = std::pow(threads / threads_per_query_ - expected, 2) / expected;
  report_dispersion_ += kDispersionStep * (std::min(dispersion, kMaxDispersionOfReport) - report_dispersion_);
}

void LoadEstimator::record_engine_threads_only(Engine& engine, double threads, Time at) {
  engine.other_brokers_threads = std::max(0.0, threads - engine.threads);
  add_recent_report(engine, at);
}

void LoadEstimator::add_recent_report(Engine& engine, Time at) {
  engine.reported_at = at;
  recent_reports_.push_front({at, &engine});
  if (recent_reports_.size() > kMaxRecentReports) recent_reports_.pop_back();
}

void LoadEstimator::record_peer_threads(std::uint32_t broker, std::map<EngineId, unsigned> threads) {
  peer_threads_[broker] = {context_.now, std::move(threads)};
}

void LoadEstimator::record_peer_mean(double threads, double interval_seconds) {
  const double elapsed = to_seconds(context_.now - std::exchange(peer_message_at_, context_.now));
  const double decay = std::exp(-elapsed / kPeerDecaySeconds);
  peer_interval_sum_ = decay * peer_interval_sum_ + interval_seconds;
  peer_threads_sum_ = decay * peer_threads_sum_ + interval_seconds * threads;
  own_threads_at_peer_ = own_threads_fast_;
  if (++peer_messages_ < kMinPeerMessages) return;
  peer_level_ =
      peer_threads_sum_ / peer_interval_sum_ * context_.settings.brokers / std::max(1.0, fleet_.warm_cores());
}

void LoadEstimator::advance(double elapsed_seconds) {
  const double running = classes_.running_threads();
  own_threads_slow_ +=
      std::min(1.0, elapsed_seconds / kOwnThreadsDecaySeconds) * (running - own_threads_slow_);
  own_threads_fast_ += std::min(1.0, elapsed_seconds / kPeerDecaySeconds) * (running - own_threads_fast_);
}

void LoadEstimator::erase_removable() {
  std::erase_if(recent_reports_, [](const Report& report) { return is_removable(*report.engine); });
}

// Since the last message of a peer, the level changes in proportion to this broker's own threads. A mean
// broker's threads are added to both sides of the ratio, since a few threads alone are a poor measure.
double LoadEstimator::level() const {
  if (!has_peer_level()) return context_.now > reported_level_at_ + kLevelLifetime ? -1 : reported_level_;
  const double mean_broker = std::max(1.0, peer_level_ * fleet_.warm_cores() / context_.settings.brokers);
  return peer_level_ * (own_threads_fast_ + mean_broker) / (own_threads_at_peer_ + mean_broker);
}

std::optional<double> LoadEstimator::threads_of_peers(const Engine& engine) const {
  std::optional<double> sum;
  for (const auto& [broker, threads] : peer_threads_) {
    if (context_.now > threads.at + kReportLifetime) continue;
    const auto found = threads.by_engine.find(engine.endpoint.engine);
    sum = sum.value_or(0) + (found == threads.by_engine.end() ? 0 : found->second);
  }
  return sum;
}

std::optional<double> LoadEstimator::engine_threads(const Engine& engine) const {
  if (const auto peers = threads_of_peers(engine)) return *peers + engine.threads;
  const double fleet_level = level();
  const bool reported = uses_reports_ && engine.reported_at > Time::zero() &&
                        context_.now <= engine.reported_at + kReportLifetime;
  const double weight = std::exp(-to_seconds(context_.now - engine.reported_at) / kReportDecaySeconds);
  if (fleet_level < 0) {
    if (!reported) return std::nullopt;
    return weight * engine.other_brokers_threads + engine.threads;
  }
  const double engine_cores = cores_of(context_.settings, engine);
  const double warm_up = slow_start_.is_warming_up(engine) ? kWarmingUpLevelFraction : 1;
  const double expected = warm_up * fleet_level * engine_cores * slow_start_.capacity_fraction(engine);
  double difference = 0;
  if (reported) {
    // A level from peers is the more accurate one; reports then only show how engines differ.
    difference = has_peer_level() ? engine.other_brokers_threads - reported_level_ * engine_cores
                                  : engine.other_brokers_threads + engine.threads - expected;
  }
  return std::max<double>(engine.threads,
                          own_load_ratio() * expected + report_confidence() * weight * difference);
}

// If many brokers act on old reports, they all fill the engines that were idle and avoid the ones that were
// full, so that reports differ by more than chance. Reports of engines that really differ look the same.
double LoadEstimator::report_confidence() const {
  if (has_peer_level()) return kMinReportConfidence;
  if (!fleet_.has_small_pool()) return 1;
  return std::clamp(kExpectedDispersion / report_dispersion_, kMinReportConfidence, 1.0);
}

// Ratio of the fleet's present load to its level, estimated from this broker's own threads.
double LoadEstimator::own_load_ratio() const {
  if (has_peer_level()) return 1;  // their messages are recent
  const double usual = std::max(1.0, own_threads_slow_);
  const double change = (classes_.running_threads() - usual) / usual;
  return 1 + (1 - report_confidence()) * std::clamp(change, -1.0, 1.0);
}

}  // namespace bellstair::policy
