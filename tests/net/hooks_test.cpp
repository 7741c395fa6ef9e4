// Tests hooks in the real program: both fronts, endless scripts, reloads, phases and the command line.
#include <gtest/gtest.h>

#include "harness.hpp"
#include "mysql_client.hpp"

namespace bellstair::test {
namespace {

constexpr const char* kEndlessScript =
    "function on_request(r) if string.contains(r.statement, 'endless') then while true do end end end";

std::string ticket(int number) {
  char out[17];
  std::snprintf(out, sizeof out, "%016x", static_cast<unsigned>(number) + 1U);
  return out;
}

class ScriptedBroker {
 public:
  explicit ScriptedBroker(const std::string& script, json more = json::object(), json hooks = json::object(),
                          bool mysql = false)
      : file(write_temporary_file(script)),
        engine([](const Call&) { return rows("a\tb\tc\n"); }),
        broker({{"s-00000001", engine.server.address()}},
               settings(file, std::move(more), std::move(hooks), mysql)),
        client(broker.address) {}
  ~ScriptedBroker() { ::unlink(file.c_str()); }
  static json settings(const std::string& script, json more, json hooks, bool mysql) {
    more["script"] = script;
    json out{{"hook", {{"h", more}}}, {"hooks", hooks}};
    if (mysql)
      out["mysql"] = {{"listen", "127.0.0.1:0"},
                      {"user", {{"gateway", {{"password_env", "TEST_SECRET"}, {"tenant", "acme"}}}}}};
    return out;
  }
  json query(const std::string& statement) {
    client.ask(++last_, "lookup", statement, {{"txn", ticket(1'000'000 + last_)}});
    return client.answer();
  }
  void reload_with(const std::string& script) {
    std::ofstream(file) << script;
    broker.program->signal(SIGHUP);
  }
  std::string file;

 private:
  int last_ = 0;

