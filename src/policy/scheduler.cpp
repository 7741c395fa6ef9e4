// Routes events to the policy modules, and sends queued requests.
#include "bellstair/policy/scheduler.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "policy/attempt_monitor.hpp"
#include "policy/attempt_terms.hpp"
#include "policy/class_table.hpp"
#include "policy/context.hpp"
#include "policy/data_group_affinity.hpp"
#include "policy/dispatcher.hpp"
#include "policy/endpoint_scorer.hpp"
#include "policy/endpoint_selector.hpp"
#include "policy/fleet.hpp"
#include "policy/gossip.hpp"
#include "policy/health_checker.hpp"
#include "policy/hedging_policy.hpp"
#include "policy/latency_monitor.hpp"
#include "policy/load_estimator.hpp"
#include "policy/load_shedder.hpp"
#include "policy/ordering_keys.hpp"
#include "policy/outcome_recorder.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/overload_detector.hpp"
#include "policy/request_table.hpp"
#include "policy/retry_budget.hpp"
#include "policy/retry_policy.hpp"
#include "policy/send_rules.hpp"
#include "policy/settings_check.hpp"
#include "policy/slow_start.hpp"
#include "policy/tenant_quotas.hpp"
#include "policy/thread_budget_controller.hpp"
#include "policy/units.hpp"

