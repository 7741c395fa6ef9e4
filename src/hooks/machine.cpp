#include "hooks/machine.hpp"

#include <algorithm>
#include <array>
#include <lua.hpp>
#include <unordered_map>
#include <utility>

#include "hooks/decision_reader.hpp"
#include "hooks/lua_sandbox.hpp"
#include "hooks/request_handle.hpp"
#include "hooks/script_context.hpp"

namespace bellstair::hooks {
namespace {

constexpr std::array<const char*, kPhases> kHandlerNames{"on_request", "on_answer", "on_timer"};
constexpr const char* kLegacyRequestHandlerName = "admit";
constexpr std::size_t kMaxIdleThreads = 4;
// Free slots needed on a thread's stack to prepare a call and to read its decision.
constexpr int kCallStackSlots = 8, kDecisionStackSlots = 4;

struct CloseLua {
  void operator()(lua_State* lua) const { lua_close(lua); }
};

// A coroutine and the handle of its request.
struct Call {
  lua_State* thread = nullptr;
  int thread_ref = LUA_NOREF;       // protects the thread from garbage collection
  RequestHandle* handle = nullptr;  // a userdata on the thread's stack
  RequestView request;              // set once the call has yielded
};

std::string error_message(lua_State* lua) {
  if (lua_type(lua, -1) != LUA_TSTRING) return "it raised an error value that is not a text";
  std::size_t size = 0;
  const char* text = lua_tolstring(lua, -1, &size);
  return {text, std::min(size, kMaxMessageBytes)};
}

void fail(SliceResult& result, HookFailureKind failure, std::string text = {}) {
  result.outcome = SliceResult::Outcome::failed;
  result.failure = failure;
  result.text = std::move(text);
}

// Returns the first slice of a dry run's call.
RunSlice dry_run_call(const Spec& spec, Phase phase) {
  RunSlice run;
  run.phase = phase;
  run.first = true;
  run.slice = std::max<Time>(10 * spec.cpu_limit, std::chrono::milliseconds(100));
  run.now = std::chrono::system_clock::now().time_since_epoch();
  run.subject.statement = std::make_shared<const std::string>("SELECT 1");
  run.subject.statement_size = run.subject.statement->size();
  run.subject.limit = std::chrono::seconds(2);
  run.subject.kind = "served";
  run.subject.duration = std::chrono::milliseconds(5);
  run.subject.attempts = 1;
  return run;
}

}  // namespace

struct Machine::State : ScriptContext {
  using ScriptContext::ScriptContext;

  // The context is the base of the state, so that functions called by Lua can access both.
  static State& of(lua_State* lua) { return static_cast<State&>(ScriptContext::of(lua)); }

  // These functions run in protected mode because they may raise Lua errors.
  static int open(lua_State* lua) {
    open_sandbox(lua);
    return 0;
  }
  static int compile(lua_State* lua);
  static int find_handlers(lua_State* lua);
  static int prepare_call(lua_State* lua);

  // Returns false and sets `problem` if the function raises an error.
  bool call_protected(lua_CFunction function, int results, std::string& problem);
  bool create(std::string& problem);
  bool run_body(Time load_timeout, std::string& problem);

  void begin_slice(lua_State* thread, Time slice, Time moment);
  bool begin_call(const RunSlice& run, Call& call, SliceResult& result);
  int resume(Call& call, const RunSlice& run, SliceResult& result);
  void store_yielded_call(RunSlice& run, Call& call);
  void complete(Call& call, Phase phase, SliceResult& result);
  void release(Call& call, bool reusable);

