#include "policy/fleet.hpp"

#include <algorithm>

namespace bellstair::policy {
namespace {
constexpr double kSmallPoolQueries = 4;  // queries of the class with the most threads
}  // namespace

Fleet::Fleet(const Context& context, const SlowStart& slow_start)
    : context_(context), slow_start_(slow_start) {
  for (const auto& cls : context.settings.classes) widest_query_ = std::max(widest_query_, cls.threads);
}

void Fleet::apply(const EndpointList& list) {
  if (list.kind == EndpointListKind::full || list.kind == EndpointListKind::cached) {
    for (auto& [id, engine] : engines_) engine.ready = false;
  }
  for (const auto& endpoint : list.endpoints) {
    auto& engine = engines_[endpoint.engine];
    if (endpoint.started_at > engine.endpoint.started_at) reset_for_restart(engine, endpoint.started_at);
    engine.endpoint = endpoint;
    engine.ready = endpoint.state == EngineState::ready && endpoint.kind < context_.settings.kinds.size();
  }
  changed_ = true;
}

void Fleet::reset_for_restart(Engine& engine, Time started_at) {
  engine.start.confirm(started_at);
  engine.last_reset_at = Time::zero();
  engine.health = Health::healthy;
  engine.error_rate = 0;
  engine.latency_ratio = 1;
  engine.ejection_duration = Time::zero();
}

void Fleet::refresh() {
  changed_ = false;
  ready_.clear();
  thread_pool_ = 0;
  std::erase_if(engines_, [](const auto& entry) { return is_removable(entry.second); });
  for (auto& [id, engine] : engines_) {
    if (!engine.ready) continue;
    ready_.push_back(&engine);
    if (engine.health == Health::ejected) continue;
    thread_pool_ += kPoolThreadsPerCore * cores_of(context_.settings, engine) / context_.settings.brokers;
  }
  small_pool_ = thread_pool_ < kSmallPoolQueries * widest_query_;
  update_warm_cores();
}

void Fleet::update_warm_cores() {
  warm_cores_ = 0;
  for (const auto* engine : ready_)
    warm_cores_ += cores_of(context_.settings, *engine) * slow_start_.capacity_fraction(*engine);
}

void Fleet::begin_attempt(Engine& engine, AttemptKey attempt, unsigned threads) {
  if (engine.in_flight.empty()) engine.last_seen_at = context_.now;
  engine.in_flight.insert(attempt);
  engine.threads += threads;
  ++engine.queries;
  busy_.insert(engine.endpoint.engine);
}

void Fleet::end_attempt(Engine& engine, AttemptKey attempt, unsigned threads) {
  engine.in_flight.erase(attempt);
  engine.threads -= threads;
  if (--engine.queries == 0) busy_.erase(engine.endpoint.engine);
}

Engine* Fleet::find(EngineId id) {
  const auto found = engines_.find(id);
  return found == engines_.end() ? nullptr : &found->second;
}

const Engine* Fleet::find(EngineId id) const {
  const auto found = engines_.find(id);
  return found == engines_.end() ? nullptr : &found->second;
}

}  // namespace bellstair::policy
