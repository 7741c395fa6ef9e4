// What hooks cost a request, from its arrival in the core until the module has it or would have it: no hooks,
// an empty one, a typical one, ten of them. Each iteration is one request, taken and cancelled; what hooks
// cost is the difference to none.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstdlib>
#include <new>

#include "hooks/machine.hpp"
#include "small_core.hpp"

namespace {
std::size_t allocations = 0;
}
extern "C" {
void* __libc_malloc(std::size_t);
void* __libc_realloc(void*, std::size_t);
void* malloc(std::size_t size) {
  ++allocations;
  return __libc_malloc(size);
}
void* realloc(void* block, std::size_t size) {
  ++allocations;
  return __libc_realloc(block, size);
}
}

namespace bellstair {
namespace {
using namespace std::chrono_literals;

constexpr const char* kEmpty = "function on_request(r) end";
constexpr const char* kTypical = R"(function on_request(r)
  if r.class == "lookup" and string.contains(r.statement, "pupils") then
    local n = state.incr(r.tenant, 60)
    if n > 1e9 then return {refuse = 500} end
    return {ram = 32, tags = {"pupil"}}
  end
end)";
constexpr const char* kOther =
    R"(function on_request(r) if r.class == "report" then return {refuse = 1} end end)";

const hooks::SettingNames kWords{{"lookup"}, {"lycee-ennour"}, {"platform", "mysql"}};

policy::Settings settings() {
  auto s = test::small_settings();
  s.tenants.resize(1);
  s.tenants[0].name = "lycee-ennour";
  return s;
}

struct World {
  hooks::Set set;
  std::vector<std::unique_ptr<hooks::Machine>> machines;
  hooks::Store store{64 << 10};
  core::Reducer reducer;
  core::Effects effects;
  std::vector<core::Event> events;
  core::Time now = 1'700'000'000s;
  core::ClientHandle client = 0;

  explicit World(const std::vector<const char*>& scripts, std::string contains = {})
      : set(make(scripts, contains)), reducer(settings(), 1, std::size_t{64} << 20, set) {
    for (const auto& spec : set.hooks) {
      std::string problem;
      machines.push_back(hooks::Machine::make(spec, kWords, 1s, problem));
      if (!machines.back()) std::abort();
      machines.back()->set_store(&store);
    }
  }
  static hooks::Set make(const std::vector<const char*>& scripts, const std::string& contains) {
    hooks::Set out;
    out.limits.cpu_share = 0.9;  // the virtual clock is slower than the one that hooks are measured by
    out.limits.max_burst = 1h;
    out.limits.max_turn_cpu = 1h;
    for (const char* script : scripts) {
      hooks::Spec spec;
      spec.id = static_cast<hooks::HookId>(out.hooks.size() + 1);
      spec.name = "h" + std::to_string(spec.id);
      spec.phases[0] = true;
      spec.source = script;
      spec.match.contains = contains;
      out.hooks.push_back(spec);
    }
    return out;
  }
  void feed(core::Event event) {
    events.push_back(std::move(event));
    while (!events.empty()) {
      auto next = std::move(events.back());
      events.pop_back();
      effects.clear();
      reducer.reduce(now, std::move(next), effects);
      for (auto& effect : effects) {
        if (const auto* run = std::get_if<core::RunHook>(&effect))
          events.emplace_back(core::HookRan{machines[run->hook - 1]->run(*run)});
      }
    }
  }
  void request() {
    core::Submission asked;
    asked.client = ++client;
    asked.time_limit = 2s;
    asked.body =
        "SELECT name, class_of FROM marks_17.pupils WHERE pupil = 40217 AND year = 2026 ORDER BY name";
    feed(core::RequestReceived{std::move(asked)});
    feed(core::ClientCancelled{client});
    now += 10us;
    if (client % 512 == 0) feed(core::Tick{});
  }
};

void run(benchmark::State& state, const std::vector<const char*>& scripts, const std::string& contains = {}) {
  World world(scripts, contains);
  for (int i = 0; i < 1000; ++i) world.request();
  const auto before = allocations;
  for (auto _ : state) world.request();
  state.counters["allocations"] =
      benchmark::Counter(static_cast<double>(allocations - before), benchmark::Counter::kAvgIterations);
}

void none(benchmark::State& state) { run(state, {}); }
void unmatched(benchmark::State& state) { run(state, {kTypical}, "archive_"); }
void empty(benchmark::State& state) { run(state, {kEmpty}); }
void typical(benchmark::State& state) { run(state, {kTypical}); }
void chain_of_ten(benchmark::State& state) {
  std::vector<const char*> scripts(9, kOther);
  scripts.push_back(kTypical);
  run(state, scripts);
}
// Scripts that mean harm: how long the loop is held up by one slice of 100 us, at the most.
const std::pair<const char*, const char*> kHostile[] = {
    {"loop", "while true do end"},
    {"sort",
     "local t = {} for i = 1, 3000 do t[i] = -i end while true do table.sort(t, function(a, b) return true "
     "end) end"},
    {"strings", "local s = string.rep('a', 60000) while true do local x = s:upper() .. s end"},
    {"search", "local s = string.rep('a', 30000) while true do string.contains(s, s .. 'b') end"},
    {"compare",
     "local a, b = string.rep('a', 60000) .. 'x', string.rep('a', 60000) .. 'x' while true do local x = a == "
     "b end"},
    {"garbage", "while true do local t = {} for i = 1, 100 do t[i] = {} end end"},
    {"full", "local t = {} while true do pcall(function() while true do t[#t + 1] = {#t} end end) end"},
    {"rehash", "while true do local t = {} for i = 1, 4000 do t['k' .. i] = i end end"},
    {"recursion", "local function f(n) return 1 + f(n + 1) end while true do pcall(f, 1) end"},
    {"state", "for i = 1, 1e9 do pcall(state.set, 'k' .. i, 'v', 60) end"},
};
void longest_slice(benchmark::State& state) {
  const auto& [name, body] = kHostile[state.range(0)];
  state.SetLabel(name);
  World world({});
  hooks::Spec spec;
  spec.phases[0] = true;
  spec.source = "function on_request(r) " + std::string(body) + " end";
  std::string problem;
  const auto machine = hooks::Machine::make(spec, kWords, 1s, problem);
  if (!machine) return state.SkipWithError(problem.c_str());
  machine->set_store(&world.store);
  std::vector<double> took;
  hooks::JobId job = 0;
  for (auto _ : state) {
    hooks::RunSlice run;
    run.job = ++job;
    run.first = true;
    run.slice = 100us;
    run.now = 1s;
    run.subject.statement = std::make_shared<const std::string>("SELECT 2");
    for (int slice = 0; slice < 20; ++slice) {  // 2 ms: then it would be cut off
      const auto from = std::chrono::steady_clock::now();
      const auto ran = machine->run(run);
      took.push_back(
          std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - from).count());
      if (ran.outcome != hooks::SliceResult::Outcome::yielded) break;
      run.first = false;
    }
    machine->abort(job);
  }
  std::ranges::sort(took);
  state.counters["us_p99"] = took[took.size() * 99 / 100];
  state.counters["us_longest"] = took.back();
}

BENCHMARK(none);
BENCHMARK(unmatched);
BENCHMARK(empty);
BENCHMARK(typical);
BENCHMARK(chain_of_ten);
BENCHMARK(longest_slice)->DenseRange(0, 9)->Iterations(200);

}  // namespace
}  // namespace bellstair

BENCHMARK_MAIN();
