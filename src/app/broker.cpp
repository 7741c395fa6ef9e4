#include "app/broker.hpp"

#include <chrono>
#include <csignal>
#include <cstring>

#include "app/signals.hpp"
#include "log/log.hpp"
#include "mysql/engines.hpp"
#include "net/steady_clock.hpp"
#include "platform/engines.hpp"

namespace bellstair::app {
namespace {
using namespace std::chrono_literals;
using net::steady_now;

core::Time unix_now() { return std::chrono::system_clock::now().time_since_epoch(); }

double seconds(core::Time time) { return std::chrono::duration<double>(time).count(); }

constexpr core::Time kCountersPace = 60s;  // between lines with the counters, where they have changed

// Clients hold a third of the descriptors at the most; what is left over is for listeners, files and the
// like.
constexpr std::size_t kSpare = 48;
std::size_t client_share(std::size_t sockets) { return sockets / 3 + 16; }
std::size_t engine_share(std::size_t sockets) {
  const auto clients = client_share(sockets) + kSpare;
  return sockets > clients + 8 ? sockets - clients : 8;
}

net::Pool::Limits limits(const config::Config& config) {
  net::Pool::Limits out;
  out.most = engine_share(config.sockets);
  out.dial_timeout = config.dial_timeout;
  // Well before the engine closes it: a call must not cross the close.
  out.idle_life = config.idle_close / 2;
  return out;
}

net::Fd listen(const std::string& address, const char* field) {
  const auto at = net::parse_address(address);
  if (!at) throw CannotStart(std::string(field) + ": is not an address with a port");
  auto fd = net::listen_tcp(*at);
  if (!fd) throw CannotStart(std::string(field) + ": " + address + ": " + std::strerror(errno));
  log::write(log::Level::info, "bellstair: " + std::string(field) + " on " + net::local_address(fd.get()));
  return fd;
}
}  // namespace

hooks::Words words_of(const config::Config& config) { return words_of(config.settings); }

hooks::Words words_of(const policy::Settings& settings) {
  hooks::Words out;
  out.fronts = config::kFrontNames;
  for (const auto& cls : settings.classes) out.classes.push_back(cls.name);
  for (const auto& tenant : settings.tenants) out.tenants.push_back(tenant.name);
  return out;
}

net::Post Broker::poster() {
  return [this](core::Event event) { post(std::move(event)); };
}

std::unique_ptr<net::EngineDriver> Broker::make_engines() {
  const auto& names = config_.names;
  if (fronts_.mysql_engines)
    return std::make_unique<mysql::Engines>(loop_, limits(config_), *fronts_.mysql_engines, names.class_names,
                                            poster());
  return std::make_unique<platform::Engines>(loop_, limits(config_), names.class_names, names.load_fields,
                                             poster());
}

// Of interest only once the program is about to end.
bool Broker::unwritten() const {
  if (reducer_.lifecycle().phase() < core::Phase::draining) return false;
  return front_->unwritten() || (mysql_ && mysql_->unwritten());
}

Broker::Broker(ev::loop_ref loop, config::Config config, config::Fronts fronts, hooks::Loaded loaded,
               std::string file, std::string fronts_file)
    : loop_(loop),
      file_(std::move(file)),
      fronts_file_(std::move(fronts_file)),
      config_(std::move(config)),
      start_{config_.settings, config_.names, config_.changelog},
      fronts_(std::move(fronts)),
      origin_(unix_now() - steady_now()),
      reducer_(config_.settings, config_.seed, (config_.memory_mb << 20) / 4, loaded.set, config_.changelog),
      runner_(loop, words_of(config_), poster()),
      engines_(make_engines()),
      changelog_(loop, config_.changelog, config_.names, config_.known.seq, config_.seed, poster()),
      peers_(loop, config_, poster()),
      tick_(loop),
      call_(loop),
      hooks_turn_(loop),
      prepare_(loop),
      check_(loop),
      term_(loop),
      interrupt_(loop),
      hangup_(loop),
      counters_asked_(loop) {
  const auto share = client_share(config_.sockets);
  front_ = std::make_unique<platform::Front>(
      loop, listen(config_.listen, "listen"), config_.names, fronts_.mysql ? share / 2 : share, handles_,
      [this] { return reducer_.lifecycle().is_serving(); }, poster());
  runner_.adopt(loaded);
  if (fronts_.directory)
    directory_ = std::make_unique<directory::Ldap>(loop, *fronts_.directory, config_.names);
  if (fronts_.mysql) {
    mysql::Front::Options options;
    options.most_connections = share / 2;
    options.escaped_rows = fronts_.mysql_engines.has_value();
    if (directory_) {
      options.lookup = [this](const std::string& user, const std::string& password, directory::Done done) {
        directory_->look_up(user, password, std::move(done));
      };
    }
    mysql_ = std::make_unique<mysql::Front>(loop, listen(fronts_.mysql->listen, "mysql.listen"),
                                            *fronts_.mysql, config_.names, config_.settings,
                                            std::move(options), handles_, config_.seed, poster());
  }
  if (fronts_.control) {
    control_ = std::make_unique<ControlClient>(loop, *fronts_.control, config_.name, config_.seed,
                                               [this](const control::Version& version) { offer(version); });
  }
  for (auto& change : config_.known.changes) post(std::move(change));
  post(core::ListenersReady{});

  tick_.set<Broker, &Broker::on_tick>(this);
  call_.set<Broker, &Broker::on_call>(this);
  hooks_turn_.set<Broker, &Broker::on_hooks>(this);
  prepare_.set<Broker, &Broker::on_prepare>(this);
  check_.set<Broker, &Broker::on_check>(this);
  term_.set<Broker, &Broker::on_signal>(this);
  interrupt_.set<Broker, &Broker::on_signal>(this);
  hangup_.set<Broker, &Broker::on_hangup>(this);
  counters_asked_.set<Broker, &Broker::on_counters_asked>(this);
  reducer_.enable_tracing(log::enabled(log::Level::debug));
}

void Broker::run() {
  std::signal(SIGPIPE, SIG_IGN);
  term_.start(SIGTERM);
  interrupt_.start(SIGINT);
  hangup_.start(SIGHUP);
  counters_asked_.start(SIGUSR1);
  let_signals_through({SIGHUP, SIGTERM, SIGINT, SIGUSR1});
  tick_due_ = true;  // before the first socket is read, so that all have the time
  tick_.start(0, seconds(core::Reducer::kTick));
  prepare_.start();
  check_.start();
  if (control_) control_->start();
  loop_.run(0);
}

// All spans run on it: a step of the system's clock must move none of them.
core::Time Broker::now() const { return origin_ + steady_now(); }

void Broker::post(core::Event event) {
  stall_watch_.mark(now());
  if (auto* arrived = std::get_if<core::RequestReceived>(&event)) {
    const auto came = stall_watch_.came_after(now());
    arrived->since = arrived->since == core::Time::zero() ? came : std::min(arrived->since, came);
  }
  events_.push_back(std::move(event));
}

// What is due is done before the loop sleeps: what has come in the same turn is read first.
void Broker::on_tick(ev::timer&, int) { tick_due_ = true; }

void Broker::tick() {
  const auto now = this->now();
  engines_->tick(now);
  front_->tick(now);
  if (mysql_) mysql_->tick(now);
  if (directory_) directory_->tick(now);
  changelog_.tick(now);
  if (control_) control_->tick(now);
  if (now >= next_counters_) {
    next_counters_ = now + kCountersPace;
    if (reducer_.counters() != counters_logged_) log_counters();
  }
  post(core::Tick{unwritten()});
}

void Broker::on_call(ev::timer&, int) { post(core::Tick{unwritten()}); }

// First in each turn of the loop, before any socket is read.
void Broker::on_check(ev::check&, int) {
  stall_watch_.looked(now());
  wake();
  if (fronts_file_.empty()) return;
  turn_begun_ = steady_now();
  turn_hooks_ = {};
}

void Broker::run(core::RunHook& effect) {
  const auto from = steady_now();
  runner_.run(effect);
  turn_hooks_ += steady_now() - from;
}

void Broker::on_hooks(ev::timer&, int) { post(core::HooksTurn{}); }

void Broker::on_signal(ev::sig&, int) { post(core::ShutdownRequested{stall_watch_.came_after(now())}); }

void Broker::on_counters_asked(ev::sig&, int) { log_counters(); }

void Broker::log_counters() {
  counters_logged_ = reducer_.counters();
  run(core::Log{counters_logged_.text() + " log_lines_dropped=" + std::to_string(log::dropped())});
}

void Broker::on_hangup(ev::sig&, int) { post(core::ReloadRequested{}); }

// Spans that begin with what is read now begin now, not where the last tick was.
void Broker::wake() {
  const auto stall = stall_watch_.take_stall();
  if (!stall) return;
  const auto now = this->now();
  engines_->wake(now);
  front_->wake(now, stall->since);
  if (mysql_) mysql_->wake(now);
  changelog_.wake(now);
  // What waits is decided in its light. One that goes on takes the place of what was told of it.
  const bool told = !events_.empty() && std::holds_alternative<core::ProcessStalled>(events_.front());
  if (told) events_.pop_front();
  events_.push_front(core::ProcessStalled{stall->since, stall->length});
}

// True: nothing may be decided before the sockets are looked at again, with the next tick at the latest.
bool Broker::look_again(core::Time now) {
  const bool again = stall_watch_.look_again(now);
  wake();
  return again;
}

// Before the loop sleeps: all that has happened in this turn of it.
void Broker::on_prepare(ev::prepare&, int) {
  do {
    if (look_again(now())) return;
    if (std::exchange(tick_due_, false)) tick();
    if (control_) control_->settle();
    if (!pump_unless_stalled()) return;
    engines_->settle();
    front_->settle();
    if (mysql_) mysql_->settle();
  } while (!events_.empty());
  if (turn_begun_ != core::Time::zero()) {
    longest_turn_ = std::max(longest_turn_, steady_now() - turn_begun_);
    longest_hooks_ = std::max(longest_hooks_, turn_hooks_);
  }
  // What hooks have still to do waits for the next turn, after the sockets.
  if (const auto go_on = reducer_.next_hook_dispatch())
    hooks_turn_.start(std::max(0.0, seconds(*go_on - now())), 0);
  const auto due = reducer_.next_scheduler_call();
  if (!due) return;
  call_.start(std::max(0.0, seconds(*due - now())) + 1e-5, 0);
}

void Broker::pump() {
  while (!events_.empty()) take_event(now());
}

// As far as the sockets need not be looked at again before.
bool Broker::pump_unless_stalled() {
  while (!events_.empty()) {
    const auto now = this->now();
    if (look_again(now)) return false;
    take_event(now);
  }
  return true;
}

void Broker::take_event(core::Time now) {
  auto event = std::move(events_.front());
  events_.pop_front();
  effects_.clear();
  reducer_.reduce(now, std::move(event), effects_);
  for (auto& effect : effects_) std::visit([this](auto& e) { run(e); }, effect);
}

void Broker::run(const core::Answer& effect) {
  if (!front_->run(effect) && mysql_) mysql_->run(effect);
}

// What was decided before a stall is not sent after it: its client may have gone, and has less time left.
void Broker::run(core::Transmit& effect) {
  if (look_again(now())) return engines_->run(core::CancelAttempt{effect.id});
  engines_->run(effect);
}

void Broker::run(const core::Log& effect) {
  log::write(effect.level, "bellstair " + config_.name + ": " + effect.text);
}

// What was posted before it is of the version before: all that refers to tenants is counted once it is heard.
void Broker::offer(const control::Version& version) {
  pump();
  core::SettingsOffered offered;
  offered.epoch = version.id.epoch;
  offered.number = version.id.number;
  const auto label = "version " + control::to_text(version.id);
  try {
    auto document = config::parse_document(version.text, label, config_.names.class_names);
    const auto referenced = reducer_.referenced_tenants();
    auto overlay = config::overlay(start_, {config_.settings, config_.names, config_.changelog}, document,
                                   [&](std::uint32_t slot) { return referenced.contains(slot); });
    offered.settings = std::move(overlay.settings);
    offered.changelog = std::move(document.changelog).value_or("");
    offered.names = std::make_shared<const config::Names>(std::move(overlay.names));
  } catch (const std::exception& error) {
    return control_->applied(version, error.what());
  }
  offered_ = &version;
  post(std::move(offered));
  pump();
  offered_ = nullptr;
}

void Broker::run(core::SettingsApplied& effect) {
  ++taken_up_;
  config_.settings = std::move(effect.settings);
  config_.names = *static_cast<const config::Names*>(effect.names.get());
  config_.changelog = std::move(effect.changelog);
  runner_.know(words_of(config_.settings));
  changelog_.follow(config_.changelog);
  control_->applied(*offered_, {});
}

void Broker::run(const core::SettingsRejected& effect) { control_->applied(*offered_, effect.problem); }

// Read whole, and as strictly as at the start, before anything of it is used. Scripts are loaded and tried
// beside the loop, in a thread that sees copies: versions of the settings come into force meanwhile.
void Broker::run(const core::ReadConfiguration&) {
  auto names = config_.names;
  // The platform's own tenants keep their positions, also while a version leaves them out.
  names.tenants.insert(start_.names.tenants.begin(), start_.names.tenants.end());
  const auto read_again = [this, names = std::move(names), words = runner_.words(), seen = taken_up_] {
    struct Again {
      core::ConfigurationRead read;
      hooks::Loaded loaded;
    };
    auto again = std::make_shared<Again>();
    auto& read = again->read;
    try {
      const auto config = config::parse(config::read_file(file_, "configuration"));
      read.changelog = config.changelog;
      for (const auto& [field, text] : config.fixed) {
        if (text != config_.fixed.at(field)) read.fixed.push_back(field);
      }
      if (!fronts_file_.empty()) {
        const auto fronts =
            config::parse_fronts(config::read_file(fronts_file_, "fronts"), fronts_file_, names);
        if (fronts.mysql != fronts_.mysql) read.fixed.emplace_back("mysql");
        if (fronts.mysql_engines != fronts_.mysql_engines) read.fixed.emplace_back("mysql_engines");
        if (fronts.directory != fronts_.directory) read.fixed.emplace_back("directory");
        if (fronts.control != fronts_.control) read.fixed.emplace_back("control");
        again->loaded = hooks::load(fronts.hooks, *words);
        for (const auto& problem : again->loaded.problems)
          read.problem += (read.problem.empty() ? "" : "\n") + problem;
        read.hooks = again->loaded.set;
      }
    } catch (const std::exception& error) {
      read.problem = error.what();
    }
    return [this, again, seen] {
      // Another tenant may have taken the place of one that a hook names.
      if (seen != taken_up_) return post(core::ReloadRequested{});
      if (again->read.problem.empty()) {
        start_.changelog = again->read.changelog;
        runner_.adopt(again->loaded);
      }
      post(std::move(again->read));
    };
  };
  if (fronts_file_.empty()) return read_again()();
  runner_.later(read_again);
}

void Broker::run(const core::CloseClientConnections&) {
  front_->finish();
  if (mysql_) mysql_->finish();
  if (control_) control_->stop();
}

void Broker::run(const core::Exit&) {
  log_counters();
  if (longest_turn_ != core::Time::zero()) {
    const auto ms = [](core::Time time) { return std::to_string(seconds(time) * 1e3); };
    run(core::Log{"loop: longest turn " + ms(longest_turn_) + " ms, most of hooks in one " +
                  ms(longest_hooks_) + " ms"});
  }
  loop_.break_loop(ev::ALL);
}

}  // namespace bellstair::app
