// What the decision module remembers, and small helpers without decisions.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "bellstair/policy/scheduler.hpp"
#include "policy/slow_start.hpp"

namespace bellstair::policy {

inline double secs(Time t) { return std::chrono::duration<double>(t).count(); }
inline Time span(double s) { return Time(static_cast<std::int64_t>(s * 1e9)); }

struct Attempt {
  EngineId engine = 0;
  std::uint16_t zone = 0, cell = 0;  // of the engine, which may be forgotten by now
  Time sent{}, heard{};              // heard: it was sent, or the last note of it came
  bool out = true, called_off = false;
  [[nodiscard]] bool awaited() const { return out && !called_off; }
  AttemptResult result = AttemptResult::not_started;
  [[nodiscard]] bool proven_unrun() const {
    return !out && (result == AttemptResult::rejected || result == AttemptResult::connect_failed ||
                    result == AttemptResult::not_started);
  }
};

struct Request {
  RequestArrival asked;
  Time queued{};  // since when it is held here
  Time deadline{};
  bool open = true, held = false;  // held: stands in its class's queue
  Time look_until{};               // probes made for it are awaited until then; 0: none made yet
  std::vector<Attempt> attempts;
  Time over_by{};   // until then an attempt that has ended may run on at its engine: nothing proves it over
  double size = 1;  // its estimate of work against its class's mean
  [[nodiscard]] bool out() const { return std::ranges::any_of(attempts, &Attempt::out); }
  [[nodiscard]] auto awaited() const { return std::ranges::count_if(attempts, &Attempt::awaited); }
};

enum class Health { well, resting, trial };

// Since when an engine's process is taken to run, and so to be cold; 0: long ago. A list tells it late. A
// lost or refused connection may mean that the process has ended and begins anew, or be the network's doing
// alone: it counts as a start until the process turns out to have outlived it.
class ColdStart {
 public:
  [[nodiscard]] Time since() const { return doubts_.empty() ? begun_ : std::max(begun_, doubts_.back().at); }
  void begin(Time since) {  // as the list tells
    begun_ = since;
    doubts_.clear();
  }
  // refused: nobody was there, so that a word soon afterwards may be a new process's.
  void doubt(Time at, bool refused) {
    if (doubts_.size() == kMaxDoubts) {
      begun_ = std::max(begun_, doubts_.front().at);
      doubts_.pop_front();
    }
    doubts_.push_back({at, refused});
  }
  // A process's last words may be read so long after it has ended, on another connection than the first that
  // was seen to break: the network's way, and a long turn of the loop. The protocol's slack for time limits.
  static constexpr Time kOnItsWay = std::chrono::milliseconds(50);
  // It was heard of what it was sent at `sent`: the process has lived since then. So it has if a connection
  // broke less than `soon` ago, in which no process ends and begins anew.
  void heard(Time at, Time sent, Time soon) {
    std::erase_if(doubts_, [&](const Doubt& doubt) {
      return sent < doubt.at ? doubt.at + kOnItsWay < at
                             : doubt.at < at && !doubt.refused && at <= doubt.at + soon;
    });
  }

