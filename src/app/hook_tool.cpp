#include "app/hook_tool.hpp"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <type_traits>
#include <utility>
#include <vector>

#include "app/broker.hpp"
#include "app/hook_case_runner.hpp"
#include "config/fronts.hpp"
#include "hooks/load.hpp"

namespace bellstair::app {
namespace {
using nlohmann::json;

struct Case {
  std::size_t line = 0;  // in the file, from 1
  json content;
};

// The names that hooks and cases may use, as maps from name to position and from position to name.
struct KnownNames {
  config::Names indexes;
  hooks::SettingNames names;
};

std::vector<Case> read_cases(const std::string& path) {
  std::istringstream in(config::read_file(path, "cases"));
  std::vector<Case> out;
  std::string line;
  for (std::size_t number = 1; std::getline(in, line); ++number) {
    if (line.find_first_not_of(" \t\r") == std::string::npos) continue;
    auto content = json::parse(line, nullptr, false);
    if (!content.is_object())
      throw std::runtime_error(path + ":" + std::to_string(number) + ": is not a JSON object");
    out.push_back({number, std::move(content)});
  }
  return out;
}

KnownNames names_of_config(const std::string& path) {
  const auto config = config::parse(config::read_file(path, "configuration"));
  return {config.names, names_of(config)};
}

// Adds a name to both maps at the next position, unless it is empty or already there.
template <class Indexes>
void add_name(Indexes& indexes, std::vector<std::string>& names, const std::string& name) {
  using Index = typename Indexes::mapped_type;
  if (!name.empty() && indexes.emplace(name, static_cast<Index>(names.size())).second) names.push_back(name);
}

KnownNames names_of_cases(const std::vector<Case>& cases) {
  KnownNames out;
  out.names.fronts = config::kFrontNames;
  for (const auto* name : {"lookup", "report", "load"})
    add_name(out.indexes.classes, out.names.classes, name);
  for (const auto& test_case : cases) {
    const auto request = test_case.content.value("request", json::object());
    add_name(out.indexes.classes, out.names.classes, request.value("class", ""));
    add_name(out.indexes.tenants, out.names.tenants, request.value("tenant", ""));
  }
  out.indexes.class_names = out.names.classes;
  return out;
}

// Copies names that were added only to `indexes` into `names`.
template <class Indexes>
void complete_names(const Indexes& indexes, std::vector<std::string>& names) {
  for (const auto& [name, index] : indexes) {
    if (index >= names.size()) names.resize(index + 1U);
    names[index] = name;
  }
}

void print_loaded(const hooks::LoadResult& loaded) {
  for (std::size_t i = 0; i < loaded.machines.size(); ++i)
    std::printf("hook \"%s\" is valid: uses %zu bytes of memory after loading\n",
                loaded.set.hooks[i].name.c_str(), loaded.machines[i]->memory());
  if (loaded.machines.empty()) std::puts("the file defines no hooks");
}

// Describes each key whose value differs from the expected one; empty if none does.
std::string find_differences(const json& expected, const json& found) {
  std::string out;
  for (const auto& [key, value] : expected.items()) {
    const auto actual = found.contains(key) ? found.at(key) : json();
    if (actual != value)
      out += (out.empty() ? "" : "; ") + key + " is " + actual.dump() + ", not " + value.dump();
  }
  return out;
}

// Runs one case and prints its outcome. Returns whether the outcome is as expected.
bool run_case(HookCaseRunner& runner, const Case& test_case) {
  auto out = runner.run(test_case.content);
  for (auto& call : out["calls"]) call.erase("job");
  out["case"] = test_case.content.value("name", "line " + std::to_string(test_case.line));
  const auto differences = find_differences(test_case.content.value("expect", json::object()), out);
  if (!differences.empty()) out["wrong"] = differences;
  std::puts(out.dump(-1, ' ', false, json::error_handler_t::replace).c_str());
  return differences.empty();
}

// Returns the number of cases whose outcome is not as expected. `path`: the file of the cases, for errors.
int run_cases(HookCaseRunner& runner, const std::vector<Case>& cases, const std::string& path) {
  int failed = 0;
  for (const auto& test_case : cases) {
    try {
      if (!run_case(runner, test_case)) ++failed;
    } catch (const std::exception& error) {
      throw std::runtime_error(path + ":" + std::to_string(test_case.line) + ": " + error.what());
    }
  }
  return failed;
}

int check_or_run(bool run, const std::string& file, const std::string& config,
                 const std::string& cases_file) {
  if (run && cases_file.empty()) throw std::runtime_error("'hook run' needs the option --cases FILE");
  const auto text = config::read_file(file, "fronts");
  std::vector<Case> cases;
  if (run) cases = read_cases(cases_file);
  auto known = config.empty() ? names_of_cases(cases) : names_of_config(config);
  auto set = config::parse_hooks(text, file, known.indexes, config.empty());
  if (config.empty()) {
    complete_names(known.indexes.tenants, known.names.tenants);
    complete_names(known.indexes.classes, known.names.classes);
  }
  auto loaded = hooks::load(std::move(set), known.names);
  for (const auto& problem : loaded.problems) std::fprintf(stderr, "bellstair: %s\n", problem.c_str());
  if (!loaded.problems.empty()) return 1;
  if (!run) {
    print_loaded(loaded);
    return 0;
  }
  HookCaseRunner runner(std::move(loaded), known.names);
  const int failed = run_cases(runner, cases, cases_file);
  std::fprintf(stderr, "%zu cases, %d wrong\n", cases.size(), failed);
  return failed == 0 ? 0 : 1;
}

}  // namespace

int hook_tool(bool run, const std::string& file, const std::string& config, const std::string& cases) {
  try {
    return check_or_run(run, file, config, cases);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "bellstair: %s\n", error.what());
    return 1;
  }
}

}  // namespace bellstair::app
