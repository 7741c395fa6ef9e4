// Runs the hooks of one request after another, each of them a case in JSON, as the broker would call them.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "hooks/hook_scheduler.hpp"
#include "hooks/load.hpp"

namespace bellstair::app {

// Decisions are made by the broker's own hooks::Control; the machines run in place. The clock moves only by
// the cases' "after" and where the budget of CPU time is spent.
class HookCaseRunner {
 public:
  HookCaseRunner(hooks::LoadResult loaded, hooks::SettingNames names);

  // The outcome, with all calls under "calls". Throws std::runtime_error or a JSON error at a bad case.
  [[nodiscard]] nlohmann::json run(const nlohmann::json& test_case);

 private:
  struct LoadedHook {
    hooks::Spec spec;
    std::unique_ptr<hooks::Store> store;
    std::unique_ptr<hooks::Machine> machine;
  };

  [[nodiscard]] hooks::RequestView read_request(const nlohmann::json& request) const;
  [[nodiscard]] nlohmann::json outcome_of(const hooks::HookCompletion& passed) const;
  void step();
  void execute(const hooks::RunSlice& run);
  void execute(const hooks::AbortCall& drop);
  void execute(const hooks::RenewMachine& renew);
  void execute(const hooks::RetireMachine& retire);
  [[nodiscard]] nlohmann::json& call_report(hooks::JobId job, const std::string& hook);

  hooks::HookScheduler control_;
  hooks::SettingNames names_;
  std::unordered_map<hooks::HookId, LoadedHook> hooks_;
  hooks::Time now_ = std::chrono::system_clock::now().time_since_epoch();
  nlohmann::json calls_;  // of the case
};

}  // namespace bellstair::app
