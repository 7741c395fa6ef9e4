// Runs hooks on the requests of test cases in JSON, one case after another, as the broker would call them.
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

// Uses the broker's own hooks::HookScheduler; the machines run on the calling thread. The clock advances only
// by the "after" of each case and, when the budget of CPU time is used up, until more is available.
class HookCaseRunner {
 public:
  HookCaseRunner(hooks::LoadResult loaded, hooks::SettingNames names);

  // Returns the outcome, with all calls under "calls". Throws std::runtime_error or a JSON error if the case
  // is invalid.
  [[nodiscard]] nlohmann::json run(const nlohmann::json& test_case);

 private:
  struct LoadedHook {
    hooks::Spec spec;
    std::unique_ptr<hooks::Store> store;
    std::unique_ptr<hooks::Machine> machine;
  };

  [[nodiscard]] hooks::RequestView read_request(const nlohmann::json& request) const;
  [[nodiscard]] nlohmann::json outcome_of(const hooks::HookCompletion& completion) const;
  void step();
  void execute(const hooks::RunSlice& run);
  void execute(const hooks::AbortCall& abort_call);
  void execute(const hooks::RenewMachine& renew);
  void execute(const hooks::RetireMachine& retire);
  [[nodiscard]] nlohmann::json& call_report(hooks::JobId job, const std::string& hook);

  hooks::HookScheduler scheduler_;
  hooks::SettingNames names_;
  std::unordered_map<hooks::HookId, LoadedHook> hooks_;
  hooks::Time now_ = std::chrono::system_clock::now().time_since_epoch();
  nlohmann::json calls_;  // of the current case
};

}  // namespace bellstair::app