 private:
  struct Doubt {
    Time at{};
    bool refused = false;
  };
  static constexpr std::size_t kMaxDoubts = 16;  // beyond, the oldest stands for good
  Time begun_{};
  std::deque<Doubt> doubts_;
};

struct Engine {
  Endpoint entry;
  bool ready = false;
  unsigned threads = 0, queries = 0;                 // of this gateway
  std::set<std::pair<RequestId, AttemptIndex>> out;  // of this gateway
  std::set<std::int64_t> held;                       // groups that its loads hold, or wait for there
  Health health = Health::well;
  Time rest_until{}, rest{};  // rest: the last one's length; 0: none since it was well
  double errors = 0;          // share of late
  double pace = 1;            // answer time against the class's usual one, of late;
  double measure = 1;         // and of the last answer here
  Time heard{};
  ColdStart start;
  Time broke{};       // the last connection that broke, unless it was heard since
  ColdBudget budget;  // while it is cold
  double others = 0;  // threads of other gateways at the last report
  Time reported{}, probed{};
  std::uint64_t looked = 0;  // the last comparison it took part in
};

struct Class {
  std::deque<RequestId> queue;
  Time most_left{};                           // longest time left that a query came with
  unsigned running = 0;                       // threads
  double u = 0;                               // U(m), threads
  double budget = 0;                          // what filling by rank left of it
  double error = 0, waits = 0, released = 0;  // E(m-1), wait aims; s and queries let go in this period
  double usual = 0, base = 0;                 // s, answer time of late, and while all was well
  double typical = 0;                         // s, median answer time of late of a query of usual size
  double estimate = 0;                        // s, mean estimate of work
  double block = 0, blocked = 0;              // s, answers not yet in base: their sum and count
  double work = 0, memory = 0;                // core-seconds; MB needed of late, where answers tell
  double memory_told = 0;                     // MB that those were estimated to need
};

// Requests that keep their order, by key, as taken; and keys that rest.
class KeyTurns {
 public:
  void join(std::uint64_t key, RequestId id) { turns_[key].push_back(id); }
  void leave(std::uint64_t key, RequestId id) {
    const auto turn = turns_.find(key);
    std::erase(turn->second, id);
    if (turn->second.empty()) turns_.erase(turn);
  }
  void rest(std::uint64_t key, Time until) { rests_[key] = std::max(rests_[key], until); }
  [[nodiscard]] bool first(std::uint64_t key, RequestId id) const { return turns_.at(key).front() == id; }
  [[nodiscard]] bool rests(std::uint64_t key, Time now) const {
    const auto rest = rests_.find(key);
    return rest != rests_.end() && now < rest->second;
  }
  void forget(Time now) {
    std::erase_if(rests_, [now](const auto& rest) { return rest.second <= now; });
  }

 private:
  std::map<std::uint64_t, std::deque<RequestId>> turns_;
  std::map<std::uint64_t, Time> rests_;
};

// Token buckets by tenant. One beyond the list has no limit.
class TokenBuckets {
 public:
  [[nodiscard]] bool take(std::size_t tenant) {
    if (tenant >= left_.size()) return true;
    if (left_[tenant] < 1) return false;
    left_[tenant] -= 1;
    return true;
  }
  void give_back(std::size_t tenant) {
    if (tenant < left_.size()) left_[tenant] += 1;
  }
  void fill(std::size_t tenant, double amount, double most) {
    left_[tenant] = std::min(left_[tenant] + amount, most);
  }
  // A tenant that is in the same place under the same name has what it had, up to its new bucket's size,
  // which is burst(tenant) + `slack`; any other begins with burst(tenant).
  void carry_over(const std::vector<TenantSettings>& from, const std::vector<TenantSettings>& to,
                  double slack, auto burst) {
    std::vector<double> left;
    for (std::size_t t = 0; t < to.size(); ++t) {
      const bool same = t < from.size() && from[t].name == to[t].name;
      left.push_back(same ? std::min(left_[t], burst(t) + slack) : burst(t));
    }
    left_ = std::move(left);
  }

 private:
  std::vector<double> left_;
};

// The same order of engines for a group at every gateway, from ids alone.
inline std::uint64_t spread(std::int64_t group, EngineId id) {
  std::uint64_t x = (static_cast<std::uint64_t>(group) << 32) + id + 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

void check(const Settings& settings);  // throws std::invalid_argument naming a senseless field
// Throws std::invalid_argument also for what a running gateway can't change: all but the classes' aims,
// give-up times, worths and late shares, and the tenants.
void check_change(const Settings& from, const Settings& to);

// What gateways tell each other, numbers with their low byte first: 'o', then for each engine its id (4
// bytes) and own threads there (1); or 'r', the mean of own threads in the time that the message speaks for
// and 16 over that time in s (2 each), then for each report the engine (4), its threads a core in 32nds (1)
// and the report's age in ticks (1); where the settings' reports tell no load, the pace of the sender's last
// answer there instead. Text of other lengths is no message at all.
struct PeerEntry {
  EngineId engine = 0;
  unsigned value = 0, age = 0;
};
struct PeerText {
  bool reports = false;
  unsigned threads = 0, rate = 0;
  std::vector<PeerEntry> entries;
};
std::string encode(const PeerText& text);  // leaves out entries that would pass 256 bytes
std::optional<PeerText> decode(const std::string& bytes);

}  // namespace bellstair::policy
