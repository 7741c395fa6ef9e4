// The command line of the program `bellstair`.
#include <getopt.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "app/broker.hpp"
#include "app/config_tool.hpp"
#include "app/hook_tool.hpp"
#include "app/signals.hpp"
#include "config/config.hpp"
#include "config/fronts.hpp"
#include "hooks/load.hpp"
#include "log/log.hpp"

namespace {

constexpr const char* kVersion = BELLSTAIR_VERSION;

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

constexpr const char* kUsage =
    "usage: bellstair COMMAND [OPTIONS]\n"
    "\n"
    "  serve         run one broker, in the foreground, until SIGTERM\n"
    "  check-config  check the configuration, report its errors, and exit\n"
    "  hook check    load the hooks of an operator's file and dry-run each: hook check FILE\n"
    "  hook run      run the hooks on requests from a file: hook run FILE --cases CASES\n"
    "  control       run one control node: control FILE --node NAME\n"
    "  config        publish a configuration or show the active one: config publish, config status\n"
    "  version       print the version\n"
    "\n"
    "  -c, --config FILE   the platform's configuration; default: the file that BALANCER_CONFIG names\n"
    "  -f, --fronts FILE   the operator's file, in HCL: MySQL, hooks, directories, control; default: all are "
    "off\n"
    "  -t, --cases FILE    requests for 'hook run', one JSON object per line\n"
    "  -l, --log-level L   for 'serve': debug, info, warning or error; default: info\n"
    "  -h, --help          print this help\n";

struct Options {
  std::string command;
  std::string config;
  std::string fronts;
  std::string cases;
  bellstair::log::Level log_level = bellstair::log::Level::info;
};

[[noreturn]] void usage_error(const std::string& what) {
  std::fprintf(stderr, "bellstair: %s; see 'bellstair --help'\n", what.c_str());
  std::exit(kExitUsage);
}

bellstair::log::Level parse_log_level(const std::string& text) {
  using bellstair::log::Level;
  if (text == "debug") return Level::debug;
  if (text == "info") return Level::info;
  if (text == "warning") return Level::warning;
  if (text == "error") return Level::error;
  usage_error("--log-level: expected debug, info, warning or error, not '" + text + "'");
}

// Parses the two arguments of "hook": the subcommand and the operator's file.
void parse_hook_arguments(Options& out, int argc, char** argv) {
  if (optind + 3 != argc) usage_error("'hook' needs a subcommand, 'check' or 'run', and a file");
  out.command += std::string(" ") + argv[optind + 1];
  out.fronts = argv[optind + 2];
}

Options parse_options(int argc, char** argv) {
  Options out;
  if (const char* config = std::getenv("BALANCER_CONFIG")) out.config = config;
  const option long_options[] = {
      {"config", required_argument, nullptr, 'c'}, {"fronts", required_argument, nullptr, 'f'},
      {"cases", required_argument, nullptr, 't'},  {"log-level", required_argument, nullptr, 'l'},
      {"help", no_argument, nullptr, 'h'},         {nullptr, 0, nullptr, 0}};
  for (int c = 0; (c = getopt_long(argc, argv, "c:f:t:l:h", long_options, nullptr)) != -1;) {
    if (c == 'c') out.config = optarg;
    if (c == 'f') out.fronts = optarg;
    if (c == 't') out.cases = optarg;
    if (c == 'l') out.log_level = parse_log_level(optarg);
    if (c == 'h') {
      std::fputs(kUsage, stdout);
      std::exit(kExitSuccess);
    }
    if (c == '?') std::exit(kExitUsage);
  }
  if (optind >= argc) usage_error("no command given");
  out.command = argv[optind];
  if (out.command == "hook") {
    parse_hook_arguments(out, argc, argv);
  } else if (optind + 1 < argc) {
    usage_error(std::string("unexpected argument '") + argv[optind + 1] + "'");
  }
  return out;
}

// Runs 'serve' and 'check-config'; both load the complete configuration of a broker.
int run_broker(const Options& options) {
  using bellstair::config::read_file;
  auto config = bellstair::config::parse(read_file(options.config, "configuration"));
  bellstair::config::OperatorConfig fronts;
  if (!options.fronts.empty())
    fronts = bellstair::config::parse_operator_config(read_file(options.fronts, "fronts"), options.fronts,
                                                      config.names);
  auto loaded = bellstair::hooks::load(fronts.hooks, bellstair::app::names_of(config));
  for (const auto& problem : loaded.problems)
    bellstair::log::write(bellstair::log::Level::error, "bellstair: " + problem);
  if (!loaded.problems.empty()) return kExitFailure;
  if (options.command == "check-config") {
    std::puts("the configuration is valid");
    return kExitSuccess;
  }
  ev::default_loop loop(0);
  bellstair::app::Broker broker(loop, std::move(config), std::move(fronts), std::move(loaded), options.config,
                                options.fronts);
  broker.run();
  return kExitSuccess;
}

}  // namespace

int main(int argc, char** argv) {
  // These commands parse their arguments with CLI11.
  if (argc > 1 && (argv[1] == std::string("control") || argv[1] == std::string("config")))
    return bellstair::app::control_command(argc, argv);
  const auto options = parse_options(argc, argv);
  if (options.command == "version") {
    std::printf("bellstair %s\n", kVersion);
    return kExitSuccess;
  }
  if (options.command == "hook check" || options.command == "hook run")
    return bellstair::app::hook_tool(options.command == "hook run", options.fronts, options.config,
                                     options.cases);
  if (options.command != "serve" && options.command != "check-config")
    usage_error("unknown command '" + options.command + "'");
  if (options.command == "serve") {
    bellstair::app::block_signals({SIGHUP, SIGTERM, SIGINT, SIGUSR1});  // until Broker::run()
    bellstair::log::start(options.log_level);
  }
  int status = kExitFailure;
  try {
    status = run_broker(options);
  } catch (const std::exception& error) {
    bellstair::log::write(bellstair::log::Level::error, std::string("bellstair: ") + error.what());
  }
  if (status != kExitSuccess || options.command == "serve") bellstair::log::stop();
  return status;
}
