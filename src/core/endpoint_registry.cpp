#include "core/endpoint_registry.hpp"

#include <algorithm>
#include <utility>

namespace bellstair::core {
using policy::EndpointListKind;
using policy::EngineState;

policy::EndpointList EndpointRegistry::apply(EndpointUpdate& update) {
  policy::EndpointList list;
  if (!update.full) {
    list.kind = EndpointListKind::delta;
  } else {
    list.kind = first_list_applied_ ? EndpointListKind::full : EndpointListKind::cached;
    remove_missing(update);
  }
  const bool watch_event = is_watch_event(update);
  if (watch_event && !update.full) add_replaced(update, list);
  if (!watch_event) {
    for (const auto& record : update.endpoints) start_clock_.add_known_start(record.started_unix);
  }
  for (auto& record : update.endpoints) {
    record.endpoint.started_at = started_at(record, watch_event);
    list.endpoints.push_back(record.endpoint);
    store(record);
  }
  first_list_applied_ = true;
  return list;
}

void EndpointRegistry::remove_missing(const EndpointUpdate& update) {
  std::erase_if(records_, [&](const auto& known) {
    const auto same = [&](const EndpointRecord& record) { return record.endpoint.engine == known.first; };
    if (std::ranges::any_of(update.endpoints, same)) return false;
    context_.put(EndpointChanged{known.first, known.second.address, false, false});
    return true;
  });
}

// The address belongs to one process at a time: what is sent there on behalf of the older engine would reach
// the newer one. The change log may report the older one's end later.
void EndpointRegistry::add_replaced(const EndpointUpdate& update, policy::EndpointList& list) {
  for (const auto& record : update.endpoints) {
    const bool is_new = !records_.contains(record.endpoint.engine);
    if (!is_new || record.endpoint.state != EngineState::ready) continue;
    const auto older = std::ranges::find_if(records_, [&](const auto& known) {
      return known.second.address == record.address && known.second.started_unix < record.started_unix;
    });
    if (older == records_.end()) continue;
    auto gone = older->second;
    gone.endpoint.state = EngineState::gone;
    list.endpoints.push_back(gone.endpoint);
    store(gone);
  }
}

void EndpointRegistry::store(EndpointRecord& record) {
  const auto engine = record.endpoint.engine;
  const auto state = record.endpoint.state;
  context_.put(
      EndpointChanged{engine, record.address, state != EngineState::gone, state == EngineState::ready});
  // A restarted engine has a new id, so that records of removed engines would accumulate.
  if (state == EngineState::gone) {
    records_.erase(engine);
  } else {
    records_.insert_or_assign(engine, std::move(record));
  }
}

// The first answer of the change log may report events from long ago.
bool EndpointRegistry::is_watch_event(const EndpointUpdate& update) const {
  return update.from_change_log && last_answer_ != Time::zero();
}

// An engine that is listed again with the same start keeps its start time.
Time EndpointRegistry::started_at(const EndpointRecord& record, bool watch_event) {
  if (record.started_unix == Time::zero()) return {};
  const auto known = records_.find(record.endpoint.engine);
  if (known != records_.end() && known->second.started_unix == record.started_unix)
    return known->second.endpoint.started_at;
  return watch_event ? start_clock_.start_of_new(record.started_unix, context_.now(), last_answer_)
                     : start_clock_.start_of_known(record.started_unix, context_.now());
}

std::optional<policy::EndpointList> EndpointRegistry::correct_start_times() {
  if (!start_clock_.take_offset_changed()) return std::nullopt;
  policy::EndpointList list;
  list.kind = EndpointListKind::delta;
  for (auto& [engine, record] : records_) {
    if (record.started_unix == Time::zero()) continue;
    const Time corrected = start_clock_.corrected_start(record.started_unix, context_.now());
    record.endpoint.started_at = std::max(record.endpoint.started_at, corrected);
    list.endpoints.push_back(record.endpoint);
  }
  context_.log(
      "the wall clock of this machine or of the change log is wrong: engine start times are recalculated");
  return list;
}

const policy::Endpoint* EndpointRegistry::find(EngineId engine) const {
  const auto found = records_.find(engine);
  return found == records_.end() ? nullptr : &found->second.endpoint;
}

bool EndpointRegistry::is_ready(EngineId engine) const {
  const auto* endpoint = find(engine);
  return endpoint != nullptr && endpoint->state == EngineState::ready;
}

bool EndpointRegistry::any_ready() const {
  return std::ranges::any_of(
      records_, [](const auto& entry) { return entry.second.endpoint.state == EngineState::ready; });
}

}  // namespace bellstair::core
