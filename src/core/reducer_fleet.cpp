// The part of the reducer that hears of engines: their states, addresses and starts.
#include <algorithm>
#include <utility>

#include "core/reducer.hpp"

namespace bellstair::core {
using policy::EngineState;

void Reducer::on(FleetChange& change) {
  policy::Listing listing;
  listing.kind = !change.full  ? policy::ListKind::delta
                 : fleet_told_ ? policy::ListKind::full
                               : policy::ListKind::cached;
  if (change.full) {
    std::erase_if(members_, [&](const auto& known) {
      const auto same = [&](const Member& m) { return m.entry.engine == known.first; };
      if (std::ranges::any_of(change.members, same)) return false;
      put(EngineMoved{known.first, known.second.address, false, false});
      return true;
    });
  }
  for (const auto& member : change.members) {
    if (!is_news(change.live)) starts_.note_known(member.started);
  }
  for (auto& member : change.members) {
    member.entry.last_start = start_of(member, change.live);
    listing.engines.push_back(member.entry);
    const auto state = member.entry.state;
    put(EngineMoved{member.entry.engine, member.address, state != EngineState::gone,
                    state == EngineState::ready});
    const auto id = member.entry.engine;
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
      const bool ready = member != members_.end() && member->second.entry.state == EngineState::ready;
      if (attempt.stage == Stage::waiting && !ready)
        abandon({id, static_cast<AttemptIndex>(n)}, attempt, false);
    }
  }
  if (!change.live) return;
  if (starts_.take_was_off()) read_starts_anew();
  on(FleetQuiet{});
}

// What comes with the first answer may be old news, as what was known is.
bool Reducer::is_news(bool live) const { return live && heard_ != Time::zero(); }

// Kept once it is read: the same start, told again, must not look like another.
Time Reducer::start_of(const Member& member, bool live) {
  if (member.started == Time::zero()) return {};
  const auto known = members_.find(member.entry.engine);
  if (known != members_.end() && known->second.started == member.started)
    return known->second.entry.last_start;
  return is_news(live) ? starts_.of_news(member.started, now_, heard_)
                       : starts_.of_known(member.started, now_);
}

void Reducer::read_starts_anew() {
  policy::Listing listing;
  listing.kind = policy::ListKind::delta;
  for (auto& [id, member] : members_) {
    if (member.started == Time::zero()) continue;
    member.entry.last_start = std::max(member.entry.last_start, starts_.read_anew(member.started, now_));
    listing.engines.push_back(member.entry);
  }
  put(Log{"a wall clock is off: starts of engines are read anew"});
  news_.push_back(std::move(listing));
}

void Reducer::on(const FleetQuiet& quiet) {
  if (quiet.answered) heard_ = now_;
  const auto ready = [](const auto& m) { return m.second.entry.state == EngineState::ready; };
  if (std::ranges::any_of(members_, ready)) lifecycle_.fleet_known();
}

}  // namespace bellstair::core
