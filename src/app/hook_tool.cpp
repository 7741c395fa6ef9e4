#include "app/hook_tool.hpp"

#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "app/broker.hpp"
#include "config/fronts.hpp"
#include "hcl/parse.hpp"
#include "hooks/control.hpp"
#include "hooks/load.hpp"

namespace bellstair::app {
namespace {
using nlohmann::json;
using Milliseconds = std::chrono::duration<double, std::milli>;

hooks::Time ms(const json& in, const char* key, double otherwise) {
  return hooks::Time(static_cast<std::int64_t>(in.value(key, otherwise) * 1e6));
}

// The chain of one case, as the broker would call it: decisions by the same Control, machines driven in
// place.
class Rig {
 public:
  Rig(hooks::Loaded loaded, hooks::Words words) : control_(loaded.set), words_(std::move(words)) {
    for (std::size_t i = 0; i < loaded.machines.size(); ++i) {
      const auto& spec = loaded.set.hooks[i];
      auto& held = held_[spec.id];
      held.store = std::make_unique<hooks::Store>(spec.state);
      loaded.machines[i]->set_store(held.store.get());
      held.machine = std::move(loaded.machines[i]);
      held.spec = spec;
    }
  }

  json play(const json& item) {
    const auto request = item.value("request", json::object());
    hooks::Subject subject;
    subject.cls =
        index(words_.classes, request.value("class", words_.classes.empty() ? "" : words_.classes.front()),
              "class");
    subject.tenant =
        index(words_.tenants, request.value("tenant", words_.tenants.empty() ? "" : words_.tenants.front()),
              "tenant");
    subject.front =
        static_cast<std::uint8_t>(index(words_.fronts, request.value("front", "platform"), "front"));
    const auto statement = request.value("statement", "SELECT 1");
    subject.statement_size = statement.size();
    subject.limit = ms(request, "limit", 2000);
    if (request.contains("cpu")) subject.cpu = ms(request, "cpu", 0);
    subject.ram = request.value("ram", 0.0);
    subject.group = request.value("group", std::int64_t{0});
    subject.second = request.value("second", false);
    now_ += ms(item, "after", 1000);
    calls_ = json::array();
    json out{{"pass", "untouched"}};
    if (control_.enter(now_, 1, std::move(subject), statement)) {
      while (control_.passed.empty()) step();
      const auto passed = std::exchange(control_.passed, {}).front();
      out = {{"pass", passed.refused ? "refused" : "taken"},
             {"tags", passed.subject.tags},
             {"ram", passed.subject.ram},
             {"second", passed.subject.second}};
      if (passed.subject.cpu) out["cpu"] = Milliseconds(*passed.subject.cpu).count();
      if (passed.refused) {
        out["refuse"] = Milliseconds(*passed.refused).count();
        out["by"] = held_.at(passed.by).spec.name;
      }
    }
    while (!control_.commands.empty() || !control_.said.empty()) step();
    out["calls"] = calls_;
    return out;
  }

 private:
  struct Held {
    hooks::Spec spec;
    std::unique_ptr<hooks::Store> store;
    std::unique_ptr<hooks::Machine> machine;
  };
  static std::uint16_t index(const std::vector<std::string>& names, const std::string& name,
                             const char* what) {
    const auto found = std::ranges::find(names, name);
    if (found == names.end()) throw std::runtime_error(std::string(what) + " '" + name + "' is not known");
    return static_cast<std::uint16_t>(found - names.begin());
  }

  void step() {
    control_.turn(now_);
    control_.dispatch(now_);
    // Where the budget is spent, time passes.
    if (control_.commands.empty()) {
      now_ = std::max(now_ + std::chrono::microseconds(100), control_.due(now_).value_or(now_));
      control_.tick(now_);
    }
    for (auto& command : std::exchange(control_.commands, {})) {
      if (const auto* run = std::get_if<hooks::Run>(&command)) {
        auto& held = held_.at(run->hook);
        auto ran = held.machine->run(*run);
        auto& call = call_of(run->job, held.spec.name);
        call["us"] = call["us"].get<double>() + std::chrono::duration<double, std::micro>(ran.cpu).count();
        call["instructions"] = call["instructions"].get<std::uint64_t>() + ran.instructions;
        call["slices"] = call["slices"].get<int>() + 1;
        call["memory"] = std::max(call["memory"].get<std::size_t>(), held.machine->memory_peak());
        if (ran.how == hooks::Ran::How::failed)
          call["failed"] = std::string(hooks::name(ran.failure)) + ": " + ran.text;
        for (const auto& line : ran.said) call["said"].push_back(line);
        control_.ran(now_, std::move(ran));
      } else if (const auto* drop = std::get_if<hooks::Drop>(&command)) {
        held_.at(drop->hook).machine->abort(drop->job);
        call_of(drop->job, held_.at(drop->hook).spec.name)["failed"] = "it was cut off";
      } else if (const auto* renew = std::get_if<hooks::Renew>(&command)) {
        control_.renewed(now_, {renew->hook, {}});
      }
    }
    control_.said.clear();
  }
  json& call_of(hooks::JobId job, const std::string& hook) {
    for (auto& call : calls_) {
      if (call["job"] == job) return call;
    }
    calls_.push_back(
        {{"job", job}, {"hook", hook}, {"us", 0.0}, {"instructions", 0}, {"slices", 0}, {"memory", 0}});
    return calls_.back();
  }

