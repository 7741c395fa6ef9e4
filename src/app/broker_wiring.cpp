// Creates the components of the broker that its configuration asks for.
#include <cerrno>
#include <chrono>
#include <cstring>

#include "app/broker.hpp"
#include "app/socket_limits.hpp"
#include "log/log.hpp"
#include "mysql/mysql_engine_client.hpp"
#include "mysql/mysql_server.hpp"
#include "net/steady_clock.hpp"
#include "platform/http_engine_client.hpp"
#include "platform/jsonrpc_server.hpp"

namespace bellstair::app {
namespace {
core::Time unix_now() { return std::chrono::system_clock::now().time_since_epoch(); }

// The memory of the process is shared out: a quarter to requests, an eighth each to the servers for clients
// and to the connections to engines; the rest is for what is small, or rare.
std::size_t max_stored_request_bytes(const config::Config& config) { return (config.memory_mb << 20) / 4; }
std::size_t max_buffered_bytes(const config::Config& config) { return (config.memory_mb << 20) / 8; }

net::ConnectionPool::Limits pool_limits(const config::Config& config) {
  net::ConnectionPool::Limits out;
  out.max_buffered_bytes = max_buffered_bytes(config);
  out.max_connections = max_engine_connections(config.sockets);
  out.connect_timeout = config.connect_timeout;
  // Half of the engine's idle timeout, so that no call is sent while the engine closes the connection.
  out.idle_timeout = config.idle_close / 2;
  return out;
}

net::Fd listen(const std::string& address, const char* setting) {
  const auto parsed = net::parse_address(address);
  if (!parsed) throw StartError(setting, "is not an address with a port");
  auto fd = net::listen_tcp(*parsed);
  if (!fd) throw StartError(setting, address + ": " + std::strerror(errno));
  log::write(log::Level::info, "bellstair: " + std::string(setting) + " on " + net::local_address(fd.get()));
  return fd;
}
}  // namespace

Broker::Broker(ev::loop_ref loop, config::Config config, config::OperatorConfig fronts,
               hooks::LoadResult loaded, std::string file, std::string fronts_file)
    : loop_(loop),
      file_(std::move(file)),
      fronts_file_(std::move(fronts_file)),
      config_(std::move(config)),
      platform_overlay_{config_.settings, config_.names, config_.changelog},
      fronts_(std::move(fronts)),
      origin_(unix_now() - net::steady_now()),
      reducer_(config_.settings, config_.seed, max_stored_request_bytes(config_), loaded.set,
               config_.changelog),
      runner_(loop, names_of(config_), event_sink()),
      engines_(make_engine_driver()),
      change_log_(loop, config_.changelog, config_.names, config_.initial_changes.seq, config_.seed,
                  event_sink()),
      gossip_(loop, config_, event_sink()),
      tick_timer_(loop),
      scheduler_timer_(loop),
      hooks_timer_(loop),
      prepare_(loop),
      check_(loop),
      sigterm_(loop),
      sigint_(loop),
      sighup_(loop),
      sigusr1_(loop) {
  make_servers(loaded);
  if (fronts_.control) {
    control_ =
        std::make_unique<ControlClient>(loop, *fronts_.control, config_.name, config_.seed,
                                        [this](const control::Version& version) { apply_version(version); });
  }
  for (auto& change : config_.initial_changes.changes) post(std::move(change));
  post(core::ListenersReady{});
  set_watchers();
  reducer_.enable_tracing(log::enabled(log::Level::debug));
}

void Broker::set_watchers() {
  tick_timer_.set<Broker, &Broker::on_tick>(this);
  scheduler_timer_.set<Broker, &Broker::on_scheduler_timer>(this);
  hooks_timer_.set<Broker, &Broker::on_hooks_timer>(this);
  prepare_.set<Broker, &Broker::on_prepare>(this);
  check_.set<Broker, &Broker::on_check>(this);
  sigterm_.set<Broker, &Broker::on_shutdown_signal>(this);
  sigint_.set<Broker, &Broker::on_shutdown_signal>(this);
  sighup_.set<Broker, &Broker::on_reload_signal>(this);
  sigusr1_.set<Broker, &Broker::on_counters_signal>(this);
}

std::unique_ptr<net::EngineDriver> Broker::make_engine_driver() {
  const auto limits = pool_limits(config_);
  const auto& names = config_.names;
  if (fronts_.mysql_engines) {
    return std::make_unique<mysql::MysqlEngineClient>(loop_, limits, *fronts_.mysql_engines,
                                                      names.class_names, event_sink());
  }
  return std::make_unique<platform::HttpEngineClient>(loop_, limits, names.class_names, names.load_fields,
                                                      event_sink());
}

// The servers share the limit on client connections equally.
void Broker::make_servers(hooks::LoadResult& loaded) {
  const auto max_connections = max_client_connections(config_.sockets);
  const auto max_per_server = fronts_.mysql ? max_connections / 2 : max_connections;
  const net::ServerLimits limits{max_per_server, max_buffered_bytes(config_)};
  servers_.push_back(make_jsonrpc_server(limits));
  runner_.install(loaded);
  if (fronts_.directory)
    directory_ = std::make_unique<directory::LdapDirectory>(loop_, *fronts_.directory, config_.names);
  if (fronts_.mysql) servers_.push_back(make_mysql_server(limits));
}

std::unique_ptr<net::ClientServer> Broker::make_jsonrpc_server(net::ServerLimits limits) {
  return std::make_unique<platform::JsonRpcServer>(
      loop_, listen(config_.listen, "listen"), config_.names, limits, last_client_handle_,
      [this] { return reducer_.lifecycle().is_serving(); }, event_sink());
}

std::unique_ptr<net::ClientServer> Broker::make_mysql_server(net::ServerLimits limits) {
  mysql::MysqlServer::Options options;
  options.limits = limits;
  options.escaped_rows = fronts_.mysql_engines.has_value();
  if (directory_) {
    options.lookup = [this](const std::string& user, const std::string& password,
                            directory::LookupHandler done) {
      directory_->look_up(user, password, std::move(done));
    };
  }
  return std::make_unique<mysql::MysqlServer>(
      loop_, listen(fronts_.mysql->listen, "mysql.listen"), *fronts_.mysql, config_.names, config_.settings,
      std::move(options), last_client_handle_, config_.seed, event_sink());
}

}  // namespace bellstair::app
