// Tests the program with the settings of both deployments, and with settings that differ from both in their
// shape: which keys are present, and how many classes, zones and tenants there are.
#include <gtest/gtest.h>

#include "config/config.hpp"
#include "harness.hpp"

namespace bellstair::test {
namespace {

json cls(const char* name, const char* semantics) {
  return {{"name", name},  {"aim", 1'000'000'000}, {"give-up", 20'000'000'000},
          {"credit", 1.0}, {"late-share", 0.5},    {"semantics", semantics}};
}

struct Shape {
  const char* name;
  json settings_patch;  // applied to the harness's settings, which are those of the first deployment
  json engine_patch;    // applied to each engine's entry in the endpoint list
  std::vector<std::string> classes;
  std::string tenant, response_headers;
  friend void PrintTo(const Shape& shape, std::ostream* out) { *out << shape.name; }
};

// The second deployment: two zones, two kinds of engines, three tenants, an unsafe class, no ordering, no
// keyed class and no gossip. Load reports come with answers, which carry no cost. Memory grants are never
// reduced.
Shape second_deployment() {
  return {"SecondDeployment",
          {{"classes", {cls("lookup", "safe"), cls("report", "safe"), cls("catalogue-load", "unsafe")}},
           {"kinds", {"node-16c", "node-12c"}},
           {"zones", {"north-hall", "south-hall"}},
           {"az", 1},
           {"tenants",
            {{{"name", "huron-univ"}, {"portion", 0.61}, {"quota-rps", 60}},
             {{"name", "erie-observatory"}, {"portion", 0.25}, {"quota-rps", 25}},
             {{"name", "bayfield-club"}, {"portion", 0.14}, {"quota-rps", 14}}}},
           {"over-share-worth", 0.1},
           {"prices", {{"cross-zone", 0.02}}},
           {"ceilings", {{"probing", true}, {"may-tell", false}, {"second-copies", true}}},
           {"family-info",
            {{"cpu-of-kind", {16, 12}},
             {"ram-of-kind-mb", {32768.0, 24576.0}},
             {"width-by-class", {1, 4, 2}},
             {"loads", {false, false, true}},
             {"class-waits", {false, false, false}},
             {"out-of-memory", "line_up"},
             {"tells-cost", false}}},
           {"report", {{"how", "piggyback"}, {"fields", {"pending", "busy_reqs"}}}}},
          {{"zone", "south-hall"}, {"kind", "node-12c"}},
          {"lookup", "report", "catalogue-load"},
          "bayfield-club",
          "X-Meter: pending:0;busy_reqs:1\r\n"};
}

std::vector<Shape> shapes() {
  json zones = json::array();
  for (int i = 0; i < 10; ++i) zones.push_back("zone-" + std::to_string(i));
  return {second_deployment(),
          {"FirstDeployment",
           json::object(),
           json::object(),
           {"lookup", "load", "once"},
           "acme",
           "Query-Cost: 5\r\n"},
          {"OneClass", {{"classes", {cls("all", "safe")}}}, json::object(), {"all"}, "acme", ""},
          {"NoTenants", {{"tenants", nullptr}}, json::object(), {"lookup", "once"}, "", ""},
          {"NoKeyedClass",
           {{"classes", {cls("a", "safe"), cls("b", "unsafe")}}},
           json::object(),
           {"a", "b"},
           "",
           ""},
          {"NoReports", {{"report", nullptr}}, json::object(), {"lookup", "load"}, "acme", ""},
          {"SilentReports",
           {{"report", {{"how", "silent"}}}},
           json::object(),
           {"lookup"},
           "acme",
           "X-Meter: x0:1\r\n"},
          {"TenZones", {{"zones", zones}, {"az", 9}}, {{"zone", "zone-4"}}, {"lookup", "load"}, "acme", ""},
          {"OnlyRequiredKeys",
           {{"tenants", nullptr},
            {"zones", nullptr},
            {"report", nullptr},
            {"step", nullptr},
            {"me", nullptr},
            {"ceilings", {{"dial-timeout", nullptr}, {"idle-close", nullptr}, {"max-attempts", nullptr}}},
            {"safety", {{"drain-grace", nullptr}, {"grace-to-answer", nullptr}}},
            {"family-info", {{"grants", nullptr}, {"takes-priority", nullptr}, {"tells-cost", nullptr}}}},
           {{"zone", nullptr}, {"cell", nullptr}, {"weight", nullptr}, {"started_ms", nullptr}},
           {"lookup", "once"},
           "",
           ""}};
}

class Shapes : public testing::TestWithParam<Shape> {};

// A single engine must serve every class, with all optional parameters of a request and with none.
TEST_P(Shapes, ServesEveryClass) {
  const auto& shape = GetParam();
  HttpEngine engine([&](const Call& call) -> std::optional<std::string> {
    if (call.method != "POST") return http(500);
    return http(200, "a\tb\tc\n", "Result-Pages: 1\r\n" + shape.response_headers);
  });
  Broker broker({{"s-00000001", engine.server.address()}}, {}, 0, shape.settings_patch, shape.engine_patch);
  Client client(broker.address);
  int id = 0;
  for (const auto& name : shape.classes) {
    for (const bool with_options : {true, false}) {
      json parameters{{"txn", "000000000000000" + std::to_string(++id)}, {"team", nullptr}};
      if (with_options)
        parameters.update(
            {{"cpu", 820.0}, {"ram", 96}, {"second", 1}, {"unique", "5c0f" + std::to_string(id)}});
      if (with_options && !shape.tenant.empty()) parameters["team"] = shape.tenant;
      client.ask(id, name, "SELECT a FROM sales_17.orders", parameters);
      EXPECT_EQ(body(client.answer()), "a\tb\tc\n") << name;
    }
  }
  EXPECT_EQ(engine.posts(), 2 * shape.classes.size());
}

INSTANTIATE_TEST_SUITE_P(All, Shapes, testing::ValuesIn(shapes()),
                         [](const auto& test) { return std::string(test.param.name); });

// The error that parsing reports with the value at `pointer`; empty: the settings are valid.
std::string parse_error(const Shape& shape, const char* pointer, const json& value) {
  json config{
      {"listen", "127.0.0.1:0"}, {"changelog", "127.0.0.1:1"}, {"seed", "1"}, {"settings", settings()}};
  config["settings"].merge_patch(shape.settings_patch);
  const json::json_pointer position(pointer);
  if (value.is_null()) {
    config[position.parent_pointer()].erase(position.back());
  } else {
    config[position] = value;
  }
  try {
    static_cast<void>(config::parse(config.dump()));
  } catch (const config::Invalid& invalid) {
    return invalid.what();
  }
  return {};
}

// Lists for each field its name as errors report it, valid values at its bounds, and invalid values. Null:
// the field is absent.
TEST(Settings, AcceptsBoundsAndRejectsOtherValuesWithFieldName) {
  struct Field {
    const char *pointer, *name;
    std::vector<json> valid, invalid;
  };
  const std::vector<Field> fields{
      {"/settings/balancers", "balancers", {1, 1024}, {0}},
      {"/settings/balancers", "balancers", {}, {-1, "3", 0.5e300}},
      {"/settings/tenants", "tenants", {nullptr, json::array()}, {1, json{"acme"}}},
      {"/settings/tenants/0/portion", "portion", {nullptr, 0, 1}, {"x"}},
      {"/settings/tenants/0/portion", "tenants[].portion", {}, {-0.1}},
      {"/settings/tenants/0/quota-rps", "quota-rps", {nullptr, 0, 1e6}, {"x"}},
      {"/settings/tenants/0/quota-rps", "tenants[].quota-rps", {}, {-1}},
      {"/settings/zones", "zones", {nullptr, json::array()}, {"dc1", json{1}}},
      {"/settings/kinds", "kinds", {}, {nullptr, json::array(), 3}},
      {"/settings/classes", "classes", {}, {nullptr, json::array(), "lookup"}},
      {"/settings/classes/0/aim", "aim", {1}, {nullptr, 0, -1, "1s"}},
      {"/settings/classes/0/aim-stretch", "aim-stretch", {nullptr, 0}, {"x"}},
      {"/settings/classes/0/credit", "credit", {nullptr, 0}, {"x"}},
      {"/settings/classes/0/semantics", "semantics", {nullptr, "safe", "keyed", "unsafe"}, {"twice", 1}},
      {"/settings/classes/0/in-order", "in-order", {nullptr, true, false}, {1, "yes"}},
      {"/settings/report/how", "how", {nullptr, "silent", "pull", "piggyback"}, {1}},
      {"/settings/report/fields", "fields", {nullptr, json::array(), json{"x9"}}, {"pending", json{1}}},
      {"/settings/family-info/out-of-memory",
       "out-of-memory",
       {nullptr, "line_up", "cut", "overcommit"},
       {"swap", 1}},
      {"/settings/family-info/width-by-class",
       "width-by-class",
       {nullptr, json{1}, json{1, 4, 2, 9}},
       {4, json{"4"}}},
      {"/settings/family-info/cpu-of-kind", "cpu-of-kind", {nullptr, json{0.5}}, {8, json{"8"}}},
      {"/settings/family-info/grants", "grants", {nullptr, true, false}, {1}},
      {"/settings/family-info/tells-cost", "tells-cost", {nullptr, true, false}, {"no"}},
      {"/settings/family-info", "family-info", {}, {nullptr}},
      {"/settings/safety", "safety", {}, {nullptr}},
      {"/settings/safety/cold-from", "cold-from", {1, 0.01}, {0, 1.5}},
      {"/settings/safety/turn-gap", "turn-gap", {nullptr, 0}, {-1}},
      {"/settings/safety/tip-multiple", "tip-multiple", {nullptr, 0}, {"x"}},
      {"/settings/ceilings", "ceilings", {}, {nullptr}},
      {"/settings/ceilings/max-attempts", "max-attempts", {nullptr, 1}, {0}},
      {"/settings/ceilings/max-attempts", "max-attempts", {}, {-1, "4"}},
      {"/settings/ceilings/may-tell", "may-tell", {nullptr, true, false}, {1}},
      {"/settings/ceilings/dial-timeout", "dial-timeout", {nullptr, 1}, {-1, "x"}},
      {"/limits", "limits", {nullptr}, {1}},
      {"/peers", "peers", {nullptr, json::array()}, {1, json{"nowhere"}}},
      {"/peer_listen", "peer_listen", {nullptr}, {1, "nowhere"}},
      {"/known", "changes", {nullptr}, {1}},
  };
  for (const auto& shape : {shapes()[0], shapes()[1]}) {
    for (const auto& field : fields) {
      for (const auto& value : field.valid)
        EXPECT_EQ(parse_error(shape, field.pointer, value), "")
            << shape.name << ' ' << field.pointer << ' ' << value;
      for (const auto& value : field.invalid) {
        const auto error = parse_error(shape, field.pointer, value);
        EXPECT_NE(error.find(field.name), std::string::npos)
            << shape.name << ' ' << field.pointer << ' ' << value << ": '" << error << "'";
        EXPECT_EQ(error.find('\n'), std::string::npos);
      }
    }
  }
}

}  // namespace
}  // namespace bellstair::test
