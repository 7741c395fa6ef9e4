// The part of the reducer that hears of engines: their states, addresses and starts.
#include <algorithm>
#include <utility>

#include "core/reducer.hpp"

namespace bellstair::core {
using policy::EngineState;

void Reducer::on(EndpointUpdate& change) {
  policy::EndpointList listing;
  listing.kind = !change.full  ? policy::EndpointListKind::delta
                 : fleet_told_ ? policy::EndpointListKind::full
                               : policy::EndpointListKind::cached;
  if (change.full) {
    std::erase_if(members_, [&](const auto& known) {
      const auto same = [&](const EndpointRecord& m) { return m.endpoint.engine == known.first; };
      if (std::ranges::any_of(change.endpoints, same)) return false;
      put(EndpointChanged{known.first, known.second.address, false, false});
      return true;
    });
  }
  for (const auto& member : change.endpoints) {
    if (!is_news(change.from_change_log)) starts_.note_known(member.started_unix);
  }
  for (auto& member : change.endpoints) {
    member.endpoint.started_at = start_of(member, change.from_change_log);
    listing.endpoints.push_back(member.endpoint);
    const auto state = member.endpoint.state;
    put(EndpointChanged{member.endpoint.engine, member.address, state != EngineState::gone,
                        state == EngineState::ready});
    const auto id = member.endpoint.engine;
    // Engines come with new ids for ever: what is gone is not kept.
    if (state == EngineState::gone) {
      members_.erase(id);
    } else {
      members_.insert_or_assign(id, std::move(member));
    }
  }
  fleet_told_ = true;
  news_.push_back(std::move(listing));
  // What still waits for a connection to an engine that drains or is gone must not leave after all.
  for (auto& [id, request] : requests_) {
    for (std::size_t n = 0; n < request.attempts.size(); ++n) {
      auto& attempt = request.attempts[n];
      const auto member = members_.find(attempt.engine);
      const bool ready = member != members_.end() && member->second.endpoint.state == EngineState::ready;
      if (attempt.stage == Stage::waiting && !ready)
        abandon({id, static_cast<AttemptIndex>(n)}, attempt, false);
    }
  }
  if (!change.from_change_log) return;
  if (starts_.take_was_off()) read_starts_anew();
  on(EndpointListPolled{});
}

// What comes with the first answer may be old news, as what was known is.
bool Reducer::is_news(bool live) const { return live && heard_ != Time::zero(); }

// Kept once it is read: the same start, told again, must not look like another.
Time Reducer::start_of(const EndpointRecord& member, bool live) {
  if (member.started_unix == Time::zero()) return {};
  const auto known = members_.find(member.endpoint.engine);
  if (known != members_.end() && known->second.started_unix == member.started_unix)
    return known->second.endpoint.started_at;
  return is_news(live) ? starts_.of_news(member.started_unix, now_, heard_)
                       : starts_.of_known(member.started_unix, now_);
}

void Reducer::read_starts_anew() {
  policy::EndpointList listing;
  listing.kind = policy::EndpointListKind::delta;
  for (auto& [id, member] : members_) {
    if (member.started_unix == Time::zero()) continue;
    member.endpoint.started_at =
        std::max(member.endpoint.started_at, starts_.read_anew(member.started_unix, now_));
    listing.endpoints.push_back(member.endpoint);
  }
  put(Log{"a wall clock is off: starts of engines are read anew"});
  news_.push_back(std::move(listing));
}

void Reducer::on(const EndpointListPolled& quiet) {
  if (quiet.answered) heard_ = now_;
  const auto ready = [](const auto& m) { return m.second.endpoint.state == EngineState::ready; };
  if (std::ranges::any_of(members_, ready)) lifecycle_.fleet_known();
}

}  // namespace bellstair::core
