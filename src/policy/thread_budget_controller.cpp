#include "policy/thread_budget_controller.hpp"

#include <algorithm>

#include "policy/units.hpp"

namespace bellstair::policy {
namespace {
constexpr double kGain = -0.80;             // tenths of the pool, for an error of one wait objective
constexpr double kGainPoolFraction = 0.10;  // unit of the gain, which scales it with the fleet
constexpr double kZero = 0.30;              // r of the equation: the part of the last error subtracted
constexpr double kWaitFraction = 0.30;      // of the latency objective; the rest is left for running
constexpr double kMaxError = 3.0;           // wait objectives
}  // namespace

ThreadBudgetController::ThreadBudgetController(const Context& context, const Fleet& fleet,
                                               const ClassTable& classes, const RequestTable& requests)
    : context_(context), fleet_(fleet), classes_(classes), requests_(requests) {
  for (const auto& cls : context.settings.classes) {
    controllers_.emplace_back();
    controllers_.back().output = cls.threads;
  }
}

void ThreadBudgetController::record_dequeued(const Request& request) {
  auto& controller = controllers_[request.arrival.cls];
  controller.wait_seconds += to_seconds(context_.now - request.queued_at);
  ++controller.sent;
}

void ThreadBudgetController::divide_pool() {
  const double pool = fleet_.thread_pool();
  double left = pool;
  for (const auto cls : classes_.by_rank()) {
    auto& controller = controllers_[cls];
    const double minimum = context_.settings.classes[cls].threads;
    const double wanted = std::clamp(controller.output, minimum, std::max(minimum, pool));
    controller.budget = std::max(minimum, std::min(wanted, left));
    left = std::max(0.0, left - controller.budget);
  }
}

void ThreadBudgetController::sample() {
  double wanted = 0;
  for (const auto& controller : controllers_) wanted += controller.output;
  const bool saturated = wanted > fleet_.thread_pool();
  for (const auto cls : classes_.by_rank()) update(cls, saturated);
}

// Includes queries that are still queued, so that the wait of a class is seen even if none of its queries are
// sent.
double ThreadBudgetController::mean_wait_seconds(ClassIndex cls) const {
  const auto& controller = controllers_[cls];
  const auto& queue = classes_[cls].queue;
  const double count = controller.sent + static_cast<double>(queue.size());
  double sum = controller.wait_seconds;
  for (const auto id : queue) sum += to_seconds(context_.now - requests_.at(id).queued_at);
  return count > 0 ? sum / count : 0;
}

// Anti-windup: while the outputs exceed the pool, the next output starts from the budget that was granted.
void ThreadBudgetController::update(ClassIndex cls, bool saturated) {
  auto& controller = controllers_[cls];
  const auto& settings = context_.settings.classes[cls];
  const double pool = fleet_.thread_pool();
  const double objective = kWaitFraction * to_seconds(settings.latency_objective);
  const double error = std::max(-kMaxError, (objective - mean_wait_seconds(cls)) / objective);
  const double previous = saturated ? controller.budget : controller.output;
  const double change = kGain * kGainPoolFraction * pool * (error - kZero * controller.last_error);
  const double minimum = settings.threads;
  controller.output = std::clamp(previous + change, minimum, std::max(minimum, pool));
  controller.last_error = error;
  controller.wait_seconds = 0;
  controller.sent = 0;
}

}  // namespace bellstair::policy
