// The engines of the endpoint list, and what is summed over them.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "policy/context.hpp"
#include "policy/engine_state.hpp"
#include "policy/slow_start.hpp"

namespace bellstair::policy {

/// Of the thread pool, for each core of an engine: near the peak of its throughput for usual mixes.
inline constexpr double kPoolThreadsPerCore = 2.0;

/// All engines that are listed, or that have left the list with attempts in flight.
class Fleet {
 public:
  Fleet(const Context& context, const SlowStart& slow_start);

  void apply(const EndpointList& list);

  /// An engine's health has changed: refresh() is due.
  void mark_changed() { changed_ = true; }
  [[nodiscard]] bool changed() const { return changed_; }

  /// Removes engines that are removable (is_removable) and sums anew. Pointers to those become invalid.
  void refresh();
  /// Sums the cores anew: engines warm up with time.
  void update_warm_cores();

  void begin_attempt(Engine& engine, AttemptKey attempt, unsigned threads);
  void end_attempt(Engine& engine, AttemptKey attempt, unsigned threads);

  [[nodiscard]] Engine* find(EngineId id);  // nullptr: not known
  [[nodiscard]] const Engine* find(EngineId id) const;
  [[nodiscard]] Engine& at(EngineId id) { return engines_.at(id); }

  /// Engines that may be sent queries by the list, in the order of their ids.
  [[nodiscard]] const std::vector<Engine*>& ready() const { return ready_; }
  /// Engines with an attempt of this broker in flight.
  [[nodiscard]] const std::set<EngineId>& busy() const { return busy_; }
  /// This broker's share of the threads of all engines that are not ejected.
  [[nodiscard]] double thread_pool() const { return thread_pool_; }
  /// Cores of all ready engines, each by what it can do now.
  [[nodiscard]] double warm_cores() const { return warm_cores_; }
  /// Whether this broker's pool holds so few queries that budgets can't keep classes apart.
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
