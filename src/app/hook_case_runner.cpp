#include "app/hook_case_runner.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>
#include <variant>

namespace bellstair::app {
namespace {
using nlohmann::json;
using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr hooks::Time kClockStep = std::chrono::microseconds(100);

hooks::Time read_milliseconds(const json& in, const char* key, double fallback) {
  return hooks::Time(static_cast<std::int64_t>(in.value(key, fallback) * 1e6));
}

// `what`: the kind of name (class, tenant, front) for the error message.
std::uint16_t index_of(const std::vector<std::string>& names, const std::string& name, const char* what) {
  const auto found = std::ranges::find(names, name);
  if (found == names.end()) throw std::runtime_error(std::string(what) + " '" + name + "' is not known");
  return static_cast<std::uint16_t>(found - names.begin());
}

std::string statement_of(const json& request) { return request.value("statement", "SELECT 1"); }

std::string first_of(const std::vector<std::string>& names) { return names.empty() ? "" : names.front(); }

}  // namespace

HookCaseRunner::HookCaseRunner(hooks::LoadResult loaded, hooks::SettingNames names)
    : scheduler_(loaded.set), names_(std::move(names)) {
  for (std::size_t i = 0; i < loaded.machines.size(); ++i) {
    const auto& spec = loaded.set.hooks[i];
    auto& hook = hooks_[spec.id];
    hook.store = std::make_unique<hooks::Store>(spec.store_limit);
    loaded.machines[i]->set_store(hook.store.get());
    hook.machine = std::move(loaded.machines[i]);
    hook.spec = spec;
  }
}

json HookCaseRunner::run(const json& test_case) {
  const auto request = test_case.value("request", json::object());
  auto request_view = read_request(request);
  now_ += read_milliseconds(test_case, "after", 1000);
  calls_ = json::array();
  json out{{"pass", "untouched"}};
  if (scheduler_.submit(now_, 1, std::move(request_view), statement_of(request))) {
    while (scheduler_.completions.empty()) step();
    out = outcome_of(std::exchange(scheduler_.completions, {}).front());
  }
  while (!scheduler_.commands.empty() || !scheduler_.log_lines.empty()) step();
  out["calls"] = calls_;
  return out;
}

hooks::RequestView HookCaseRunner::read_request(const json& request) const {
  hooks::RequestView request_view;
  request_view.cls = index_of(names_.classes, request.value("class", first_of(names_.classes)), "class");
  request_view.tenant = index_of(names_.tenants, request.value("tenant", first_of(names_.tenants)), "tenant");
  request_view.front =
      static_cast<std::uint8_t>(index_of(names_.fronts, request.value("front", "platform"), "front"));
  request_view.statement_size = statement_of(request).size();
  request_view.limit = read_milliseconds(request, "limit", 2000);
  if (request.contains("cpu")) request_view.cpu = read_milliseconds(request, "cpu", 0);
  request_view.ram = request.value("ram", 0.0);
  request_view.group = request.value("group", std::int64_t{0});
  request_view.second = request.value("second", false);
  return request_view;
}

json HookCaseRunner::outcome_of(const hooks::HookCompletion& completion) const {
  json out{{"pass", completion.refused ? "refused" : "taken"},
           {"tags", completion.subject.tags},
           {"ram", completion.subject.ram},
           {"second", completion.subject.second}};
  if (completion.subject.cpu) out["cpu"] = Milliseconds(*completion.subject.cpu).count();
  if (completion.refused) {
    out["refuse"] = Milliseconds(*completion.refused).count();
    out["by"] = hooks_.at(completion.by).spec.name;
  }
  return out;
}

void HookCaseRunner::step() {
  scheduler_.begin_turn(now_);
  scheduler_.dispatch(now_);
  if (scheduler_.commands.empty()) {
    now_ = std::max(now_ + kClockStep, scheduler_.due(now_).value_or(now_));
    scheduler_.tick(now_);
  }
  for (auto& command : std::exchange(scheduler_.commands, {}))
    std::visit([this](const auto& each) { execute(each); }, command);
  scheduler_.log_lines.clear();
}

void HookCaseRunner::execute(const hooks::RunSlice& run) {
  auto& hook = hooks_.at(run.hook);
  auto result = hook.machine->run(run);
  auto& call = call_report(run.job, hook.spec.name);
  call["us"] = call["us"].get<double>() + std::chrono::duration<double, std::micro>(result.cpu).count();
  call["instructions"] = call["instructions"].get<std::uint64_t>() + result.instructions;
  call["slices"] = call["slices"].get<int>() + 1;
  call["memory"] = std::max(call["memory"].get<std::size_t>(), hook.machine->memory_peak());
  if (result.outcome == hooks::SliceResult::Outcome::failed)
    call["failed"] = std::string(hooks::name(result.failure)) + ": " + result.text;
  for (const auto& line : result.log_lines) call["said"].push_back(line);
  scheduler_.on_slice_result(now_, std::move(result));
}

void HookCaseRunner::execute(const hooks::AbortCall& abort_call) {
  auto& hook = hooks_.at(abort_call.hook);
  hook.machine->abort(abort_call.job);
  call_report(abort_call.job, hook.spec.name)["failed"] = "the call was aborted";
}

// Keeps the old machine in use instead of creating a new one.
void HookCaseRunner::execute(const hooks::RenewMachine& renew) {
  scheduler_.on_machine_renewed(now_, {renew.hook, {}});
}

void HookCaseRunner::execute(const hooks::RetireMachine&) {}  // hooks are never replaced here

json& HookCaseRunner::call_report(hooks::JobId job, const std::string& hook) {
  for (auto& call : calls_) {
    if (call["job"] == job) return call;
  }
  calls_.push_back(
      {{"job", job}, {"hook", hook}, {"us", 0.0}, {"instructions", 0}, {"slices", 0}, {"memory", 0}});
  return calls_.back();
}

}  // namespace bellstair::app
