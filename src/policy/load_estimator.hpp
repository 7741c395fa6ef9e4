// Estimates of how many threads run at an engine and in the fleet, from reports of load, from gossip and from
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

/// Older reports say nothing about an engine.
inline constexpr Time kReportLifetime = std::chrono::milliseconds(2500);
/// Newest reports that are kept; of a larger fleet, also the engines that are compared at a choice.
inline constexpr std::size_t kMaxRecentReports = 12;

/// Whether reports have a field that tells the threads running at an engine.
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

  /// Takes a report of the fields Settings::load_report_fields, of an answer or a health check.
  void record_report(Engine& engine, const std::vector<double>& report);
  /// All threads running at an engine at `at`, as a report tells them.
  void record_engine_threads(Engine& engine, double threads, Time at);
  /// As above, but with no weight in the fleet's level.
  void record_engine_threads_only(Engine& engine, double threads, Time at);
  /// This broker has learned of the engine at `at` what it may pass on.
  void record_recent(Engine& engine, Time at);

  /// Threads of another broker, by engine.
  void record_peer_threads(std::uint32_t broker, std::map<EngineId, unsigned> threads);
  /// Mean threads of another broker over `interval_seconds`.
  void record_peer_mean(double threads, double interval_seconds);

  /// Time passes, with this broker's threads as they are.
  void advance(double elapsed_seconds);
  /// Forgets engines that are about to be removed.
  void erase_removable();

  /// Threads a core over the fleet; below 0: not known.
  [[nodiscard]] double level() const;
  /// Threads of all brokers at an engine; nothing if nothing is known. Without a recent word of its own an
  /// engine is taken to be like the others, never as idle: all brokers would choose those they know least of.
  [[nodiscard]] std::optional<double> engine_threads(const Engine& engine) const;
  /// How far an engine's report is believed where it differs from the fleet's level, 0 to 1.
  [[nodiscard]] double report_confidence() const;
  [[nodiscard]] bool uses_reports() const { return uses_reports_; }
  /// The newest first.
  [[nodiscard]] const std::deque<Report>& recent_reports() const { return recent_reports_; }

 private:
  struct PeerThreads {
    Time at{};
    std::map<EngineId, unsigned> by_engine;
  };

  [[nodiscard]] bool hears_peers() const { return peer_level_ >= 0; }
  [[nodiscard]] std::optional<double> threads_of_peers(const Engine& engine) const;
  [[nodiscard]] double own_load_swing() const;
  void record_scatter(const Engine& engine, double threads);

  const Context& context_;
  const Fleet& fleet_;
  const SlowStart& slow_start_;
  const ClassTable& classes_;
  const bool uses_reports_;
  double threads_per_query_ = 0;  // mean over the classes

  std::deque<Report> recent_reports_;
  std::map<std::uint32_t, PeerThreads> peer_threads_;

  double reported_level_ = -1;  // threads a core, moving average over reports; -1: none came
  Time reported_level_at_{};
  double report_scatter_ = 1;  // variance of the queries at an engine over their mean, in reports

  double peer_level_ = -1;  // threads a core, from other brokers' messages; -1: not known
  unsigned peer_messages_ = 0;
  Time peer_message_at_{};
  double peer_interval_sum_ = 0;  // s, decaying
  double peer_threads_sum_ = 0;   // thread-seconds, decaying

  // This broker's threads.
  double own_threads_slow_ = 0;     // moving average
  double own_threads_fast_ = 0;     // moving average
  double own_threads_at_peer_ = 0;  // the fast one at the last message of a peer
};

}  // namespace bellstair::policy