namespace bellstair::policy {
namespace {
using namespace std::chrono_literals;

constexpr Time kControlPeriod = 2s;
constexpr Time kStallThreshold = 200ms;  // a longer gap between calls counts as a stall
constexpr Time kListRetryInterval = 1s;

Settings checked(Settings settings) {
  check_settings(settings);
  return settings;
}
}  // namespace

class Scheduler::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed)
      : settings_(checked(std::move(settings))), context_{settings_, std::mt19937_64(seed)} {}

  void reconfigure(Settings settings) {
    check_settings_change(settings_, settings);
    std::swap(settings_, settings);
    const Settings& previous = settings;
    shedder_.reconfigure(previous);
    classes_.update_ranks();
    quotas_.reconfigure(previous.tenants);
  }

  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& out) {
    begin_call(now, out);
    for (const auto& event : events) std::visit([this](const auto& e) { on(e); }, event);
    if (fleet_.changed()) refresh_fleet();
    thread_budgets_.divide_pool();
    while (send_one(true) || send_one(false)) continue;
  }

  [[nodiscard]] ClassStatus class_status(ClassIndex cls) const {
    const auto& state = classes_.at(cls);
    return {state.queue.size(), state.running_threads, thread_budgets_.budget(cls)};
  }
  [[nodiscard]] double thread_pool() const { return fleet_.thread_pool(); }
  [[nodiscard]] double load_level() const { return load_.level(); }

 private:
  void begin_call(Time now, std::vector<Action>& out) {
    const Time previous = started_ ? context_.now : now;
    context_.stall = now > previous + kStallThreshold ? now - previous : Time::zero();
    context_.now = now;
    context_.actions = &out;
    if (!started_) start();
    monitor_.discount_stall();
  }

  void start() {
    started_ = true;
    sampled_at_ = context_.now;
    ticked_at_ = context_.now;
    slow_start_.begin();
    gossip_.begin();
    if (settings_.polls_endpoint_list) context_.emit(PollEndpointList{true});
    context_.emit(ScheduleTimer{kTickInterval});
  }

  // Removes all references to engines that left the list before the fleet removes the engines.
  void refresh_fleet() {
    affinity_.clear();
    load_.erase_removable();
    slow_start_.drop_removed();
    fleet_.refresh();
  }

  void on(const EndpointList& list) {
    if (list.kind == EndpointListKind::failed) poll_list_at_ = context_.now + kListRetryInterval;
    fleet_.apply(list);
  }

  void on(const RequestArrival& arrival) {
    retry_budget_.record_request();
    quotas_.record_arrival();
    gossip_.record_request();
    health_checker_.record_request();
    auto& request = requests_.add(arrival);
    if (arrival.cls >= classes_.size()) return requests_.finish(request, UnservedReason::unknown_class);
    if (is_ordered(settings_, request)) ordering_keys_.enqueue(arrival.ordering_key, arrival.request);
    request.relative_size = classes_[arrival.cls].estimates.relative_size(arrival.estimated_work);
    classes_.record_arrival(arrival.cls);
    hedging_.record_request(arrival.cls);
    if (const auto reason = shedder_.reject_on_arrival(request)) return requests_.finish(request, *reason);
    requests_.enqueue_back(request);
  }

  void on(const AttemptProgress& progress) { monitor_.record_progress(progress); }

  void on(const AttemptOutcome& outcome) {
    Request* request = requests_.find(outcome.request);
    Engine* engine = fleet_.find(outcome.engine);
    if (request == nullptr || engine == nullptr) return;
    if (!dispatcher_.end_attempt(*request, *engine, outcome)) return;
    outcomes_.record(*engine, *request, outcome);
    if (outcome.request_closed && request->open) return requests_.close(*request);
    if (request->in_flight() || request->queued) return;  // continued by another attempt
    if (!request->open) return requests_.remove(*request);
    if (const auto reason = retries_.reason_not_to_retry(*request))
      return requests_.finish(*request, *reason);
    requests_.enqueue_front(*request);
  }

  void on(const AttemptStopped& stopped) {
    const Time may_run_until = context_.now + stopped.may_run_for;
    if (Request* request = requests_.find(stopped.request); request != nullptr)
      request->may_run_until = std::min(request->may_run_until, may_run_until);
    ordering_keys_.shorten_block(stopped.ordering_key,
                                 std::max(may_run_until, context_.now + settings_.ordering_key_hold));
  }

  void on(const RequestCancelled& cancelled) {
    Request* request = requests_.find(cancelled.request);
    if (request == nullptr || !request->open) return;
    if (request->attempts.empty()) quotas_.return_token(request->arrival.tenant);
    requests_.close(*request);
  }

  void on(const TimerFired&) {
    if (context_.now < ticked_at_ + kTickInterval) return;
    const double elapsed_seconds = to_seconds(context_.now - std::exchange(ticked_at_, context_.now));
    context_.emit(ScheduleTimer{kTickInterval});
    poll_list_if_due();
    quotas_.refill(elapsed_seconds);
    gossip_.advance(elapsed_seconds);
    load_.advance(elapsed_seconds);
    requests_.finish_expired();
    shed_overdue();
    monitor_.check();
    check_engine_health();
    draw_slow_start_permits(elapsed_seconds);
    gossip_.send();
    if (context_.now >= sampled_at_ + kControlPeriod) sample();
    retry_budget_.remove_expired();
    ordering_keys_.remove_expired(context_.now);
  }

  void on(const HealthCheckResult& result) { outcomes_.record(result); }
  void on(const GossipMessage& message) { gossip_.receive(message); }

  void poll_list_if_due() {
    if (!settings_.polls_endpoint_list || poll_list_at_ == Time::zero() || context_.now < poll_list_at_)
      return;
    poll_list_at_ = Time::zero();
    context_.emit(PollEndpointList{true});
  }

  void shed_overdue() {
    for (std::size_t c = 0; c < classes_.size(); ++c) {
      const auto queue = classes_[static_cast<ClassIndex>(c)].queue;  // a copy: finish() changes it
      for (const auto id : queue) {
        auto& request = requests_.at(id);
        if (context_.now - request.queued_at > shedder_.max_queue_time(request))
          requests_.finish(request, UnservedReason::queued_too_long);
      }
    }
  }

  // With a large pool, health checks keep the load reports of all engines recent, unless answers carry them.
  void check_engine_health() {
    if (fleet_.has_small_pool() || settings_.answers_report_load) return;
    for (auto* engine : fleet_.ready()) health_checker_.check_if_stale(*engine, 0);
  }

  void draw_slow_start_permits(double elapsed_seconds) {
    fleet_.update_warm_cores();
    slow_start_.draw_permits(
        elapsed_seconds, fleet_.ready(),
        {classes_.lightest_work(), classes_.heaviest_work(), classes_.mean_arriving_work()});
  }

  // Runs the control loop, once per control period.
  void sample() {
    quotas_.measure_arrival_rate(to_seconds(context_.now - sampled_at_));
    sampled_at_ = context_.now;
    overload_.adapt();
    latency_.cap_stale_ratios(fleet_.ready());
    thread_budgets_.sample();
  }

  // Sends one request of the highest-ranked class that can send one: among the classes below their thread
  // budget, or among those that have used it up and take threads that others leave free.
  bool send_one(bool within_budget) {
    return std::ranges::any_of(classes_.by_rank(), [&](ClassIndex cls) {
      const bool is_within = classes_[cls].running_threads < thread_budgets_.budget(cls);
      return is_within == within_budget && send_first_eligible(classes_[cls]);
    });
  }

  // Skips requests that wait for an earlier request of their ordering key or for the end of an attempt.
  bool send_first_eligible(ClassState& cls) {
    for (auto it = cls.queue.begin(); it != cls.queue.end(); ++it) {
      auto& request = requests_.at(*it);
      if (!rules_.is_next_for_key(request) || !rules_.may_add_attempt(request)) continue;
      Engine* engine = selector_.select(request);
      if (engine == nullptr && class_settings(settings_, request).locks_data_group) continue;
      if (engine == nullptr || !dispatcher_.send(request, *engine)) return false;
      cls.queue.erase(it);
      return true;
    }
    return false;
  }

  Settings settings_;
  Context context_;
  // Each module holds references only to modules declared above it.
  ClassTable classes_{settings_};
  SlowStart slow_start_{context_};
  Fleet fleet_{context_, slow_start_};
  LatencyMonitor latency_{context_};
  LoadEstimator load_{context_, fleet_, slow_start_, classes_};
  OverloadDetector overload_{context_, fleet_, latency_, load_};
  TenantQuotas quotas_{context_, fleet_, overload_};
  LoadShedder shedder_{context_, classes_, latency_, load_, overload_, quotas_};
  HealthChecker health_checker_{context_};
  OrderingKeys ordering_keys_;
  RetryBudgetLimiter retry_budget_{context_};
  SendRules rules_{context_, classes_, ordering_keys_, slow_start_, retry_budget_};
  RetryPolicy retries_{context_, fleet_, rules_, shedder_, retry_budget_};
  RequestTable requests_{context_, classes_, ordering_keys_};
  ThreadBudgetController thread_budgets_{context_, fleet_, classes_, requests_};
  AttemptTermsPolicy terms_{context_, classes_};
  Dispatcher dispatcher_{context_,
                         {rules_, slow_start_, terms_, fleet_, classes_, requests_, ordering_keys_,
                          retry_budget_, thread_budgets_}};
  OutlierDetector outliers_{context_, fleet_,
                            [this](const Engine& engine) { dispatcher_.cancel_all_for_retry(engine); }};
  OutcomeRecorder outcomes_{context_, fleet_, classes_, latency_, load_, outliers_, health_checker_};
  DataGroupAffinity affinity_{fleet_};
  EndpointScorer scorer_{context_, fleet_, classes_, slow_start_, latency_, load_, overload_, affinity_};
  EndpointSelector selector_{
      context_,
      {fleet_, classes_, load_, outliers_, rules_, scorer_, slow_start_, affinity_, health_checker_}};
  HedgingPolicy hedging_{context_, classes_, overload_, requests_, dispatcher_, selector_};
  AttemptMonitor monitor_{context_, classes_, fleet_, requests_, dispatcher_, hedging_, outliers_};
  Gossip gossip_{context_, fleet_, classes_, load_};

  bool started_ = false;
  Time sampled_at_{};
  Time ticked_at_{};
  Time poll_list_at_{};  // 0: no poll is scheduled
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
ClassStatus Scheduler::class_status(ClassIndex cls) const { return impl_->class_status(cls); }
double Scheduler::thread_pool() const { return impl_->thread_pool(); }
double Scheduler::load_level() const { return impl_->load_level(); }

}  // namespace bellstair::policy
