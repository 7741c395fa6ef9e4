// The program under settings of both deployments' shapes, and of shapes that neither has.
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
  json patch;   // of the harness's settings, which have the first deployment's shape
  json member;  // of each engine in the list
  std::vector<std::string> classes;
  std::string team, answer_head;
  friend void PrintTo(const Shape& shape, std::ostream* out) { *out << shape.name; }
};

// The second deployment: two halls, two kinds, three members, a class that must never run twice, no order, no
// keys; brokers do not talk; reports come with answers, which tell no cost; what is granted is kept.
Shape lakeshore() {
  return {"Lakeshore",
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
  return {lakeshore(),
          {"Tunis", json::object(), json::object(), {"lookup", "load", "once"}, "acme", "Query-Cost: 5\r\n"},
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
          {"Bare",
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

// A single engine serves every class, with all that a request may carry and with nothing that it may leave
// out.
TEST_P(Shapes, EveryClassIsServed) {
  const auto& shape = GetParam();
  HttpEngine engine([&](const Call& call) -> std::optional<std::string> {
    if (call.method != "POST") return http(500);
    return http(200, "a\tb\tc\n", "Result-Pages: 1\r\n" + shape.answer_head);
  });
  Broker broker({{"s-00000001", engine.server.address()}}, {}, 0, shape.patch, shape.member);
  Client client(broker.address);
  int id = 0;
  for (const auto& name : shape.classes) {
    for (const bool full : {true, false}) {
      json more{{"txn", "000000000000000" + std::to_string(++id)}, {"team", nullptr}};
      if (full)
        more.update({{"cpu", 820.0}, {"ram", 96}, {"second", 1}, {"unique", "5c0f" + std::to_string(id)}});
      if (full && !shape.team.empty()) more["team"] = shape.team;
      client.ask(id, name, "SELECT a FROM sales_17.orders", more);
      EXPECT_EQ(body(client.answer()), "a\tb\tc\n") << name;
    }
  }
  EXPECT_EQ(engine.posts(), 2 * shape.classes.size());
}

INSTANTIATE_TEST_SUITE_P(All, Shapes, testing::ValuesIn(shapes()),
                         [](const auto& of) { return std::string(of.param.name); });

std::string refusal(const Shape& shape, const char* pointer, const json& value) {
  json config{
      {"listen", "127.0.0.1:0"}, {"changelog", "127.0.0.1:1"}, {"seed", "1"}, {"settings", settings()}};
  config["settings"].merge_patch(shape.patch);
  const json::json_pointer at(pointer);
  if (value.is_null()) {
    config[at.parent_pointer()].erase(at.back());
  } else {
    config[at] = value;
  }
  try {
    static_cast<void>(config::parse(config.dump()));
  } catch (const config::Invalid& invalid) {
    return invalid.what();
  }
  return {};
}

// Of each field: its name as a refusal tells it, values at its bounds that are taken, and values that are
// not. Null: it is absent.
TEST(Settings, OfBothShapesAreTakenAtTheirBoundsAndRefusedBeyondWithPlaceAndReason) {
  struct Field {
    const char *pointer, *name;
    std::vector<json> taken, refused;
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
      for (const auto& value : field.taken)
        EXPECT_EQ(refusal(shape, field.pointer, value), "")
            << shape.name << ' ' << field.pointer << ' ' << value;
      for (const auto& value : field.refused) {
        const auto said = refusal(shape, field.pointer, value);
        EXPECT_NE(said.find(field.name), std::string::npos)
            << shape.name << ' ' << field.pointer << ' ' << value << ": '" << said << "'";
        EXPECT_EQ(said.find('\n'), std::string::npos);
      }
    }
  }
}

}  // namespace
}  // namespace bellstair::test