  hooks::Control control_;
  hooks::Words words_;
  std::unordered_map<hooks::HookId, Held> held_;
  hooks::Time now_ = std::chrono::system_clock::now().time_since_epoch();
  json calls_;
};

// What is expected and is not so; empty: all is well.
std::string difference(const json& expected, const json& found) {
  std::string out;
  for (const auto& [key, value] : expected.items()) {
    const auto is = found.contains(key) ? found.at(key) : json();
    if (is != value) out += (out.empty() ? "" : "; ") + key + " is " + is.dump() + ", not " + value.dump();
  }
  return out;
}

}  // namespace

int hook_tool(bool run, const std::string& file, const std::string& config, const std::string& cases) {
  try {
    if (run && cases.empty()) throw std::runtime_error("'hook run' needs --cases");
    const auto text = config::read_file(file, "fronts");
    std::vector<std::pair<std::size_t, json>> items;
    if (run) {
      std::istringstream in(config::read_file(cases, "cases"));
      std::string line;
      for (std::size_t number = 1; std::getline(in, line); ++number) {
        if (line.find_first_not_of(" \t\r") == std::string::npos) continue;
        auto item = json::parse(line, nullptr, false);
        if (!item.is_object())
          throw std::runtime_error(cases + ":" + std::to_string(number) + ": is not a JSON object");
        items.emplace_back(number, std::move(item));
      }
    }
    config::Names names;
    hooks::Words words;
    if (!config.empty()) {
      const auto known = config::parse(config::read_file(config, "configuration"));
      names = known.names;
      words = words_of(known);
    } else {
      words.fronts = config::kFrontNames;
      const auto add = [](auto& map, auto& list, const std::string& name) {
        using Index = typename std::remove_reference_t<decltype(map)>::mapped_type;
        if (!name.empty() && map.emplace(name, static_cast<Index>(list.size())).second) list.push_back(name);
      };
      for (const auto* name : {"lookup", "report", "load"}) add(names.classes, words.classes, name);
      for (const auto& [number, item] : items) {
        const auto request = item.value("request", json::object());
        add(names.classes, words.classes, request.value("class", ""));
        add(names.tenants, words.tenants, request.value("tenant", ""));
      }
      names.class_names = words.classes;
    }
    auto set = config::parse_hooks(text, file, names, config.empty());
    if (config.empty()) {
      // Tenants that only the file's matches name.
      for (const auto& [name, index] : names.tenants) {
        if (index >= words.tenants.size()) words.tenants.resize(index + 1U);
        words.tenants[index] = name;
      }
      for (const auto& [name, index] : names.classes) {
        if (index >= words.classes.size()) words.classes.resize(index + 1U);
        words.classes[index] = name;
      }
    }
    auto loaded = hooks::load(std::move(set), words);
    for (const auto& problem : loaded.problems) std::fprintf(stderr, "bellstair: %s\n", problem.c_str());
    if (!loaded.problems.empty()) return 1;
    if (!run) {
      for (std::size_t i = 0; i < loaded.machines.size(); ++i)
        std::printf("hook \"%s\" is fine: %zu bytes of memory once loaded\n",
                    loaded.set.hooks[i].name.c_str(), loaded.machines[i]->memory());
      if (loaded.machines.empty()) std::puts("there are no hooks");
      return 0;
    }
    Rig rig(std::move(loaded), words);
    int failed = 0;
    for (const auto& [number, item] : items) {
      try {
        auto out = rig.play(item);
        for (auto& call : out["calls"]) call.erase("job");
        out["case"] = item.value("name", "line " + std::to_string(number));
        if (const auto wrong = difference(item.value("expect", json::object()), out); !wrong.empty()) {
          out["wrong"] = wrong;
          ++failed;
        }
        std::puts(out.dump(-1, ' ', false, json::error_handler_t::replace).c_str());
      } catch (const std::exception& error) {
        throw std::runtime_error(cases + ":" + std::to_string(number) + ": " + error.what());
      }
    }
    std::fprintf(stderr, "%zu cases, %d wrong\n", items.size(), failed);
    return failed == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "bellstair: %s\n", error.what());
    return 1;
  }
}

}  // namespace bellstair::app
