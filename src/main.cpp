// The command line.
#include <getopt.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "app/broker.hpp"
#include "config/config.hpp"
#include "config/fronts.hpp"
#include "plugin/admission.hpp"

namespace {

constexpr const char* kVersion = BELLSTAIR_VERSION;

constexpr const char* kUsage =
    "usage: bellstair COMMAND [OPTIONS]\n"
    "\n"
    "  serve         run one broker, in the foreground, until SIGTERM\n"
    "  check-config  read the configuration, say what is wrong with it, and exit\n"
    "  version       print the version\n"
    "\n"
    "  -c, --config FILE   the platform's configuration; by default what BALANCER_CONFIG names\n"
    "  -f, --fronts FILE   what is off on the platform: MySQL, plug-ins, directories; by default nothing is "
    "on\n"
    "  -h, --help          this text\n";

struct Options {
  std::string command, config, fronts;
};

[[noreturn]] void usage_error(const std::string& what) {
  std::fprintf(stderr, "bellstair: %s; see 'bellstair --help'\n", what.c_str());
  std::exit(2);
}

Options parse_options(int argc, char** argv) {
  Options out;
  if (const char* config = std::getenv("BALANCER_CONFIG")) out.config = config;
  const option kOptions[] = {{"config", required_argument, nullptr, 'c'},
                             {"fronts", required_argument, nullptr, 'f'},
                             {"help", no_argument, nullptr, 'h'},
                             {nullptr, 0, nullptr, 0}};
  for (int c = 0; (c = getopt_long(argc, argv, "c:f:h", kOptions, nullptr)) != -1;) {
    if (c == 'c') out.config = optarg;
    if (c == 'f') out.fronts = optarg;
    if (c == 'h') {
      std::fputs(kUsage, stdout);
      std::exit(0);
    }
    if (c == '?') std::exit(2);
  }
  if (optind >= argc) usage_error("no command");
  out.command = argv[optind];
  if (optind + 1 < argc)
    usage_error(std::string("one command at a time, not '") + argv[optind + 1] + "' too");
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  const auto options = parse_options(argc, argv);
  if (options.command == "version") {
    std::printf("bellstair %s\n", kVersion);
    return 0;
  }
  if (options.command != "serve" && options.command != "check-config")
    usage_error("unknown command '" + options.command + "'");
  // A signal that comes before the program can heed it waits; Broker::run() lets it through.
  sigset_t held;
  sigemptyset(&held);
  for (const int signal : {SIGHUP, SIGTERM, SIGINT}) sigaddset(&held, signal);
  if (options.command == "serve") sigprocmask(SIG_BLOCK, &held, nullptr);
  using bellstair::config::read_file;
  try {
    auto config = bellstair::config::parse(read_file(options.config, "configuration"));
    bellstair::config::Fronts fronts;
    if (!options.fronts.empty())
      fronts = bellstair::config::parse_fronts(read_file(options.fronts, "fronts"), config.names);
    if (options.command == "check-config") {
      if (fronts.plugin)
        bellstair::plugin::Admission(*fronts.plugin, config.names, config.settings.max_retry_after);
      std::puts("the configuration is fine");
      return 0;
    }
    ev::default_loop loop(0);
    bellstair::app::Broker(loop, std::move(config), std::move(fronts), options.config).run();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "bellstair: %s\n", error.what());
    return 1;
  }
}