  std::unique_ptr<lua_State, CloseLua> main_thread;
  std::array<int, kPhases> handlers{LUA_NOREF, LUA_NOREF, LUA_NOREF};  // registry references
  std::unordered_map<JobId, Call> calls;                               // calls that have yielded
  std::vector<Call> idle_threads;                                      // threads to reuse for later calls
  const RunSlice* new_run = nullptr;                                   // arguments of prepare_call()
  Call* new_call = nullptr;
};

int Machine::State::compile(lua_State* lua) {
  const auto& spec = of(lua).spec;
  if (luaL_loadbufferx(lua, spec.source.data(), spec.source.size(), ("=" + spec.name).c_str(), "t") != LUA_OK)
    lua_error(lua);
  return 1;
}

int Machine::State::find_handlers(lua_State* lua) {
  auto& self = of(lua);
  for (std::size_t phase = 0; phase < kPhases; ++phase) {
    if (!self.spec.phases[phase]) continue;
    lua_getglobal(lua, kHandlerNames[phase]);
    if (phase == 0 && lua_isnil(lua, -1)) lua_getglobal(lua, kLegacyRequestHandlerName);
    if (!lua_isfunction(lua, -1)) luaL_error(lua, "it defines no function '%s'", kHandlerNames[phase]);
    self.handlers[phase] = luaL_ref(lua, LUA_REGISTRYINDEX);
  }
  return 0;
}

// Pushes onto the call's thread its argument, the handler and the argument again. The lower copy keeps the
// request handle alive as long as the call, whatever the script does with the other copy.
int Machine::State::prepare_call(lua_State* lua) {
  auto& self = of(lua);
  const auto& run = *self.new_run;
  auto& call = *self.new_call;
  if (call.thread == nullptr) {
    call.thread = lua_newthread(lua);
    call.thread_ref = luaL_ref(lua, LUA_REGISTRYINDEX);
  }
  if (lua_checkstack(call.thread, kCallStackSlots) == 0) luaL_error(lua, "not enough memory");
  if (run.phase == Phase::timer) {
    lua_pushnil(lua);
  } else {
    call.handle = push_request_handle(lua, self.request_handle_refs, run.subject, run.phase);
  }
  lua_rawgeti(lua, LUA_REGISTRYINDEX, self.handlers[static_cast<std::size_t>(run.phase)]);
  lua_pushvalue(lua, -2);
  lua_xmove(lua, call.thread, 3);
  return 0;
}

bool Machine::State::call_protected(lua_CFunction function, int results, std::string& problem) {
  lua_pushcfunction(main_thread.get(), function);
  if (lua_pcall(main_thread.get(), 0, results, 0) == LUA_OK) return true;
  problem = error_message(main_thread.get());
  lua_settop(main_thread.get(), 0);
  return false;
}

bool Machine::State::create(std::string& problem) {
  main_thread.reset(lua_newstate(LuaAllocator::reallocate, &allocator));
  if (main_thread == nullptr) {
    problem = "its memory limit is too small to create a Lua state";
    return false;
  }
  *static_cast<ScriptContext**>(lua_getextraspace(main_thread.get())) = this;
  return call_protected(open, 0, problem) && call_protected(compile, 1, problem);
}

// Runs the compiled script on top of the stack, which defines the handlers.
bool Machine::State::run_body(Time load_timeout, std::string& problem) {
  lua_State* thread = lua_newthread(main_thread.get());
  lua_insert(main_thread.get(), -2);
  lua_xmove(main_thread.get(), thread, 1);
  begin_slice(thread, load_timeout, Time::zero());
  int results = 0;
  const int status = lua_resume(thread, main_thread.get(), 0, &results);
  static_cast<void>(slice_timer.end());
  if (status != LUA_OK) {
    problem = status == LUA_YIELD ? "it took too long to load" : error_message(thread);
    return false;
  }
  lua_settop(main_thread.get(), 0);
  return call_protected(find_handlers, 0, problem);
}

void Machine::State::begin_slice(lua_State* thread, Time slice, Time moment) {
  now = moment;
  log_lines.clear();
  slice_timer.begin(thread, slice);
}

bool Machine::State::begin_call(const RunSlice& run, Call& call, SliceResult& result) {
  if (!idle_threads.empty()) {
    call = std::move(idle_threads.back());
    idle_threads.pop_back();
  }
  new_run = &run;
  new_call = &call;
  allocator.reset_peak();
  std::string problem;
  if (call_protected(prepare_call, 0, problem)) return true;
  if (call.thread != nullptr) release(call, false);
  fail(result, HookFailureKind::memory, std::move(problem));
  result.memory = allocator.used();
  return false;
}

// Runs one slice. Returns the status of lua_resume().
int Machine::State::resume(Call& call, const RunSlice& run, SliceResult& result) {
  begin_slice(call.thread, run.slice, run.now);
  int results = 0;
  const int status = lua_resume(call.thread, main_thread.get(), run.first ? 1 : 0, &results);
  result.cpu = slice_timer.end();
  result.instructions = slice_timer.instructions();
  result.memory = allocator.used();
  result.log_lines = std::move(log_lines);
  if (status == LUA_YIELD) lua_pop(call.thread, results);
  return status;
}

void Machine::State::store_yielded_call(RunSlice& run, Call& call) {
  call.request = std::move(run.subject);
  auto& stored = calls.emplace(run.job, std::move(call)).first->second;
  if (stored.handle != nullptr) stored.handle->request = &stored.request;
}

// Reads the result of a call that has returned.
void Machine::State::complete(Call& call, Phase phase, SliceResult& result) {
  if (phase != Phase::request || lua_gettop(call.thread) <= 1) return;
  if (lua_checkstack(call.thread, kDecisionStackSlots) == 0) return;
  lua_settop(call.thread, 2);  // the first result, above the argument that prepare_call() pushed
  auto problem = read_decision(call.thread, request_handle_refs, result.decision);
  if (problem.empty()) return;
  result.decision = {};
  fail(result, HookFailureKind::invalid_decision, std::move(problem));
}

// Frees the thread, or stores it for another call. After an error or abort the thread is freed, since its
// stack may have grown.
void Machine::State::release(Call& call, bool reusable) {
  if (call.handle != nullptr) call.handle->request = nullptr;
  call.handle = nullptr;
  call.request = {};
  if (!reusable && lua_resetthread(call.thread) != LUA_OK) lua_settop(call.thread, 0);
  if (reusable && idle_threads.size() < kMaxIdleThreads) {
    lua_settop(call.thread, 0);
    idle_threads.push_back(std::move(call));
  } else {
    luaL_unref(main_thread.get(), LUA_REGISTRYINDEX, call.thread_ref);
  }
}

Machine::Machine(std::unique_ptr<State> state) : state_(std::move(state)) {}
Machine::~Machine() = default;

std::unique_ptr<Machine> Machine::make(const Spec& spec, const SettingNames& names, Time load_timeout,
                                       std::string& problem) {
  auto state = std::make_unique<State>(spec, names);
  if (!state->create(problem)) return nullptr;
  if (!state->run_body(load_timeout, problem)) return nullptr;
  state->allocator.reset_peak();
  return std::unique_ptr<Machine>(new Machine(std::move(state)));
}

std::string Machine::dry_run() {
  Store scratch(state_->spec.store_limit);
  auto* const store = std::exchange(state_->store, &scratch);
  std::string problem;
  for (std::size_t phase = 0; phase < kPhases && problem.empty(); ++phase) {
    if (!state_->spec.phases[phase]) continue;
    const auto result = run(dry_run_call(state_->spec, static_cast<Phase>(phase)));
    if (result.outcome == SliceResult::Outcome::yielded) {
      problem = std::string(kHandlerNames[phase]) + ": " + name(HookFailureKind::time);
      abort(result.job);
    } else if (result.outcome == SliceResult::Outcome::failed) {
      problem = std::string(kHandlerNames[phase]) + ": " + name(result.failure) + ": " + result.text;
    }
  }
  state_->store = store;
  return problem;
}

void Machine::set_store(Store* store) { state_->store = store; }
void Machine::set_names(std::shared_ptr<const SettingNames> names) { state_->names = std::move(names); }

SliceResult Machine::run(RunSlice run) {
  auto& self = *state_;
  SliceResult result;
  result.job = run.job;
  result.hook = run.hook;
  self.now = run.now;
  Call new_call;
  Call* call = &new_call;
  if (run.first) {
    if (!self.begin_call(run, new_call, result)) return result;
  } else {
    const auto found = self.calls.find(run.job);
    if (found == self.calls.end()) {  // the call started on a machine that has been replaced
      fail(result, HookFailureKind::circuit_open);
      return result;
    }
    call = &found->second;
  }
  const int status = self.resume(*call, run, result);
  if (status == LUA_YIELD) {
    result.outcome = SliceResult::Outcome::yielded;
    if (run.first) self.store_yielded_call(run, *call);
    return result;
  }
  if (status == LUA_OK) {
    self.complete(*call, run.phase, result);
  } else {
    fail(result, status == LUA_ERRMEM ? HookFailureKind::memory : HookFailureKind::error,
         error_message(call->thread));
  }
  self.release(*call, status == LUA_OK);
  if (!run.first) self.calls.erase(run.job);
  return result;
}

void Machine::abort(JobId job) {
  const auto found = state_->calls.find(job);
  if (found == state_->calls.end()) return;
  state_->release(found->second, false);
  state_->calls.erase(found);
}

std::size_t Machine::memory() const { return state_->allocator.used(); }
std::size_t Machine::memory_peak() const { return state_->allocator.peak(); }

}  // namespace bellstair::hooks
