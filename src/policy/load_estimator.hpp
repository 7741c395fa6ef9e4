// Estimates how many threads run at each engine and in the fleet, from load reports, from gossip and from
// this broker's own attempts.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "policy/class_table.hpp"
#include "policy/context.hpp"
#include "policy/fleet.hpp"
#include "policy/slow_start.hpp"

namespace bellstair::policy {

/// Reports older than this are ignored.
inline constexpr Time kReportLifetime = std::chrono::milliseconds(2500);
/// Number of newest reports that are stored. In a fleet with more engines, a selection compares the engines
/// of these reports.
inline constexpr std::size_t kMaxRecentReports = 12;

/// Whether reports have a field from which the threads running at an engine follow.
bool reports_have_load(const Settings& settings);

/// Estimates threads at engines, and the fleet's load level in threads a core.
class LoadEstimator {
 public:
  struct Report {
    Time at{};
    Engine* engine = nullptr;
  };

  LoadEstimator(const Context& context, const Fleet& fleet, const SlowStart& slow_start,
                const ClassTable& classes);

  /// Records a load report of an answer or a health check, with the fields Settings::load_report_fields.
  void record_report(Engine& engine, const std::vector<double>& report);
  /// Records the threads of all brokers that ran at an engine at `at`, according to a report.
  void record_engine_threads(Engine& engine, double threads, Time at);
  /// As record_engine_threads(), but without an effect on the fleet's level.
  void record_engine_threads_only(Engine& engine, double threads, Time at);
  /// Adds the engine to recent_reports(), with a report or an answer of `at`.
  void add_recent_report(Engine& engine, Time at);

  /// Records the threads of another broker, by engine.
  void record_peer_threads(std::uint32_t broker, std::map<EngineId, unsigned> threads);
  /// Records the mean threads of another broker over `interval_seconds`.
  void record_peer_mean(double threads, double interval_seconds);

  /// Updates the averages of this broker's threads for the elapsed time.
  void advance(double elapsed_seconds);
  /// Erases the reports of engines that are about to be removed.
  void erase_removable();

  /// Threads a core over the fleet; below 0 if not known.
  [[nodiscard]] double level() const;
  /// Threads of all brokers at an engine; nullopt if not known. An engine without a recent report is assumed
  /// to be as loaded as the others, never idle: otherwise all brokers would choose the engines with the least
  /// data.
  [[nodiscard]] std::optional<double> engine_threads(const Engine& engine) const;
  /// Weight, 0 to 1, of the difference between an engine's report and the fleet's level.
  [[nodiscard]] double report_confidence() const;
  [[nodiscard]] bool uses_reports() const { return uses_reports_; }
  /// Ordered from the newest to the oldest.
  [[nodiscard]] const std::deque<Report>& recent_reports() const { return recent_reports_; }

 private:
  struct PeerThreads {
    Time at{};
    std::map<EngineId, unsigned> by_engine;
  };

  [[nodiscard]] bool has_peer_level() const { return peer_level_ >= 0; }
  [[nodiscard]] std::optional<double> threads_of_peers(const Engine& engine) const;
  [[nodiscard]] double own_load_ratio() const;
  void record_dispersion(const Engine& engine, double threads);

  const Context& context_;
  const Fleet& fleet_;
  const SlowStart& slow_start_;
  const ClassTable& classes_;
  const bool uses_reports_;
  double threads_per_query_ = 0;  // mean over the classes

  std::deque<Report> recent_reports_;
  std::map<std::uint32_t, PeerThreads> peer_threads_;

  double reported_level_ = -1;  // threads a core, moving average over reports; -1: no report yet
  Time reported_level_at_{};
  double report_dispersion_ = 1;  // variance over mean of the queries at an engine, in reports

  double peer_level_ = -1;  // threads a core, from other brokers' messages; -1: not known
  unsigned peer_messages_ = 0;
  Time peer_message_at_{};
  double peer_interval_sum_ = 0;  // s, decaying
  double peer_threads_sum_ = 0;   // thread-seconds, decaying

  // This broker's threads.
  double own_threads_slow_ = 0;     // moving average
  double own_threads_fast_ = 0;     // moving average
  double own_threads_at_peer_ = 0;  // the fast average at the last message of a peer
};

}  // namespace bellstair::policy