 public:
  HttpEngine engine;
  Broker broker;
  Client client;
};

TEST(Hooks, BothFrontsGetTheSameDecisions) {
  ScriptedBroker s(R"(function on_request(r)
    if r.tenant == "acme" and r.class == "lookup" and string.contains(r.statement, "sales_9.") then return {refuse = 120} end
    return {ram = 64, tags = {r.front}}
  end)",
                   {}, {}, true);
  const auto error = s.query("SELECT a FROM sales_9.x")["error"];
  EXPECT_EQ(error["code"], -32066);
  EXPECT_EQ(error["data"]["later"], 120);
  EXPECT_EQ(body(s.query("SELECT a FROM sales_8.x")), "a\tb\tc\n");
  MysqlClient mysql(s.broker.program->listen_address("mysql.listen"));
  mysql.query("SELECT a FROM sales_9.x");
  EXPECT_EQ(mysql.error.code, 50001);
  EXPECT_NE(mysql.error.message.find("120 ms"), std::string::npos);
  EXPECT_EQ(mysql.query("SELECT a FROM sales_8.x").size(), 1U);
  EXPECT_EQ(s.engine.posts(), 2U);
  s.broker.program->wait_for_log("tagged: tags=platform class=lookup tenant=acme end=served");
  s.broker.program->wait_for_log("tagged: tags=mysql class=lookup tenant=acme end=served");
}

TEST(Hooks, FailedScriptIsLoggedAndTheRequestIsServed) {
  for (const auto& [script, log_text] :
       {std::pair{"while true do end", "it took too long"},
        {"local t = {} while true do t[#t + 1] = r.statement .. #t end", "it took too much memory"},
        {"return {refuse = 'never'}", "'refuse' is not a number from 0 to 1e9"},
        {"return os.exit(1)", "attempt to index a nil value"}}) {
    // The script fails only on this statement, so that it passes the dry run on loading.
    ScriptedBroker s(
        "function on_request(r) if r.statement ~= 'SELECT 2' then return end " + std::string(script) + " end",
        {{"time", "500ms"}, {"wait", "10s"}, {"instructions", 1000000000}});
    EXPECT_EQ(body(s.query("SELECT 2")), "a\tb\tc\n") << script;
    s.broker.program->wait_for_log(log_text);
  }
}

TEST(Hooks, BreakerOpensAndClosesAndAReloadReplacesTheScript) {
  ScriptedBroker s(kEndlessScript, {{"on_failure", "refuse"}, {"later", "30ms"}},
                   {{"breaker", {{"failures", 3}, {"pause", "20ms"}, {"most_pause", "40ms"}}}});
  for (int i = 0; i < 3; ++i) EXPECT_EQ(s.query("endless")["error"]["data"]["later"], 30);
  s.broker.program->wait_for_log("hook h: it took too long");
  s.broker.program->wait_for_log("hook h: circuit breaker open for 0.02 s");
  EXPECT_EQ(s.query("SELECT 1")["error"]["code"], -32066) << "on_failure applies while the breaker is open";
  // The trials succeed and the breaker closes, since the script ends on other statements.
  for (json answer; !answer.contains("result");) answer = s.query("SELECT 1");
  s.broker.program->wait_for_log("hook h: circuit breaker half-open");
  while (s.query("SELECT 1").contains("error")) {
  }
  s.reload_with("function on_request(r) return {tags = {'fixed'}} end");
  s.broker.program->wait_for_log("the configuration was reloaded; hooks: 1");
  EXPECT_EQ(body(s.query("endless")), "a\tb\tc\n");
  s.broker.program->wait_for_log("tags=fixed");
}

TEST(Hooks, InvalidScriptIsRejectedAndTheOldOneStaysActive) {
  ScriptedBroker s("function on_request(r) return {tags = {'first'}} end");
  for (const auto& [script, log_text] :
       {std::pair{"function on_request(", "hook \"h\": h:1:"},
        {"while true do end", "hook \"h\": it took too long to load"},
        {"function on_request(r) error('never') end", "hook \"h\": on_request: it failed"}}) {
    s.reload_with(script);
    s.broker.program->wait_for_log("the configuration was not reloaded: " + std::string(log_text));
    EXPECT_EQ(body(s.query("SELECT 1")), "a\tb\tc\n");
  }
  s.broker.program->wait_for_log("tags=first");
}

TEST(Hooks, StateOfAHookPersistsAcrossAReload) {
  const std::string count =
      "function on_request(r) return {tags = {'n' .. math.tointeger(state.incr('n', 60))}} end";
  ScriptedBroker s(count);
  s.query("SELECT 1");
  s.query("SELECT 1");
  s.broker.program->wait_for_log("tags=n2");
  s.reload_with(count + " -- again");
  s.broker.program->wait_for_log("the configuration was reloaded");
  s.query("SELECT 1");
  s.broker.program->wait_for_log("tags=n3");
}

// A burst of requests for an endless hook must not delay requests that no hook matches. Each request of the
// burst gets exactly one answer.
TEST(Hooks, EndlessHookDoesNotDelayOtherRequests) {
  ScriptedBroker s(kEndlessScript,
                   {{"match", {{"statement_contains", "endless"}}}, {"wait", "5s"}, {"time", "20ms"}},
                   {{"breaker", {{"failures", 1000}}}, {"share", 0.1}});
  Client burst_client(s.broker.address);
  constexpr int kBurst = 60;
  for (int i = 1; i <= kBurst; ++i) burst_client.ask(i, "lookup", "endless", {{"txn", ticket(i)}});
  for (int i = 0; i < 20; ++i) EXPECT_EQ(body(s.query("SELECT 1")), "a\tb\tc\n");
  std::set<int> answered;
  for (int i = 0; i < kBurst; ++i)
    EXPECT_TRUE(answered.insert(burst_client.answer()["id"].get<int>()).second);
  EXPECT_EQ(answered.size(), static_cast<std::size_t>(kBurst));
}

TEST(Hooks, HandlesClientDisconnectAndStopDuringAHookCall) {
  ScriptedBroker s(kEndlessScript, {{"wait", "10s"}, {"time", "1s"}, {"instructions", 1000000000}},
                   {{"share", 0.01}});
  {
    Client leaving_client(s.broker.address);
    leaving_client.ask(1, "lookup", "endless", {{"txn", ticket(1)}});
    EXPECT_TRUE(leaving_client.is_healthy());
  }
  s.client.ask(77, "lookup", "endless", {{"txn", ticket(2)}});
  s.broker.program->signal(SIGTERM);
  const auto answer = s.client.answer();
  EXPECT_EQ(answer["id"], 77);
  EXPECT_EQ(answer["error"]["code"], -32066) << "the request has not been sent to an engine";
  EXPECT_EQ(s.broker.program->wait(), 0);
}

TEST(Hooks, CallsThePhasesTimerAndAnswer) {
  ScriptedBroker s(R"(
    function on_timer() log("timer") end
    function on_answer(a) log("end " .. a.kind .. " " .. a.class .. " " .. math.tointeger(a.attempts)) end)",
                   {{"phases", {"answer", "timer"}}, {"every", "10ms"}});
  s.query("SELECT 1");
  s.broker.program->wait_for_log("hook h logs: end served lookup 1");
  s.broker.program->wait_for_log("hook h logs: timer");
}

