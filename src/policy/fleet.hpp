// The engines of the endpoint list, and totals over them.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "policy/context.hpp"
#include "policy/engine_state.hpp"
#include "policy/slow_start.hpp"

namespace bellstair::policy {

/// Threads in the pool for each core of an engine: close to the engine's peak throughput for usual mixes.
inline constexpr double kPoolThreadsPerCore = 2.0;

/// Owns all engines that are listed, or that have left the list while attempts are in flight.
class Fleet {
 public:
  Fleet(const Context& context, const SlowStart& slow_start);

  void apply(const EndpointList& list);

  /// Records that an engine's health has changed, so that refresh() is due.
  void mark_changed() { changed_ = true; }
  [[nodiscard]] bool changed() const { return changed_; }

  /// Removes engines for which is_removable() holds and recomputes the totals. Pointers to the removed
  /// engines become invalid.
  void refresh();
  /// Recomputes warm_cores(), which grows while engines warm up.
  void update_warm_cores();

  void begin_attempt(Engine& engine, AttemptKey attempt, unsigned threads);
  void end_attempt(Engine& engine, AttemptKey attempt, unsigned threads);

  [[nodiscard]] Engine* find(EngineId id);  // nullptr: not known
  [[nodiscard]] const Engine* find(EngineId id) const;
  [[nodiscard]] Engine& at(EngineId id) { return engines_.at(id); }

  /// Engines that the list allows sending queries to, ordered by id.
  [[nodiscard]] const std::vector<Engine*>& ready() const { return ready_; }
  /// Engines with an attempt of this broker in flight.
  [[nodiscard]] const std::set<EngineId>& busy() const { return busy_; }
  /// This broker's share of the threads of all engines that are not ejected.
  [[nodiscard]] double thread_pool() const { return thread_pool_; }
  /// Cores of all ready engines, each engine scaled by its present slow start capacity.
  [[nodiscard]] double warm_cores() const { return warm_cores_; }
  /// Whether this broker's pool holds too few queries for thread budgets to separate the classes.
  [[nodiscard]] bool has_small_pool() const { return small_pool_; }

 private:
  static void reset_for_restart(Engine& engine, Time started_at);

  const Context& context_;
  const SlowStart& slow_start_;
  std::map<EngineId, Engine> engines_;
  std::vector<Engine*> ready_;
  std::set<EngineId> busy_;
  unsigned widest_query_ = 1;  // threads
  double thread_pool_ = 0;
  double warm_cores_ = 0;
  bool small_pool_ = false;
  bool changed_ = false;
};

}  // namespace bellstair::policy
