#include "config/fronts.hpp"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <filesystem>

#include "hcl/parse.hpp"
#include "hcl/reader.hpp"
#include "net/socket.hpp"

namespace bellstair::config {
namespace {
using namespace std::chrono_literals;
using hcl::Reader;

constexpr std::int64_t kGiga = 1'000'000'000;
constexpr std::size_t kMaxHookName = 64;  // bytes

std::string secret(Reader& in, const char* name) {
  const auto variable = in.text(name);
  const char* value = std::getenv(variable.c_str());
  if (value == nullptr && !variable.empty())
    in.add_problem(name, "names an environment variable that is not set: '" + variable + "'");
  return value == nullptr ? "" : value;
}

std::string address(Reader& in, const char* name) {
  auto out = in.text(name);
  if (!out.empty() && !net::parse_address(out)) in.add_problem(name, "is not an address with a port");
  return out;
}

// The position of a name in the settings; reports an unknown name to `in`, with a suggestion.
template <class Map>
std::optional<typename Map::mapped_type> position(Reader& in, const char* field, const std::string& value,
                                                  const Map& names, const char* what) {
  if (const auto found = names.find(value); found != names.end()) return found->second;
  std::set<std::string> known;
  for (const auto& [name, index] : names) known.insert(name);
  const auto suggestion = hcl::nearest_name(value, known);
  in.add_problem(field, "'" + value + "' is not a " + what + " of the settings" +
                            (suggestion ? ": did you mean '" + *suggestion + "'?" : ""));
  return std::nullopt;
}

MysqlFront parse_mysql(Reader& in, const Names& names, bool directory) {
  MysqlFront out;
  out.listen = address(in, "listen");
  // With a directory, clients send their passwords in clear text, and this listener has no TLS.
  if (directory && !out.listen.empty() && !out.listen.starts_with("127."))
    in.add_problem("listen", "must be a loopback address if there is a directory");
  const auto add = [&](Reader& user, std::string name) {
    out.users.push_back({std::move(name), secret(user, "password_env"), user.text("tenant")});
    (void)position(user, "tenant", out.users.back().tenant, names.tenants, "tenant");
    user.finish();
  };
  for (auto& user : in.blocks("user", 1)) add(user.reader, user.labels[0]);
  for (auto& user : in.blocks("users")) {  // the syntax of older files
    auto name = user.reader.text("name");
    add(user.reader, std::move(name));
  }
  if (out.users.empty() && !directory)
    in.add_problem("", "defines no user, and there is no directory to look users up in");
  in.finish();
  return out;
}

Directory parse_directory(Reader& in) {
  Directory out;
  out.address = address(in, "address");
  out.base = in.text("base");
  out.bind_dn = in.text("bind_dn", "");
  if (!out.bind_dn.empty() || in.has("bind_password_env"))
    out.bind_password = secret(in, "bind_password_env");
  out.user_attribute = in.text("user_attribute", "uid");
  out.tenant_attribute = in.text("tenant_attribute", "o");
  out.timeout = in.duration("timeout", 2s, {1ms, 24h}, "timeout_ms");
  out.cache = in.duration("cache", 60s, {1ms, 24h}, "cache_ms");
  in.finish();
  return out;
}

hooks::Limits parse_limits(Reader& in) {
  hooks::Limits out;
  out.cpu_share = in.number("share", out.cpu_share, {0.01, 0.9});
  out.max_burst = in.duration("burst", out.max_burst, {100us, 100ms});
  out.max_turn_cpu = in.duration("turn", out.max_turn_cpu, {50us, 10ms});
  if (auto breaker = in.block("breaker")) {
    auto& b = breaker->reader;
    out.failure_threshold = static_cast<unsigned>(b.integer("failures", out.failure_threshold, {1, 1000}));
    out.open_duration = b.duration("pause", out.open_duration, {10ms, 1h});
    out.max_open_duration = b.duration("most_pause", out.max_open_duration, {10ms, 24h});
    out.success_threshold = static_cast<unsigned>(b.integer("trials", out.success_threshold, {1, 1000}));
    if (out.max_open_duration < out.open_duration) b.add_problem("most_pause", "is less than pause");
    b.finish();
  }
  in.finish();
  return out;
}

hooks::Match parse_match(Reader& in, const Names& names) {
  hooks::Match out;
  for (const auto& name : in.texts("class")) {
    if (const auto at = position(in, "class", name, names.classes, "class")) out.classes.push_back(*at);
  }
  for (const auto& name : in.texts("tenant")) {
    if (const auto at = position(in, "tenant", name, names.tenants, "tenant")) out.tenants.push_back(*at);
  }
  if (in.has("front")) out.front = static_cast<std::uint8_t>(in.choice("front", kFrontNames, 0));
  out.contains = in.text("statement_contains", "");
  if (out.contains.size() > 256) in.add_problem("statement_contains", "is longer than 256 bytes");
  in.finish();
  return out;
}

void check_hook_name(Reader& in, const std::string& name) {
  const auto allowed = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '_' || c == '-' || c == '.';
  };
  if (name.empty() || name.size() > kMaxHookName || !std::ranges::all_of(name, allowed))
    in.add_problem("", "a hook's name has 1 to 64 letters, digits, '-', '_' or '.'");
}

void parse_phases(Reader& in, hooks::Spec& out) {
  auto phases = in.texts("phases");
  if (!in.has("phases")) phases = {hooks::kPhaseNames[0]};
  for (const auto& phase : phases) {
    const auto found = std::ranges::find(hooks::kPhaseNames, phase);
    if (found == hooks::kPhaseNames.end()) {
      in.add_problem("phases", "'" + phase + R"(' is not a phase: expected "request", "answer" or "timer")");
    } else {
      out.phases[static_cast<std::size_t>(found - hooks::kPhaseNames.begin())] = true;
    }
  }
  if (phases.empty()) in.add_problem("phases", "names no phase");
}

void parse_hook_limits(Reader& in, hooks::Spec& out) {
  out.cpu_limit = in.duration("time", out.cpu_limit, {10us, 1s}, "time_ms");
  out.wait_timeout = in.duration("wait", std::max(out.wait_timeout, out.cpu_limit), {1ms, 10s});
  out.slice = in.duration("slice", out.slice, {20us, 2ms});
  out.timer_interval = in.duration("every", out.timer_interval, {10ms, 24h});
  out.instruction_limit = static_cast<std::uint64_t>(in.integer("instructions", 1'000'000, {1000, kGiga}));
  out.memory_limit = in.size("memory", out.memory_limit, {64 << 10, 64 << 20}, "memory_kb");
  out.store_limit = in.size("state", out.store_limit, {0, 64 << 20});
  out.max_concurrent_calls = static_cast<std::size_t>(in.integer("at_once", 8, {1, 256}));
}

hooks::Spec parse_hook(Reader& in, const std::string& name, const Names& names, const std::string& file) {
  hooks::Spec out;
  out.name = name;
  check_hook_name(in, name);
  const auto script = in.text("script");
  out.path = (std::filesystem::path(file).parent_path() / script).string();
  parse_phases(in, out);
  out.order = in.integer("order", 0, {-kGiga, kGiga});
  parse_hook_limits(in, out);
  out.reject_on_failure = in.choice("on_failure", {"pass", "refuse"}, 0) == 1;
  out.retry_after = in.duration("later", out.retry_after, {1ms, 1h});
  if (auto match = in.block("match")) out.match = parse_match(match->reader, names);
  if (in.has("every") && !out.phases[static_cast<std::size_t>(hooks::Phase::timer)])
    in.add_problem("every", "is for phase \"timer\" only");
  in.finish();
  return out;
}

hooks::Set parse_hooks(Reader& top, const Names& names, const std::string& file) {
  hooks::Set out;
  if (auto limits = top.block("hooks")) out.limits = parse_limits(limits->reader);
  for (auto& hook : top.blocks("hook", 1)) {
    auto spec = parse_hook(hook.reader, hook.labels[0], names, file);
    if (std::ranges::find(out.hooks, spec.name, &hooks::Spec::name) != out.hooks.end())
      hook.reader.add_problem("", "is defined more than once");
    out.hooks.push_back(std::move(spec));
  }
  // Older files have at most one script, in this block.
  if (auto plugin = top.block("plugin"))
    out.hooks.push_back(parse_hook(plugin->reader, "plugin", names, file));
  if (out.hooks.size() > hooks::kMaxHooks)
    top.add_problem("hook", "there are more than " + std::to_string(hooks::kMaxHooks));
  return out;
}

}  // namespace