// ---- the command line

struct ProgramResult {
  int status = 0;
  std::string out;
};
ProgramResult run_program(const std::string& arguments) {
  ProgramResult out;
  FILE* pipe = ::popen((std::string(BELLSTAIR_PROGRAM) + " " + arguments + " 2>&1").c_str(), "r");
  char buffer[4096];
  for (std::size_t got = 0; (got = std::fread(buffer, 1, sizeof buffer, pipe)) > 0;)
    out.out.append(buffer, got);
  out.status = WEXITSTATUS(::pclose(pipe));
  return out;
}

TEST(HookTool, RunsCasesAndReportsFailures) {
  const auto script = write_temporary_file(kEndlessScript);
  const auto file = write_temporary_file("hook \"h\" {\n script = \"" + script +
                                         "\"\n match { tenant = \"lycee-ennour\" }\n}\n");
  const auto cases = write_temporary_file(
      R"({"name": "quick", "request": {"tenant": "lycee-ennour"}, "expect": {"pass": "taken"}}
{"name": "endless", "request": {"tenant": "lycee-ennour", "statement": "endless"}, "expect": {"pass": "taken"}}
{"name": "other", "request": {"tenant": "ecole-el-amal"}, "expect": {"pass": "untouched"}}
)");
  const auto result = run_program("hook run " + file + " --cases " + cases);
  EXPECT_EQ(result.status, 0) << result.out;
  EXPECT_NE(result.out.find("the call was aborted"), std::string::npos) << result.out;
  EXPECT_NE(result.out.find("3 cases, 0 wrong"), std::string::npos);
  const auto wrong_cases =
      write_temporary_file(R"({"request": {"tenant": "lycee-ennour"}, "expect": {"pass": "refused"}})");
  const auto failed_run = run_program("hook run " + file + " --cases " + wrong_cases);
  EXPECT_EQ(failed_run.status, 1);
  EXPECT_NE(failed_run.out.find("pass is \\\"taken\\\", not \\\"refused\\\""), std::string::npos)
      << failed_run.out;
  EXPECT_EQ(run_program("hook check " + file).status, 0);
  std::ofstream(script) << "function on_request(";
  const auto check_run = run_program("hook check " + file);
  EXPECT_EQ(check_run.status, 1);
  EXPECT_NE(check_run.out.find("hook \"h\": h:1:"), std::string::npos) << check_run.out;
  for (const auto& path : {script, file, cases, wrong_cases}) ::unlink(path.c_str());
}

// Writes each fenced block of the operators' page to the file that its first line names, and runs the cases.
TEST(HookTool, ExamplesOfTheOperatorsPagePass) {
  std::string folder = "/tmp/bellstair-XXXXXX";
  ASSERT_NE(::mkdtemp(folder.data()), nullptr);
  std::ifstream page(BELLSTAIR_SOURCE "/docs/operators/hooks.md");
  std::ofstream out;
  std::set<std::string> files;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("```")) {
      if (out.is_open()) {
        out.close();
      } else {
        files.insert(line.substr(line.find(' ') + 1));
        out.open(folder + "/" + line.substr(line.find(' ') + 1));
      }
    } else if (out.is_open()) {
      out << line << '\n';
    }
  }
  ASSERT_EQ(files.size(), 6U);
  const auto result = run_program("hook run " + folder + "/examples.hcl --cases " + folder + "/cases.jsonl");
  EXPECT_EQ(result.status, 0) << result.out;
  EXPECT_NE(result.out.find("8 cases, 0 wrong"), std::string::npos) << result.out;
  for (const auto& file : files) ::unlink((folder + "/" + file).c_str());
  ::rmdir(folder.c_str());
}

TEST(HookTool, ReportsThePositionOfAnErrorInTheFile) {
  const auto file = write_temporary_file("hook \"h\" {\n  scirpt = \"x\"\n}\n");
  const auto result = run_program("hook check " + file);
  EXPECT_EQ(result.status, 1);
  EXPECT_NE(result.out.find(file + ":2:3: hook \"h\": unknown attribute 'scirpt': did you mean 'script'?"),
            std::string::npos)
      << result.out;
  ::unlink(file.c_str());
}

}  // namespace
}  // namespace bellstair::test
