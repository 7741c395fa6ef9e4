// The size of a deployment, and the configuration that a broker of it is given: one document for hollow and
// real brokers alike.
#pragma once

#include <cstdint>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bellstair::scale {

using nlohmann::json;

struct Shape {
  unsigned brokers = 100, databases = 770, zones = 8, tenants = 8;
  double statements = 2'200'000;  // a second, all brokers
  std::int64_t step = 1'000'000;  // ns, least time between two calls of the decision module
  std::int64_t idle_close = 30'000'000'000;
};

inline std::string database_id(unsigned n) {
  char out[16];
  std::snprintf(out, sizeof out, "s-%08x", n + 1);
  return out;
}

// Of its own for each, on loopback; the first is 127.64.0.1.
inline std::string database_host(unsigned n) {
  return "127.64." + std::to_string(n / 250) + "." + std::to_string(n % 250 + 1);
}

inline json server_entry(const Shape& shape, unsigned n, unsigned port, const char* state = "in_service") {
  return {{"id", database_id(n)},
          {"addr", database_host(n) + ":" + std::to_string(port)},
          {"zone", "z" + std::to_string(n % shape.zones)},
          {"kind", "std-8"},
          {"cell", n % shape.zones},
          {"state", state},
          {"weight", 1},
          {"started_ms", 0}};
}

inline json fleet_event(std::uint64_t seq, json servers, bool full) {
  return {{"seq", seq}, {"fleet", {{"version", seq}, {"full", full}, {"servers", std::move(servers)}}}};
}

inline json whole_list(const Shape& shape, unsigned port) {
  json servers = json::array();
  for (unsigned n = 0; n < shape.databases; ++n) servers.push_back(server_entry(shape, n, port));
  return fleet_event(1, std::move(servers), true);
}

inline json settings(const Shape& shape, unsigned me) {
  const auto ms = [](std::int64_t n) { return n * 1'000'000; };
  const auto cls = [&](const char* name, const char* semantics, std::int64_t aim, std::int64_t give_up,
                       double credit) {
    return json{{"name", name},       {"aim", ms(aim)},
                {"aim-stretch", 1.5}, {"give-up", ms(give_up)},
                {"credit", credit},   {"semantics", semantics},
                {"group", "all"},     {"window", ms(15000)},
                {"late-share", 0.5},  {"in-order", std::string(name) == "load"}};
  };
  json tenants = json::array(), zones = json::array();
  for (unsigned n = 0; n < shape.tenants; ++n)
    tenants.push_back({{"name", "tenant-" + std::to_string(n)},
                       {"portion", 1.0 / shape.tenants},
                       {"quota-rps", shape.statements / shape.tenants}});
  for (unsigned n = 0; n < shape.zones; ++n) zones.push_back("z" + std::to_string(n));
  return {{"balancers", shape.brokers},
          {"me", me},
          {"az", me % shape.zones},
          {"step", shape.step},
          {"classes",
           {cls("lookup", "safe", 250, 2000, 1), cls("report", "safe", 840, 8000, 15),
            cls("load", "keyed", 1260, 8000, 20)}},
          {"kinds", {"std-8"}},
          {"zones", zones},
          {"tenants", tenants},
          {"over-share-worth", 0.5},
          {"ceilings",
           {{"cancel", true},
            {"dial-timeout", ms(250)},
            {"idle-close", shape.idle_close},
            {"max-attempts", 4},
            {"max-retry-after", ms(500)},
            {"probing", true},
            {"may-tell", true},
            {"second-copies", true},
            {"retry-after", true}}},
          {"safety",
           {{"drain-grace", ms(500)},
            {"grace-to-answer", ms(20)},
            {"cold-from", 0.33},
            {"ramp-time", ms(15000)},
            {"tip-multiple", 2.5},
            {"fall", ms(1000)}}},
          {"family-info",
           {{"cpu-of-kind", {8}},
            {"ram-of-kind-mb", {16384}},
            {"width-by-class", {1, 2, 2}},
            {"loads", {false, false, true}},
            {"class-waits", {true, false, false}},
            {"grants", true},
            {"takes-priority", true},
            {"tells-cost", true}}},
          {"report", {{"how", "pull"}, {"fields", {"pending", "x1", "x0"}}}}};
}

// `port`: of all databases, each on an address of its own.
inline json document(const Shape& shape, unsigned me, unsigned port, const std::string& changelog,
                     unsigned sockets = 16384) {
  char seed[17];
  std::snprintf(seed, sizeof seed, "%016llx", 0x9e3779b97f4a7c15ULL * (me + 1ULL));
  return {{"name", "b" + std::to_string(me)},
          {"listen", "127.0.0.1:0"},
          {"seed", seed},
          {"limits", {{"sockets", sockets}, {"memory_mb", 256}}},
          {"changelog", changelog},
          {"known", {{"seq", 1}, {"results", json::array({whole_list(shape, port)})}}},
          {"settings", settings(shape, me)}};
}

}  // namespace bellstair::scale