OperatorConfig parse_operator_config(std::string_view text, const std::string& file, const Names& names) {
  const auto body = hcl::parse(text, file);
  std::vector<hcl::Problem> problems;
  Reader top(body, "", problems);
  OperatorConfig out;
  if (auto directory = top.block("directory")) out.directory = parse_directory(directory->reader);
  if (auto mysql = top.block("mysql"))
    out.mysql = parse_mysql(mysql->reader, names, out.directory.has_value());
  if (auto engines = top.block("mysql_engines")) {
    auto& in = engines->reader;
    auto user = in.text("user");
    out.mysql_engines = MysqlEngines{std::move(user), secret(in, "password_env")};
    in.finish();
  }
  if (auto control = top.block("control")) out.control = parse_control(control->reader, file);
  out.hooks = parse_hooks(top, names, file);
  top.finish();
  if (!problems.empty()) throw hcl::Invalid(file, std::move(problems));
  return out;
}

hooks::Set parse_hooks(std::string_view text, const std::string& file, Names& names, bool add_names) {
  const auto body = hcl::parse(text, file);
  std::vector<hcl::Problem> problems;
  Reader top(body, "", problems);
  if (add_names) {
    std::vector<hcl::Problem> ignored;
    Reader hooks_only(body, "", ignored);
    for (auto& hook : hooks_only.blocks("hook", 1)) {
      auto match = hook.reader.block("match");
      if (!match) continue;
      for (const auto& name : match->reader.texts("class"))
        names.classes.emplace(name, static_cast<std::uint16_t>(names.classes.size()));
      for (const auto& name : match->reader.texts("tenant"))
        names.tenants.emplace(name, static_cast<std::uint32_t>(names.tenants.size()));
    }
  }
  auto out = parse_hooks(top, names, file);
  for (const char* other : {"mysql", "mysql_engines", "directory", "control"}) (void)top.has(other);
  top.finish();
  if (!problems.empty()) throw hcl::Invalid(file, std::move(problems));
  return out;
}

}  // namespace bellstair::config
