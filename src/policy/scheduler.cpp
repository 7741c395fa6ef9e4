// All decisions. The interface is include/bellstair/policy/scheduler.hpp; what is remembered,
// src/policy/state.hpp.
#include "bellstair/policy/scheduler.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <ranges>
#include <tuple>

#include "policy/retry_rules.hpp"
#include "policy/state.hpp"

namespace bellstair::policy {
namespace {
using namespace std::chrono_literals;

// The control loop (design page; paper, section III.D, equation 1).
constexpr Time kPeriod = 2s;        // between samples; the paper's 30 s is too slow for waits of one second
constexpr double kGain = -0.80;     // tenths of the pool, for an error of one wait aim
constexpr double kZero = 0.30;      // r: how much of the last error is taken back
constexpr double kGainPool = 0.10;  // the gain's unit as a share of the pool, so that it fits any fleet
constexpr double kWaitAim = 0.30;   // wait aim as a share of the latency aim; the rest is for running
constexpr double kMaxError = 3.0;   // wait aims; one sample can't throw the budget across the pool
constexpr double kThreadsPerCore = 2.0;  // of the pool; near the peak of an engine's work for usual mixes

// Letting go of queries.
constexpr Time kTick = 20ms;             // between looks at clocks
constexpr Time kAbsence = 200ms;         // without a call for so long, a gateway was itself away
constexpr Time kAnswerEarly = 45ms;      // final answers go out this long before the deadline: two ticks
constexpr double kHoldShare = 0.4;       // of the latency aim: held longer, an answer would come too late
constexpr double kRunShare = 2.0;        // foretold answer times left for running when a hold ends
constexpr double kOverShareSlack = 1.3;  // a tenant may take this many times its share before it waits last
constexpr double kShareBurst = 2.0;      // seconds of its share a tenant may save up
constexpr double kShareLeast = 3;        // queries on top: a quiet gateway's come in clumps
constexpr double kRateMemory = 20.0;     // s, of the arrival rate that shares are measured against
constexpr double kRateGrowth = 1.3;      // times the usual rate that a period counts for at most

// Engine choice.
constexpr double kPassCrowd = 1.5;  // threads a core, all gateways: passing the pool stops here
constexpr double kTopCrowd = 2.2;   // threads a core, all gateways: even the pool's share is held back
constexpr double kFewQueries = 4;   // of the widest class: a pool for fewer can't keep the ranks by budgets;
constexpr double kLaterRanks = 0.7;
constexpr double kJamPace = 1.5;                    // pace that tells the fleet is past its peak
constexpr double kMinEase = 0.5;                    // of the crowd limits, at the least
constexpr double kEaseDown = 0.85, kEaseUp = 0.05;  // a period
constexpr double kUsualSpeed = 1.5;   // answer time against the usual: up to here an engine is at usual speed
constexpr double kSlow = 2.0;         // times slower than the fleet: what is less is chance
constexpr Time kSlowLook = 4s;        // without an answer of a slow engine, it gets another chance
constexpr double kMaxSlow = 6.0;      // times slower than the fleet that an engine counts for at most
constexpr double kPaceStep = 0.1;     // weight of one answer in an engine's pace
constexpr double kLevelStep = 0.1;    // weight of one report in the fleet's level, threads a core
constexpr double kFleetStep = 0.04;   // weight of one answer in the fleet's pace
constexpr double kOwnPart = 0.25;     // of an engine's load as judged: own threads times gateways
constexpr double kFarZone = 20;       // threads a core that another zone must be emptier by, for a price of 1
constexpr double kSameAgain = 3.0;    // threads a core that others may be fuller by for another attempt
constexpr std::size_t kHomes = 2;     // engines that are to keep a group warm, at the least;
constexpr std::size_t kHomePart = 5;  // and one in so many of a large fleet
constexpr double kHeldKeepOff = 6.0;  // threads a core: a reader keeps off an engine where its group is held
constexpr std::uint8_t kFirst = 3, kUsual = 1;  // priorities of the first class in rank, and of the others:
constexpr std::uint8_t kSmallUp = 2, kBigDown = 0;  // of their small and big queries, by these sizes
constexpr double kSmall = 0.7, kBig = 2.5;
constexpr double kGrant = 3.2;          // memory granted, in needs of late as answers told them
constexpr double kGrantEstimate = 2.0;  // memory granted, in estimates as answers set them right;
constexpr double kGrantKept = 1.6;      // and where what is granted is kept from others, used or not
constexpr double kWarmHome = 0.3;       // threads a core that a group's homes may be fuller by: warm data
constexpr Time kFresh = 2500ms;         // older load reports tell nothing
constexpr Time kLevelLife = 5s;         // without a report for so long, nothing is known of the fleet's level
constexpr double kReportLife = 1.5;     // s in which a report loses weight to the fleet's level
constexpr Time kProbeAge = 300ms;       // a report older than this is worth a probe
constexpr Time kProbeWait = 40ms;       // a query waits this long for the probes made for it
constexpr double kProbesPerQuery = 1, kProbesSaved = 20;  // at most
constexpr int kProbesHeavy = 4;     // for one heavy query; others leave so many to the next heavy one
constexpr std::size_t kLooks = 12;  // engines compared for one query, however many there are
constexpr std::size_t kDraws = 2;   // of them drawn at random
constexpr double kOwnTimes = 6;     // gateways whose share one's own threads speak for, at most
constexpr Time kTellPace = 200ms;   // between messages to the other gateways
constexpr unsigned kTellAll = 10;   // gateways up to which each tells all others; above, reports go to a few
constexpr std::size_t kTellPaces = 3;  // newest paces told, where reports of load tell nothing
constexpr double kTellBytes = 250;     // of these reports, a query;
constexpr double kTellHead = 28;       // and of each one's IP and UDP heads
constexpr double kMinRate = 0.2;       // queries a second that a gateway is taken to have, at the least
constexpr unsigned kPeersNeeded = 10;  // messages before the gateways' own threads tell the fleet's level
constexpr double kPeerMemory = 1.5;    // s in which one loses weight: a level must follow a restart
constexpr double kApart = 0.25;        // of what a report differs from the others, believed at the least
constexpr double kScatter = 1.5;  // variance of the queries told of an engine over their mean, if all is well
constexpr double kMaxScatter = 30, kScatterStep = 0.05;  // that one report counts for; weight of one
constexpr double kMinBlur = 0.01;   // threads a core that an engine may seem fuller by; and at most,
constexpr double kBlur = 4.0;       // where reports mislead
constexpr double kOwnMemory = 5.0;  // s, of the threads that run here
constexpr double kCrowdAtFull = 4;  // threads a core of an engine that turned a query away, at the least
constexpr double kThreadsAtFull = 1.6, kAllBusy = 0.95;  // threads a core when all are busy; told as that

// Health.
constexpr double kErrorStep = 0.25;  // weight of one outcome in an engine's error share
constexpr double kErrorTop = 0.4;    // error share at which an engine is rested: two errors in a row;
constexpr double kAlike = 4;         // and so many times the fleet's share on top: what all engines do alike
constexpr double kFleetErrors = 0.01;           // weight of one outcome in the fleet's error share
constexpr Time kAliveSoon = 500ms;              // no process ends and begins anew in less
constexpr Time kFirstRest = 1s, kMaxRest = 4s;  // before the first trial; doubled at each failed one
constexpr double kSilentAnswers = 6;            // answers overdue, by usual times, before silence is believed
constexpr double kSilentEach = 3;               // of them for one attempt: a single long query is no silence
constexpr Time kSilentLeast = 800ms;            // and this long without a word
constexpr Time kPlanLook = 900ms;               // an attempt is not judged by its progress before this
constexpr double kBadPlan = 5;       // predicted length in usual answer times that tells a bad plan
constexpr int kNoteGap = 2;          // note paces without a note of an attempt: it, or its answer, is lost
constexpr double kMedianStep = 0.1;  // of the typical answer time that one answer moves it by
constexpr double kMinSize = 0.2, kMaxSize = 40;  // of a query by its estimate, in its class's usual ones

constexpr double kSizeCrowd = 1.5, kSizePower = 3;  // largest size taken: (first / threads a core) ^ second
constexpr double kPaceAsLevel = 0.9;  // threads a core that the usual pace stands for, if none are told

// Second copies, where they are allowed.
constexpr double kCopyAfter = 4;     // typical answer times of such a query before a copy is sent
constexpr double kLostAfter = 6;     // and before one that gave no note is taken back
constexpr double kCopyPart = 0.2;    // copies' work against that of all queries, at most
constexpr double kCopiesSaved = 10;  // copies' worth of work that may be saved up, of the heaviest class

// Cold starts.
constexpr double kColdLevel = 0.5;      // of the fleet's level, that turns are taken to bring an engine to
constexpr double kFullCapacity = 0.85;  // core-seconds a second for each core: what "capacity" stands for
constexpr double kFirstWork = 0.5;      // of aim x threads: a class's work before any answer
constexpr double kMixStep = 0.02;       // weight of one query in the mean work of those that come

}  // namespace

class Scheduler::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed) : s_(std::move(settings)), random_(seed) {
    check(s_);
    classes_.resize(s_.classes.size());
    for (std::size_t c = 0; c < classes_.size(); ++c) {
      rank_.push_back(static_cast<ClassIndex>(c));
      const auto& set = s_.classes[c];
      classes_[c].usual = classes_[c].base = classes_[c].typical = secs(set.latency_objective) * kFirstWork;
      classes_[c].work = secs(set.latency_objective) * kFirstWork * set.threads;
      classes_[c].u = set.threads;
      widest_ = std::max(widest_, set.threads);
      mean_threads_ += set.threads / static_cast<double>(s_.classes.size());
      mean_work_ += classes_[c].work / static_cast<double>(s_.classes.size());
      readers_wait_ = readers_wait_ || set.waits_for_data_group;
    }
    for (const auto field : s_.load_report_fields)
      tells_load_ = tells_load_ || field == LoadReportField::inflight || field == LoadReportField::util;
    for (const auto& tenant : s_.tenants) arrival_rate_ += tenant.quota_per_s / s_.brokers;
    take_up({});
  }

  // What was learned, queues and attempts carry on; ranks and shares are as told from now on.
  void reconfigure(Settings settings) {
    check_change(s_, settings);
    std::swap(s_, settings);
    for (std::size_t c = 0; c < classes_.size(); ++c)  // those of a shorter limit have not waited
      if (s_.classes[c].client_timeout != settings.classes[c].client_timeout)
        classes_[c].most_left = Time::zero();
    take_up(settings.tenants);
  }

  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& out) {
    if (!started_) called_ = now;
    away_ = now > called_ + kAbsence ? now - called_ : Time::zero();
    called_ = now_ = now;
    out_ = &out;
    if (!started_) start();
    // It had no turn for a while: no engine was silent meanwhile, and what it now hears is as old.
    for (const auto id : busy_) {
      engines_.at(id).heard += away_;
      for (const auto& [request, n] : engines_.at(id).out) requests_.at(request).attempts[n].heard += away_;
    }
    for (const auto& event : events) std::visit([this](const auto& e) { on(e); }, event);
    if (fleet_changed_) refresh();
    fill_budgets();
    while (release_one(true) || release_one(false)) continue;
  }

  [[nodiscard]] ClassStatus view(ClassIndex c) const {
    return {classes_.at(c).queue.size(), classes_.at(c).running, classes_.at(c).budget};
  }

  [[nodiscard]] double pool() const { return pool_; }
  // Of the fleet, threads a core; below 0: nothing has told yet. While the gateways are not heard, it moves
  // as their threads do here: with those of a mean gateway beside, since few threads of one tell little.
  [[nodiscard]] double level() const {
    if (level_ < 0) return now_ > level_at_ + kLevelLife ? -1 : told_level_;
    const double mean = std::max(1.0, level_ * cores_ / s_.brokers);
    return level_ * (own_lately_ + mean) / (own_then_ + mean);
  }

 private:
  void start() {
    started_ = true;
    began_ = sampled_ = ticked_ = told_ = now_;
    if (s_.polls_endpoint_list) put(PollEndpointList{true});
    put(ScheduleTimer{kTick});
  }

  void take_up(const std::vector<TenantSettings>& before) {  // ranks and buckets, as the settings have them
    std::ranges::sort(rank_);
    std::ranges::stable_sort(rank_, [this](ClassIndex a, ClassIndex b) {
      const auto &x = s_.classes[a], &y = s_.classes[b];
      return x.latency_objective != y.latency_objective ? x.latency_objective < y.latency_objective
                                                        : x.priority_weight > y.priority_weight;
    });
    tokens_.carry_over(before, s_.tenants, kShareLeast, [this](std::size_t t) { return burst(t); });
  }

  double drawn() { return std::generate_canonical<double, 32>(random_); }  // from 0 to 1
  void put(Action action) { out_->push_back(std::move(action)); }
  void trace(const Engine& engine, const char* what) {
    put(LogMessage{"engine " + std::to_string(engine.entry.engine) + " " + what});
  }

  void on(const EndpointList& list) {
    if (list.kind == EndpointListKind::failed) asked_again_ = now_ + 1s;
    if (list.kind == EndpointListKind::full || list.kind == EndpointListKind::cached)
      for (auto& [id, engine] : engines_) engine.ready = false;
    for (const auto& entry : list.endpoints) {
      auto& engine = engines_[entry.engine];
      if (entry.started_at > engine.entry.started_at) begin_cold(engine, entry.started_at);
      engine.entry = entry;
      engine.ready = entry.state == EngineState::ready && entry.kind < s_.kinds.size();
    }
    fleet_changed_ = true;
  }

  // What is summed over the fleet, made anew only when the list or an engine's health has changed.
  void refresh() {
    fleet_changed_ = false;
    ready_.clear();
    homes_.clear();
    pool_ = 0;
    const auto gone = [](const Engine* engine) { return !engine->ready && engine->out.empty(); };
    std::erase_if(recent_, [&](const auto& report) { return gone(report.second); });
    std::erase_if(invited_, gone);
    std::erase_if(engines_, [&](const auto& entry) { return gone(&entry.second); });
    for (auto& [id, engine] : engines_) {
      if (!engine.ready) continue;
      ready_.push_back(&engine);
      if (!rested(engine)) pool_ += kThreadsPerCore * cores(engine) / s_.brokers;
    }
    few_ = pool_ < kFewQueries * widest_;
    sum_cores();
  }

  // What crowds a warm fleet overruns a cold one: engines count for what they can do now.
  void sum_cores() {
    cores_ = 0;
    for (const auto* engine : ready_) cores_ += cores(*engine) * warmth(*engine, 0s);
  }

  void begin_cold(Engine& engine, Time since) {
    engine.start.begin(since);
    engine.broke = Time::zero();
    engine.health = Health::well;
    engine.errors = 0;
    engine.pace = 1;
    engine.rest = Time::zero();
  }

  double cores(const Engine& engine) const { return s_.kinds[engine.entry.kind].cores; }
  // An engine that answers far slower than the others, as when another program takes a part of it, has that
  // much less room. Reports of its memory and disks do not show it.
  double slowness(const Engine& engine) const {
    const double times = engine.pace / std::max(1.0, fleet_pace_);
    return times <= kSlow ? 1 : std::min(times, kMaxSlow);
  }
  bool cold(const Engine& engine) const {
    return engine.start.since() > Time::zero() && now_ < engine.start.since() + s_.slow_start_duration;
  }
  // Least share of its capacity an engine has had over the last `back`.
  double warmth(const Engine& engine, Time back) const {
    if (!cold(engine)) return 1;
    const double age = std::max(0.0, secs(now_ - engine.start.since() - back)) / secs(s_.slow_start_duration);
    return s_.slow_start_capacity + (1 - s_.slow_start_capacity) * std::min(1.0, age);
  }

  void on(const RequestArrival& asked) {
    taken_.push_back(now_);
    ++fresh_arrivals_;
    tell_bytes_ = std::min(tell_bytes_ + kTellBytes, 4 * kTellBytes);
    probe_tokens_ = std::min(probe_tokens_ + kProbesPerQuery, kProbesSaved);
    auto& request = requests_[asked.request];
    request.asked = asked;
    request.deadline = now_ + asked.time_left;
    deadlines_.insert({request.deadline - kAnswerEarly, asked.request});
    if (asked.cls >= classes_.size()) return finish(request, UnservedReason::unknown_class);
    if (in_order(request)) turns_.join(asked.ordering_key, asked.request);
    request.size = size_of(asked);
    mean_work_ += kMixStep * (classes_[asked.cls].work - mean_work_);
    copy_work_ = std::min(copy_work_ + kCopyPart * classes_[asked.cls].work, kCopiesSaved * heaviest());
    if (over_share(asked) && (!classes_[asked.cls].queue.empty() || crowded()))
      return finish(request, UnservedReason::over_quota);
    if (too_late(asked)) return finish(request, UnservedReason::overdue_on_arrival);
    if (too_big(request)) return finish(request, UnservedReason::too_big);
    if (foretold(request) > secs(asked.time_left)) return finish(request, UnservedReason::no_time);
    hold(request, false);
  }

  // What came while this gateway had no turn has waited already, as its time left tells: what can't be
  // answered within its aim any more is settled at once, so that no burst of such work follows.
  bool too_late(const RequestArrival& asked) {
    auto& cls = classes_[asked.cls];
    if (away_ == Time::zero()) cls.most_left = std::max(cls.most_left, asked.time_left);
    const double waited = secs(std::clamp(cls.most_left - asked.time_left, Time::zero(), away_));
    return waited > 0 && waited + cls.usual > whole_aim(asked.cls);
  }
  double whole_aim(ClassIndex c) const {
    return secs(s_.classes[c].latency_objective) + s_.classes[c].objective_stretch * classes_[c].base;
  }

  // Estimates are off by class, so they only tell how a query compares to others of its class.
  double size_of(const RequestArrival& asked) {
    if (!asked.estimated_work || *asked.estimated_work <= Time::zero()) return 1;
    auto& mean = classes_[asked.cls].estimate;
    const double cost = secs(*asked.estimated_work);
    mean += mean > 0 ? 0.05 * (std::min(cost, 3 * mean) - mean) : cost;
    return std::clamp(cost / mean, kMinSize, kMaxSize);
  }
  // In a crowd the largest queries are refused: for the work of one, several others are answered. The limit
  // goes by the fleet's level or, where nothing tells that, by how slow answers are; a usual query always
  // passes. A class worth more for its work than the last in rank has a higher limit by that much.
  bool too_big(const Request& request) const {
    const auto dear = [this](ClassIndex c) { return classes_[c].work / s_.classes[c].priority_weight; };
    const double load = level() >= 0 ? level() : fleet_pace_ * kPaceAsLevel;
    const double most = std::max(1.0, std::pow(kSizeCrowd / std::max(0.1, load), kSizePower));
    return request.size * std::min(1.0, dear(request.asked.cls) / dear(rank_.back())) > most;
  }
  // To the rule on cold engines each query weighs its class's usual work: a small one is charged no less.
  double cold_work(const Request& request) const { return work(request) * std::max(1.0, 1 / request.size); }
  double work(const Request& request) const { return classes_[request.asked.cls].work * request.size; }
  double foretold(const Request& request) const { return classes_[request.asked.cls].typical * request.size; }

  void hold(Request& request, bool first) {
    auto& queue = classes_[request.asked.cls].queue;
    request.held = true;
    request.queued = now_;
    first ? queue.push_front(request.asked.request) : queue.push_back(request.asked.request);
  }

  void on(const RequestCancelled& left) {
    auto* request = find(left.request);
    if (request == nullptr || !request->open) return;
    // Withdrawn before it was sent anywhere, it has used nothing of its tenant's share.
    if (request->attempts.empty()) tokens_.give_back(request->asked.tenant);
    close(*request);
  }

  Request* find(RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }

  void finish(Request& request, UnservedReason reason) {
    if (!request.open) return;
    const auto id = request.asked.request;
    const Time pause = s_.sends_retry_after ? s_.max_retry_after : Time::zero();
    may_refuse(request) ? put(Reject{id, pause, reason}) : put(Fail{id, reason});
    close(request);
  }

  void close(Request& request) {
    request.open = false;
    const auto id = request.asked.request;
    if (request.held) std::erase(classes_[request.asked.cls].queue, id);
    request.held = false;
    deadlines_.erase({request.deadline - kAnswerEarly, id});
    for (std::size_t n = 0; n < request.attempts.size(); ++n) call_off(request, n);
    if (!request.out()) forget(request);
  }

  void forget(Request& request) {
    const auto id = request.asked.request;
    if (in_order(request)) turns_.leave(request.asked.ordering_key, id);
    requests_.erase(id);
  }

  void call_off(Request& request, std::size_t n) {
    if (!s_.may_cancel || !request.attempts[n].awaited()) return;
    request.attempts[n].called_off = true;
    put(CancelAttempt{request.asked.request, static_cast<AttemptIndex>(n)});
  }

  const ClassSettings& set(const Request& request) const { return s_.classes[request.asked.cls]; }
  bool in_order(const Request& request) const {
    return request.asked.ordering_key != 0 && request.asked.cls < classes_.size() &&
           set(request).ordered_by_key;
  }

  // ---- the rules: every send passes may_send(), every refusal may_refuse() --------------------------------
  bool may_refuse(const Request& request) const {
    return request.asked.cls >= classes_.size() ||
           refusal_allowed(set(request), std::ranges::all_of(request.attempts, &Attempt::proven_unrun));
  }

  bool may_send(const Request& request, Engine& engine) {
    return engine.ready && request.open && may_stand_beside(request) &&
           now_ < request.deadline - kAnswerEarly && request.attempts.size() < s_.max_attempts &&
           placed(request, engine) && repeat_allowed(request, engine) && in_turn(request) &&
           (request.attempts.empty() || within_retry_budget()) && cold_room(request, engine);
  }

  // Two are awaited at the most, of which one called off may still be out; or one, which is surely over.
  bool may_stand_beside(const Request& request) const {
    return s_.hedging ? request.awaited() < 2 : !request.out() && now_ >= request.over_by;
  }

  bool placed(const Request& request, const Engine& engine) const {
    const auto among = [](const std::optional<std::vector<std::uint16_t>>& list, std::uint16_t value) {
      return !list || std::find(list->begin(), list->end(), value) != list->end();
    };
    return among(set(request).zones, engine.entry.zone) && among(set(request).kinds, engine.entry.kind);
  }

  bool repeat_allowed(const Request& request, const Engine& engine) const {
    return std::ranges::all_of(request.attempts, [&](const Attempt& attempt) {
      const EarlierAttempt earlier{attempt.sent, attempt.zone, attempt.cell, attempt.proven_unrun()};
      return policy::repeat_allowed(set(request), earlier, engine.entry, now_, kTick);
    });
  }

  bool in_turn(const Request& request) const {
    if (!in_order(request)) return true;
    const auto key = request.asked.ordering_key;
    return turns_.first(key, request.asked.request) &&
           (!request.attempts.empty() || !turns_.rests(key, now_));
  }

  bool within_retry_budget() {
    if (!s_.retry_budget) return true;
    const auto& budget = *s_.retry_budget;
    forget_old();
    const double most = budget.min_retries + budget.ratio * static_cast<double>(taken_.size());
    return static_cast<double>(further_.size() + 1) <= most;
  }

  // Core-seconds that tip a cold engine over when it is sent them within the window.
  double tips_over(const Engine& engine) const {
    return s_.slow_start_overload_factor * warmth(engine, s_.slow_start_overload_window) * kFullCapacity *
           cores(engine) * secs(s_.slow_start_overload_window);
  }
  slow_start::Capacity capacity(const Engine& engine) const {
    return {tips_over(engine), secs(s_.slow_start_overload_window), static_cast<double>(s_.brokers)};
  }
  bool cold_room(const Request& request, Engine& engine) const {
    if (s_.slow_start_overload_factor <= 0 || !cold(engine)) return true;
    if (in_first_window()) return false;
    return engine.budget.holds(now_, s_.slow_start_overload_window, cold_work(request),
                               capacity(engine).even_share());
  }
  // What the process before this one has sent in the window that ends now is not known.
  bool in_first_window() const { return now_ < began_ + s_.slow_start_overload_window; }
  void charge(Engine& engine, double work) {
    if (cold(engine)) engine.budget.charge(now_, work, capacity(engine).even_share());
  }

  double heaviest() const { return std::ranges::max_element(classes_, {}, &Class::work)->work; }
  double lightest() const { return std::ranges::min_element(classes_, {}, &Class::work)->work; }
  void draw_turns(double passed) {
    sum_cores();
    for (auto* engine : ready_) {
      if (s_.slow_start_overload_factor <= 0 || !cold(*engine)) continue;
      const auto turns = slow_start::turn_rate(capacity(*engine), {lightest(), heaviest(), mean_work_});
      const bool drawn_now =
          drawn() < std::min(passed, slow_start::kTurnStep) * turns.work_per_second / turns.work;
      if (!drawn_now || in_first_window() ||
          !engine->budget.may_begin_turn(now_, s_.slow_start_overload_window))
        continue;
      engine->budget.begin_turn(now_, turns.work);
      invited_.push_back(engine);
    }
  }

  // Granted less than it needs a query spills; estimates are off by class, by as much as answers have told.
  double grant(const Request& request) const {
    const auto& cls = classes_[request.asked.cls];
    if (!(request.asked.estimated_memory_mb > 0)) return kGrant * cls.memory;
    const double right = cls.memory_told > 0 ? cls.memory / cls.memory_told : 1;
    return (s_.memory_shortage == MemoryShortage::overcommit ? kGrantEstimate : kGrantKept) * right *
           request.asked.estimated_memory_mb;
  }

  std::uint8_t priority(const Request& request) const {
    if (request.asked.cls == rank_.front()) return kFirst;
    return request.size < kSmall ? kSmallUp : request.size < kBig ? kUsual : kBigDown;
  }

  // The only place that sends.
  bool transmit(Request& request, Engine& engine) {
    if (!may_send(request, engine)) return false;
    auto& cls = classes_[request.asked.cls];
    const auto& set = this->set(request);
    if (request.held) {  // a copy has not waited here
      cls.waits += secs(now_ - request.queued);
      ++cls.released;
    }
    if (!request.attempts.empty()) further_.push_back(now_);
    if (s_.memory_grants || s_.priorities)
      put(AttemptTerms{request.asked.request, grant(request), priority(request)});
    put(SendAttempt{request.asked.request, engine.entry.engine, request.deadline - kAnswerEarly});
    charge(engine, cold_work(request));
    if (engine.out.empty()) engine.heard = now_;
    engine.out.insert({request.asked.request, static_cast<AttemptIndex>(request.attempts.size())});
    if (set.locks_data_group) engine.held.insert(request.asked.data_group);
    request.attempts.push_back({engine.entry.engine, engine.entry.zone, engine.entry.cell, now_, now_});
    request.held = false;
    cls.running += set.threads;
    engine.threads += set.threads;
    ++engine.queries;
    busy_.insert(engine.entry.engine);
    return true;
  }

  void on(const AttemptOutcome& outcome) {
    auto* request = find(outcome.request);
    const auto at = engines_.find(outcome.engine);
    if (request == nullptr || outcome.attempt >= request->attempts.size() || at == engines_.end()) return;
    auto& attempt = request->attempts[outcome.attempt];
    if (!attempt.out) return;
    auto& engine = at->second;
    const auto& set = this->set(*request);
    attempt.out = false;
    attempt.result = outcome.result;
    request->over_by = std::max(request->over_by, now_ + outcome.may_run_for);
    engine.out.erase({outcome.request, outcome.attempt});
    if (set.locks_data_group) engine.held.erase(request->asked.data_group);
    classes_[request->asked.cls].running -= set.threads;
    engine.threads -= set.threads;
    if (--engine.queries == 0) busy_.erase(outcome.engine);
    const bool may_run = outcome.result == AttemptResult::timed_out ||
                         outcome.result == AttemptResult::reset || outcome.result == AttemptResult::cancelled;
    if (in_order(*request) && (may_run || outcome.may_run_for > Time::zero()))
      turns_.rest(request->asked.ordering_key,
                  now_ + std::max(may_run ? s_.ordering_key_hold : 0s, outcome.may_run_for));
    take_load(engine, outcome.load_report);
    judge(engine, *request, outcome);
    if (outcome.request_closed && request->open) return close(*request);
    if (request->out() || request->held) return;  // by another attempt
    if (!request->open) return forget(*request);
    again(*request);
  }

  void again(Request& request) {
    const auto may = [&](const Engine* e) { return placed(request, *e) && repeat_allowed(request, *e); };
    const bool soon = s_.hedging || request.over_by <= now_ + most_hold(request);
    if (!std::ranges::any_of(ready_, may) || !soon || request.attempts.size() >= s_.max_attempts ||
        !within_retry_budget())
      return finish(request, UnservedReason::no_attempt_left);
    if (at_fault(request)) return finish(request, UnservedReason::request_at_fault);
    hold(request, true);
  }

  // Two engines that otherwise do well have said no to it: a third would too.
  bool at_fault(const Request& request) const {
    std::set<EngineId> said;
    for (const auto& attempt : request.attempts) {
      const auto at = engines_.find(attempt.engine);
      if (attempt.result == AttemptResult::error && !attempt.out && at != engines_.end() &&
          at->second.errors < kErrorStep)
        said.insert(attempt.engine);
    }
    return said.size() > 1;
  }

  void judge(Engine& engine, const Request& request, const AttemptOutcome& outcome) {
    const auto result = outcome.result;
    if (result == AttemptResult::served) return judge_served(engine, request, outcome);
    // The statement may be at fault. Where another engine can be asked, its answer tells.
    if (result == AttemptResult::error)
      return set(request).idempotency == Idempotency::not_idempotent ? judge_failed(engine, kErrorStep)
                                                                     : void();
    if (result == AttemptResult::rejected && level() < 0) return rest(engine, "is full");
    if (result == AttemptResult::rejected)
      return take_report(engine, kCrowdAtFull * cores(engine), engine.heard = now_);
    if (result != AttemptResult::connect_failed && result != AttemptResult::reset) return;
    // Its process may have ended, and begin anew before any list tells.
    engine.start.doubt(now_, result == AttemptResult::connect_failed);
    engine.broke = result == AttemptResult::reset ? now_ : Time::zero();
    if (result == AttemptResult::connect_failed) return rest(engine, "takes no connections");
    judge_failed(engine, ask(engine) ? kErrorStep : 2 * kErrorStep);
  }

  void alive(Engine& engine, Time at, Time sent) {
    engine.start.heard(at, sent, kAliveSoon);
    if (at > engine.broke) engine.broke = Time::zero();
  }

  void judge_served(Engine& engine, const Request& request, const AttemptOutcome& outcome) {
    const auto c = request.asked.cls;
    auto& cls = classes_[c];
    engine.heard = now_;
    alive(engine, now_, request.attempts[outcome.attempt].sent);
    engine.errors -= kErrorStep * engine.errors;
    fleet_errors_ -= kFleetErrors * fleet_errors_;
    for (const auto& attempt : request.attempts) {
      const auto failed = engines_.find(attempt.engine);
      if (attempt.result == AttemptResult::error && !attempt.out && failed != engines_.end() &&
          &failed->second != &engine)
        judge_failed(failed->second, kErrorStep);
    }
    if (engine.health == Health::trial) {
      engine.health = Health::well;
      engine.rest = Time::zero();
      fleet_changed_ = true;
      trace(engine, "answers again");
    }
    const double took = secs(outcome.latency);
    const double threads = s_.classes[c].threads;
    cls.usual += 0.05 * (took - cls.usual);
    cls.typical *= took > foretold(request) ? 1 + kMedianStep : 1 - kMedianStep;
    if (s_.memory_grants && outcome.work) {
      cls.memory += (cls.memory > 0 ? 0.05 : 1) * (outcome.memory_mb - cls.memory);
      const double told = request.asked.estimated_memory_mb;
      if (told > 0) cls.memory_told += (cls.memory_told > 0 ? 0.05 : 1) * (told - cls.memory_told);
    }
    const double work = outcome.work ? secs(*outcome.work) : took * threads;
    cls.work += 0.05 * (work / request.size - cls.work);  // of all asked, though large ones go unserved
    // An answer's own length is taken out of its pace: its work or, where that is not told, its estimate.
    const double length = outcome.work ? std::max(0.02, work / threads) : cls.base * request.size;
    engine.measure = std::clamp(took / length, 0.2, 8.0);
    learn_base(cls, took);
    fleet_pace_ += kFleetStep * (engine.measure - fleet_pace_);
    learn_pace(engine, engine.measure);
    if (tells_load_) return;
    engine.reported = now_;
    list_recent(engine);
  }

  static void learn_pace(Engine& engine, double pace) { engine.pace += kPaceStep * (pace - engine.pace); }

  // Falls quickly and rises slowly, so that a jam is not soon taken for usual.
  static void learn_base(Class& cls, double took) {
    cls.block += took;
    if (++cls.blocked < 10) return;
    const double mean = cls.block / cls.blocked;
    cls.base += (mean < cls.base ? 0.5 : 0.05) * (mean - cls.base);
    cls.block = cls.blocked = 0;
  }

  // Engines that error at once look fast and roomy.
  void judge_failed(Engine& engine, double step) {
    engine.errors += step * (1 - engine.errors);
    fleet_errors_ += kFleetErrors * (1 - fleet_errors_);
    if (engine.health == Health::trial || engine.errors >= std::min(0.95, kErrorTop + kAlike * fleet_errors_))
      rest(engine, "fails its queries");
  }

  void rest(Engine& engine, const char* why) {
    if (engine.health == Health::resting) return;
    if (engine.health == Health::well) trace(engine, why);
    engine.health = Health::resting;
    fleet_changed_ = true;
    engine.rest = engine.rest > Time::zero() ? std::min(2 * engine.rest, kMaxRest) : kFirstRest;
    engine.rest_until = now_ + span(secs(engine.rest) * (0.5 + drawn()));
    for (const auto& [id, n] : std::vector(engine.out.begin(), engine.out.end())) rescue(id, n);
  }

  // Takes a safe query back from an engine, to send it elsewhere once the call-off is confirmed.
  void rescue(RequestId id, std::size_t n) {
    auto& request = requests_.at(id);
    if (!request.open || set(request).idempotency != Idempotency::idempotent) return;
    if (request.awaited() > 1 || (request.attempts.size() < s_.max_attempts && within_retry_budget()))
      call_off(request, n);
  }

  // An attempt out for much longer than such a query takes: its answer is lost, its plan bad, its engine slow
  // or at a stand. Another goes elsewhere, rationed by work and not in a crowd, where most are slow. In the
  // end it is taken back: a lost one would pass for running until its deadline, and lift the level all go by.
  void copy(RequestId id, std::size_t n) {
    auto& request = requests_.at(id);
    const auto& attempt = request.attempts[n];
    const double times = secs(now_ - attempt.sent) / foretold(request);
    if (!s_.hedging || !request.open || times < kCopyAfter) return;
    if (times > kLostAfter && attempt.heard == attempt.sent) return rescue(id, n);
    if (n + 1 < request.attempts.size() || request.attempts.size() >= s_.max_attempts) return;
    if (request.held || crowded() || copy_work_ < work(request)) return;
    for (std::size_t i = 0; i < n; ++i) call_off(request, i);  // a third: the first is lost
    Engine* engine = pick(request);
    if (engine != nullptr && transmit(request, *engine)) copy_work_ -= work(request);
  }

  bool rested(const Engine& engine) const { return engine.health == Health::resting; }

  // Where notes are promised, an attempt without its note is lost, its engine too if it gave no other word.
  void watch(Engine& engine) {
    const Time quiet = now_ - engine.heard;
    double overdue = 0;
    for (const auto& [id, n] : std::vector(engine.out.begin(), engine.out.end())) {
      copy(id, n);
      const auto& request = requests_.at(id);
      const auto& attempt = request.attempts[n];
      if (s_.progress_interval == Time::zero()) {
        const Time age = std::min(quiet, now_ - attempt.sent);
        overdue += std::min(secs(age) / classes_[request.asked.cls].usual, kSilentEach);
      } else if (now_ - attempt.heard > kNoteGap * s_.progress_interval && attempt.awaited()) {
        quiet > kNoteGap* s_.progress_interval ? rest(engine, "is silent") : rescue(id, n);
      }
    }
    if (quiet > kSilentLeast && overdue > kSilentAnswers) rest(engine, "is silent");
  }

  void on(const AttemptProgress& note) {
    const auto at = engines_.find(note.engine);
    auto* request = find(note.request);
    if (at == engines_.end() || request == nullptr || note.attempt >= request->attempts.size()) return;
    auto& attempt = request->attempts[note.attempt];
    at->second.heard = attempt.heard = now_;
    alive(at->second, now_, attempt.sent);
    const double age = secs(now_ - attempt.sent);
    // A bad plan, or an engine far too slow: what is left takes longer than to begin anew elsewhere.
    const bool slow = note.kind == ProgressKind::progress && note.attempt == 0 && age > secs(kPlanLook) &&
                      age / std::max(note.amount, 0.005) >
                          kBadPlan * std::max(1.0, request->size) * classes_[request->asked.cls].usual;
    if (slow || (note.kind == ProgressKind::waiting && note.amount > 1.5)) rescue(note.request, note.attempt);
  }

  void take_load(Engine& engine, const std::vector<double>& load) {
    if (load.empty() || load.size() > s_.load_report_fields.size()) return;
    double held = -1, waiting = 0, util = -1;
    for (std::size_t i = 0; i < load.size(); ++i) {
      if (s_.load_report_fields[i] == LoadReportField::inflight) held = load[i];
      if (s_.load_report_fields[i] == LoadReportField::queue) waiting = load[i];  // for memory: on no core
      if (s_.load_report_fields[i] == LoadReportField::util) util = load[i];
    }
    const double others = std::max(0.0, held - waiting - engine.queries) * mean_threads_;
    const double by_cores = util * kThreadsAtFull * cores(engine);
    double threads = held >= 0 ? others + engine.threads : by_cores;
    // What waits for memory is in hand, but on no core: while not all are busy, cores tell better.
    if (util >= 0 && util < kAllBusy) threads = std::min(threads, by_cores);
    if (threads >= 0) take_told(engine, threads, std::max(engine.reported, now_ - away_));
  }

  void take_told(Engine& engine, double threads, Time at) {
    take_report(engine, threads, at);
    const double told = threads / cores(engine);
    if (level() >= 0) {
      const double usual = std::max(1.0, told_level_ * cores(engine) / mean_threads_);
      const double off = std::pow(threads / mean_threads_ - usual, 2) / usual;
      scatter_ += kScatterStep * (std::min(off, kMaxScatter) - scatter_);
    }
    told_level_ = level() < 0 ? told : told_level_ + kLevelStep * (told - told_level_);
    level_at_ = now_;
  }

  void take_report(Engine& engine, double threads, Time at) {
    engine.reported = at;
    engine.others = std::max(0.0, threads - engine.threads);
    list_recent(engine);
  }

  void list_recent(Engine& engine) {
    recent_.push_front({engine.reported, &engine});
    if (recent_.size() > kLooks) recent_.pop_back();
  }

  void on(const HealthCheckResult& probe) {
    const auto at = engines_.find(probe.engine);
    if (at == engines_.end()) return;
    auto& engine = at->second;
    if (probe.result != AttemptResult::served)
      return engine.broke > Time::zero() ? rest(engine, "is down") : void();
    alive(engine, now_, now_ - probe.latency);
    take_load(engine, probe.load);
  }

  // Few gateways tell all others their own threads; many tell a few their newest reports. Malformed: ignored.
  void on(const GossipMessage& message) {
    const auto text = decode(message.bytes);
    if (!text) return;
    if (!text->reports) {
      peers_[message.from] = {now_, {}};
      for (const auto& entry : text->entries) peers_[message.from].second[entry.engine] = entry.value;
      return;
    }
    // Busy gateways tell more often: each message weighs as the time that it speaks for.
    const double gap = 1 / std::max(kMinRate, text->rate / 16.0);
    const double kept = std::exp(-secs(now_ - std::exchange(peer_at_, now_)) / kPeerMemory);
    peer_gap_ = kept * peer_gap_ + gap;
    peer_threads_ = kept * peer_threads_ + gap * text->threads;
    own_then_ = own_lately_;
    if (++peers_heard_ >= kPeersNeeded)
      level_ = peer_threads_ / peer_gap_ * s_.brokers / std::max(1.0, cores_);
    for (const auto& entry : text->entries) {
      const auto at = engines_.find(entry.engine);
      const Time told = now_ - entry.age * kTick;
      if (at == engines_.end() || !at->second.ready) continue;
      auto& engine = at->second;
      if (tells_load_ && told <= engine.reported) continue;
      alive(engine, told, told - ColdStart::kOnItsWay);  // what for, is not told
      const double value = entry.value / 32.0;
      tells_load_ ? take_told(engine, value * cores(engine), told) : learn_pace(engine, value);
    }
  }

  void tell_peers() {
    if (!s_.may_gossip || s_.brokers < 2 || now_ < told_ + kTellPace) return;
    told_ = now_;
    PeerText text;
    text.reports = s_.brokers > kTellAll;
    if (!text.reports) {
      for (const auto id : busy_) text.entries.push_back({id, engines_.at(id).threads});
      return put(SendGossip{std::nullopt, encode(text)});
    }
    // Messages follow arrivals, when more runs than usual: the mean since the last ones is told.
    text.threads = static_cast<unsigned>(untold_ / std::max(1e-3, untold_time_) + drawn());
    for (const auto& [at, engine] : recent_) {
      const auto age = static_cast<unsigned>((now_ - at) / kTick);
      const double told = tells_load_ ? (engine->others + engine->threads) / cores(*engine) : engine->measure;
      if (text.entries.size() < (tells_load_ ? kLooks : kTellPaces) && age < 255 && engine->reported == at)
        text.entries.push_back({engine->entry.engine, static_cast<unsigned>(told * 32), age});
    }
    // Each message speaks for a part of the time since the last ones: in busy times they come close together.
    const auto size = kTellHead + static_cast<double>(encode(text).size());
    const double count = std::floor(tell_bytes_ / size);
    if (count < 1) return;
    text.rate = static_cast<unsigned>(16 * count * size / kTellBytes / std::max(1e-3, untold_time_));
    const auto bytes = encode(text);
    untold_ = untold_time_ = 0;
    for (; tell_bytes_ >= size; tell_bytes_ -= size) {
      const auto to = static_cast<std::uint32_t>(random_() % (s_.brokers - 1));
      put(SendGossip{to < s_.broker_index ? to : to + 1, bytes});
    }
  }

  // True: a probe went out, as reports of the engine are old and there are probes to spare.
  bool probe(Engine& engine, double spare) {
    const bool old = now_ >= std::max(engine.reported, engine.probed) + kProbeAge;
    return old && tells_load_ && probe_tokens_ >= 1 + spare && ask(engine);
  }
  bool ask(Engine& engine) {
    if (!s_.may_health_check || probe_tokens_ < 1) return false;
    engine.probed = now_;
    probe_tokens_ -= 1;
    put(SendHealthCheck{engine.entry.engine});
    return true;
  }

  // Probes engines for a query. True: await them. Large pools keep all reports fresh instead.
  bool look(Request& request, const std::vector<Engine*>& engines) {
    if (!few_ || request.look_until > Time::zero()) return few_ && request.look_until > now_;
    request.look_until = now_;
    const bool heavy = 2 * classes_[request.asked.cls].work > heaviest();
    for (auto* engine : engines | std::views::take(heavy ? kProbesHeavy : 1))
      if (probe(*engine, heavy ? 0 : kProbesHeavy - 1)) request.look_until = now_ + kProbeWait;
    return request.look_until > now_;
  }

  bool crowded() const { return level() < 0 ? fleet_pace_ > kJamPace : level() > kPassCrowd * ease_; }

  // Threads of all gateways on an engine, as something fresh tells; an engine that nothing fresh tells of is
  // taken to be like the others, never as empty: all gateways would run to the engines they know least of.
  std::optional<double> all_threads(const Engine& engine) const {
    double others = 0;
    bool told = false;
    for (const auto& [from, peer] : peers_) {
      if (now_ > peer.first + kFresh) continue;
      told = true;
      const auto at = peer.second.find(engine.entry.engine);
      others += at == peer.second.end() ? 0 : at->second;
    }
    if (told) return others + engine.threads;
    const double level = this->level();
    const bool fresh = tells_load_ && engine.reported > Time::zero() && now_ <= engine.reported + kFresh;
    const double weight = std::exp(-secs(now_ - engine.reported) / kReportLife);
    if (level < 0) return fresh ? std::optional(weight * engine.others + engine.threads) : std::nullopt;
    // A cold engine is filled by turns, under the fleet's level.
    const double usual = (cold(engine) ? kColdLevel : 1) * level * cores(engine) * warmth(engine, 0s);
    // Round the level that the gateways' own threads add up to, reports only tell engines apart.
    const double apart = !fresh       ? 0
                         : level_ < 0 ? engine.others + engine.threads - usual
                                      : engine.others - told_level_ * cores(engine);
    return std::max<double>(engine.threads, swing() * usual + trust() * weight * apart);
  }

  // Of what a report differs from the fleet's level, the part to believe. Where many gateways go by old
  // reports, all fill engines that were empty and keep off those that were full: reports then lie further
  // apart than chance would have them. Engines that really differ (slow, jammed) look the same; they are
  // still told apart by a quarter. So are they where utilisation is all that is told: it ends at "all busy".
  double trust() const {
    if (level_ >= 0) return kApart;
    return few_ ? std::clamp(kScatter / scatter_, kApart, 1.0) : 1;
  }

  double swing() const {
    if (level_ >= 0) return 1;  // the gateways' messages are fresh
    const double usual = std::max(1.0, own_threads_);
    return 1 + (1 - trust()) * std::clamp((running() - usual) / usual, -1.0, 1.0);
  }

  double running() const { return sum(&Class::running); }  // threads
  double sum(auto part) const {
    double all = 0;
    for (const auto& cls : classes_) all += cls.*part;
    return all;
  }

  // Room within this gateway's share of the engine, or past it while the engine answers at its usual speed.
  bool room(const Engine& engine, ClassIndex c) const {
    const unsigned threads = s_.classes[c].threads;
    const double ease = ease_ * (c == rank_.front() ? 1 : few_ ? kLaterRanks : 1);
    if (cold(engine)) return true;  // its turns are fewer than its room
    const double size = cores(engine) * warmth(engine, 0s);
    const auto all = all_threads(engine);
    const double own = engine.threads + 0.5 * threads;
    if (all && *all + 0.5 * threads > kTopCrowd * ease * size) return false;
    // A slow engine is still sent something by each gateway: its pace would never be seen to change.
    const double swift = size / slowness(engine);
    if (own <= kThreadsPerCore * swift / s_.brokers || engine.threads == 0) return true;
    if (own > kThreadsPerCore * swift) return false;
    if (all) return *all + 0.5 * threads <= kPassCrowd * ease * swift;
    return engine.pace <= kUsualSpeed * std::max(1.0, std::min(fleet_pace_, 1.2));
  }

  bool healthy(const Request& request, Engine& engine) const {
    if (engine.health == Health::well) return true;
    if (engine.health == Health::resting && now_ >= engine.rest_until) engine.health = Health::trial;
    return engine.health == Health::trial && engine.queries == 0 &&
           set(request).idempotency == Idempotency::idempotent;
  }

  double crowding(const Request& request, Engine& engine) {
    const auto& set = this->set(request);
    // Reports are late and every gateway reads the same: by them alone all would run to one engine at once.
    const double own = engine.threads * std::min<double>(s_.brokers, kOwnTimes);
    const double all = kOwnPart * own + (1 - kOwnPart) * all_threads(engine).value_or(own);
    double score = (all + set.threads) * slowness(engine) / (cores(engine) * warmth(engine, 0s));
    if (engine.entry.zone != s_.zone) score += kFarZone * s_.cross_zone_cost;
    if (!readers_wait_ && home(request.asked.data_group, engine)) score -= kWarmHome;
    if (set.waits_for_data_group && held(request, engine)) score += kHeldKeepOff;
    const auto there = [&](const Attempt& a) { return a.engine == engine.entry.engine; };
    return std::ranges::any_of(request.attempts, there) ? score + kSameAgain : score;
  }

  // What its own loads hold is all that a gateway knows of: others' show in how long engines take.
  static bool held(const Request& request, const Engine& engine) {
    return request.asked.data_group != 0 && engine.held.contains(request.asked.data_group);
  }

  // All gateways order engines alike for a group, by ids: the first keep its data warm.
  const std::vector<Engine*>& homes(std::int64_t group) {
    auto& homes = homes_[group];
    if (homes.empty()) {
      for (auto* engine : ready_)
        if (!rested(*engine)) homes.push_back(engine);
      const auto count = std::min(homes.size(), std::max(kHomes, ready_.size() / kHomePart));
      const auto order = [group](const Engine* engine) { return spread(group, engine->entry.engine); };
      std::ranges::partial_sort(homes, homes.begin() + static_cast<std::ptrdiff_t>(count), {}, order);
      homes.resize(count);
    }
    return homes;
  }
  bool home(std::int64_t group, Engine& engine) { return std::ranges::count(homes(group), &engine) > 0; }

  // All of a small fleet; of a large one those of the newest reports and a few drawn, at a bounded cost.
  const std::vector<Engine*>& candidates(const Request& request) {
    if (ready_.size() <= kLooks) return ready_;
    compared_.clear();
    ++look_;
    const auto add = [this](Engine* engine) {
      if (engine->looked != look_ && engine->ready) compared_.push_back(engine);
      engine->looked = look_;
    };
    std::erase_if(invited_, [this](const Engine* engine) { return !engine->budget.in_turn(now_); });
    for (auto* engine : invited_) add(engine);
    for (std::size_t i = 0; i < kDraws; ++i) add(ready_[random_() % ready_.size()]);
    if (!readers_wait_) {
      const auto& near = homes(request.asked.data_group);
      if (!near.empty()) add(near[random_() % near.size()]);
    }
    for (const auto& [at, engine] : recent_)
      if (now_ < at + kFresh) add(engine);
    return compared_;
  }

  Engine* pick(Request& request) {
    Engine* best = nullptr;
    double least = 0;
    const auto& engines = candidates(request);
    if (look(request, engines)) return nullptr;
    const double blur = tells_load_ ? kMinBlur + kBlur * (1 - trust()) : kMinBlur;
    for (auto* engine : engines) {
      const auto there = [&](const Attempt& a) { return a.awaited() && a.engine == engine->entry.engine; };
      if (!healthy(request, *engine) || !room(*engine, request.asked.cls) || !may_send(request, *engine) ||
          std::ranges::any_of(request.attempts, there) ||
          (set(request).locks_data_group && held(request, *engine)))
        continue;
      const double score = crowding(request, *engine) + blur * drawn();
      if (best == nullptr || score < least) std::tie(best, least) = std::tuple(engine, score);
    }
    return best;
  }

  bool release_one(bool under_budget) {
    return std::ranges::any_of(rank_, [&](ClassIndex c) {
      return under_budget == (classes_[c].running < classes_[c].budget) && release_head(classes_[c]);
    });
  }

  // The first of the queue that may go; those that wait for their key's turn, or for proof, are passed by.
  bool release_head(Class& cls) {
    for (auto it = cls.queue.begin(); it != cls.queue.end(); ++it) {
      auto& request = requests_.at(*it);
      if (!in_turn(request) || !may_stand_beside(request)) continue;
      Engine* engine = pick(request);
      if (engine == nullptr && set(request).locks_data_group) continue;  // another group's may go
      if (engine == nullptr || !transmit(request, *engine)) return false;
      cls.queue.erase(it);
      return true;
    }
    return false;
  }

  // ---- the control loop ----------------------------------------------------------------------------------
  void fill_budgets() {
    double left = pool_;
    for (const auto c : rank_) {
      auto& cls = classes_[c];
      const double least = s_.classes[c].threads;
      cls.budget = std::max(least, std::min(std::clamp(cls.u, least, std::max(least, pool_)), left));
      left = std::max(0.0, left - cls.budget);
    }
  }

  // A fleet slower than usual has passed its peak, wherever that lies with the mix of the day: fewer at once.
  // Not where priorities keep the short classes quick, nor where a gateway hears too little to tell.
  void ease() {
    if (s_.priorities || few_) return;
    ease_ = fleet_pace_ > kJamPace ? std::max(kMinEase, ease_ * kEaseDown) : std::min(1.0, ease_ + kEaseUp);
  }

  void sample() {
    ease();
    for (auto* engine : ready_)
      if (now_ > engine->heard + kSlowLook)
        engine->pace = std::min(engine->pace, kSlow * std::max(1.0, fleet_pace_));
    const double all = pool();
    const double wanted = sum(&Class::u);
    for (const auto c : rank_) {
      auto& cls = classes_[c];
      const double aim = kWaitAim * secs(s_.classes[c].latency_objective);
      double waits = cls.waits, count = cls.released + static_cast<double>(cls.queue.size());
      for (const auto id : cls.queue) waits += secs(now_ - requests_.at(id).queued);  // they must show
      const double error = std::max(-kMaxError, (aim - (count > 0 ? waits / count : 0)) / aim);
      const double before = wanted > all ? cls.budget : cls.u;
      const double least = s_.classes[c].threads;
      cls.u = std::clamp(before + kGain * kGainPool * all * (error - kZero * cls.error), least,
                         std::max(least, all));
      cls.error = error;
      cls.waits = cls.released = 0;
    }
  }

  void on(const TimerFired&) {
    if (now_ < ticked_ + kTick) return;
    const double passed = secs(now_ - ticked_);
    ticked_ = now_;
    put(ScheduleTimer{kTick});
    if (s_.polls_endpoint_list && asked_again_ > Time::zero() && now_ >= asked_again_) {
      asked_again_ = Time::zero();
      put(PollEndpointList{true});
    }
    fill_tokens(passed);
    untold_ += running() * passed;
    untold_time_ += passed;
    own_threads_ += std::min(1.0, passed / kOwnMemory) * (running() - own_threads_);
    own_lately_ += std::min(1.0, passed / kPeerMemory) * (running() - own_lately_);
    while (!deadlines_.empty() && deadlines_.begin()->first <= now_)
      finish(requests_.at(deadlines_.begin()->second), UnservedReason::deadline);
    drop_overdue();
    for (const auto id : std::vector(busy_.begin(), busy_.end())) watch(engines_.at(id));
    if (!few_ && !s_.answers_report_load)  // these bring reports, too
      for (auto* engine : ready_) probe(*engine, 0);
    draw_turns(passed);
    tell_peers();
    if (now_ >= sampled_ + kPeriod) {
      measure_rates(secs(now_ - sampled_));
      sampled_ = now_;
      sample();
    }
    forget_old();
  }

  void forget_old() {
    const Time back = s_.retry_budget ? s_.retry_budget->window : Time::zero();
    while (!taken_.empty() && taken_.front() <= now_ - back) taken_.pop_front();
    while (!further_.empty() && further_.front() < now_ - back) further_.pop_front();
    turns_.forget(now_);
  }

  // Held so long that an answer would come after its aim: given up at once, so that fresher ones are in time.
  // An estimate tells how long an answer takes and how far its aim lies; else the class's usual times do.
  Time most_hold(const Request& request) const {
    const auto c = request.asked.cls;
    const auto& set = s_.classes[c];
    const double least = kHoldShare * secs(set.latency_objective),
                 stretch = set.objective_stretch - kRunShare;
    if (request.asked.estimated_work)
      return span(std::max(least, secs(set.latency_objective) + stretch * foretold(request)));
    return span(std::max(least, kHoldShare * whole_aim(c) - classes_[c].usual));
  }

  void drop_overdue() {
    for (auto& cls : classes_)
      for (const auto id : std::vector(cls.queue.begin(), cls.queue.end()))
        if (auto& request = requests_.at(id); now_ - request.queued > most_hold(request))
          finish(request, UnservedReason::queued_too_long);
  }

  double share_rate(std::size_t t) const {
    const double own = s_.tenants[t].quota_fraction * arrival_rate_;
    // Of few queries, clumps would pass for more than a share.
    if (few_) return kOverShareSlack * std::max(own, s_.tenants[t].quota_per_s / s_.brokers);
    return (crowded() ? 1 : kOverShareSlack) * own;
  }

  // A flood must not raise the share it is measured against: the rate grows slowly, and not in a crowd.
  void measure_rates(double passed) {
    const double rate = fresh_arrivals_ / passed;
    rate_age_ = std::min(rate_age_ + passed, kRateMemory);
    const double most = crowded() ? arrival_rate_ : kRateGrowth * arrival_rate_ + 1 / passed;
    const double heeded = 3 * passed < rate_age_ ? std::min(rate, most) : rate;
    arrival_rate_ += passed / rate_age_ * (heeded - arrival_rate_);
    fresh_arrivals_ = 0;
  }

  double burst(std::size_t t) const { return share_rate(t) * kShareBurst; }
  void fill_tokens(double passed) {
    for (std::size_t t = 0; t < s_.tenants.size(); ++t)
      tokens_.fill(t, share_rate(t) * passed, burst(t) + kShareLeast);
  }

  // A flood by one tenant takes nothing from the others: past its share it is refused once queries wait.
  bool over_share(const RequestArrival& asked) {
    return s_.over_quota_weight < 1 && !tokens_.take(asked.tenant);
  }

  Settings s_;
  std::mt19937_64 random_;
  std::vector<Class> classes_;
  std::vector<ClassIndex> rank_;
  std::map<EngineId, Engine> engines_;
  std::map<RequestId, Request> requests_;  // open, or with an attempt still out
  std::set<std::pair<Time, RequestId>> deadlines_;
  KeyTurns turns_;
  std::deque<Time> taken_, further_;
  std::map<std::uint32_t, std::pair<Time, std::map<EngineId, unsigned>>> peers_;
  TokenBuckets tokens_;                              // by tenant
  std::vector<Engine*> ready_, compared_, invited_;  // by id; of the last choice; cold, with a turn
  std::set<EngineId> busy_;                          // with a query of this gateway out
  std::map<std::int64_t, std::vector<Engine*>> homes_;
  std::deque<std::pair<Time, Engine*>> recent_;  // newest reports
  std::uint64_t look_ = 0;
  bool started_ = false, fleet_changed_ = false, readers_wait_ = false;
  bool tells_load_ = false;                // reports hold a figure that take_load() can use
  bool few_ = false;                       // the pool holds few queries
  unsigned widest_ = 1, peers_heard_ = 0;  // threads of a query; messages
  double rate_age_ = 0, arrival_rate_ = 0, fresh_arrivals_ = 0, probe_tokens_ = 0, tell_bytes_ = 0;
  double copy_work_ = 0;  // core-seconds that second copies may still cost
  double pool_ = 0, cores_ = 0, fleet_pace_ = 1, ease_ = 1, peer_gap_ = 0, peer_threads_ = 0;
  double untold_ = 0, untold_time_ = 0;  // thread-seconds run since the last message, and s
  double level_ = -1, told_level_ = -1;  // threads a core, by gateways and by reports; -1: none
  double mean_threads_ = 0;              // a query, over the classes
  double mean_work_ = 0;                 // core-seconds of a query, over those that came of late
  double own_threads_ = 0, own_lately_ = 0, own_then_ = 0;  // over 5 s; 1.5 s; at the last message
  double scatter_ = 1;                                      // of reports, see kScatter
  double fleet_errors_ = 0;                                 // share of all engines' outcomes of late
  Time began_{};                                            // the first call
  Time now_{}, called_{}, away_{}, sampled_{}, ticked_{}, told_{}, asked_again_{}, level_at_{}, peer_at_{};
  std::vector<Action>* out_ = nullptr;
};

Scheduler::Scheduler(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;
void Scheduler::reconfigure(Settings settings) { impl_->reconfigure(std::move(settings)); }
void Scheduler::handle(Time now, const std::vector<Event>& events, std::vector<Action>& out) {
  impl_->handle(now, events, out);
}
ClassStatus Scheduler::class_status(ClassIndex cls) const { return impl_->view(cls); }
double Scheduler::thread_pool() const { return impl_->pool(); }
double Scheduler::load_level() const { return impl_->level(); }
}  // namespace bellstair::policy
