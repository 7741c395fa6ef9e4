// Engines that speak HTTP: starts queries, asks for their news until they end, fetches their pages.
#pragma once

#include <ev++.h>

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/events.hpp"
#include "net/driver.hpp"
#include "net/pool.hpp"
#include "platform/http.hpp"

namespace bellstair::platform {

class Engines : public net::EngineDriver {
 public:
  Engines(ev::loop_ref loop, net::Pool::Limits limits, std::vector<std::string> class_names,
          std::vector<std::string> load_fields, net::Post post);

  void run(const core::StartAttempt& effect) override;
  void run(core::Transmit& effect) override;
  void run(const core::CancelAttempt& effect) override;
  void run(const core::Reprioritize& effect) override;
  void run(const core::SendHealthCheck& effect) override;
  void run(const core::EndpointChanged& effect) override;

  void settle() override { pool_.settle(); }
  void tick(core::Time now) override;
  void wake(core::Time now) override;

 private:
  using Connection = net::Pool::Connection;
  // leaving: given up before the engine's first word; deleting: the engine is being told, on a connection
  // beside the attempt's; recalling: that failed, so on the attempt's own, once the call on it is through.
  enum class Stage { waiting, ready, posted, polling, paging, leaving, deleting, recalling };
  enum class End { answered, not_connected, unsent, broken, silent };
  // The connection comes back where it is fit for another call; otherwise it is gone, and none comes.
  using Done = std::function<void(End, HttpAnswer&, Connection* fit)>;
  using Heard = std::function<void(End, HttpAnswer&)>;

  struct Attempt {
    core::EngineId engine = 0;
    Stage stage = Stage::waiting;
    std::uint64_t ticket = 0;          // while it waits for a connection
    Connection* connection = nullptr;  // its own, from POST to the last page
    std::uint64_t call = 0;            // the one that starts it
    std::string query;                 // its path at the engine
    core::Time quiet_since{};  // steady clock: the last call that keeps the query alive was over by then
    std::size_t next_page = 0, pages = 0;
    int reconnects = 0;                // in a row, without a good answer in between
    bool doubtful = false;             // nothing has proved yet that the statement has come
    std::optional<std::uint8_t> rank;  // a priority to be told once the engine knows the query
    core::AttemptEnded result;
  };
  struct Call {
    Connection* connection = nullptr;
    std::size_t before = 0;  // bytes that had left on the connection when the call began
    Done done;
  };

  std::uint64_t call(Connection& connection, const std::string& bytes, core::Time patience, Done done);
  void finish(std::uint64_t serial, End end);
  void probe(core::EngineId engine, int again);
  // A call on any connection of the engine's.
  void aside(core::EngineId engine, std::string bytes, core::Time patience, Heard heard);

  void answered(core::AttemptId id, End end, HttpAnswer& answer, Connection* fit);
  void ask(core::AttemptId id);  // for news, or for the next page
  void reconnect(core::AttemptId id);
  bool take_page(Attempt& attempt, HttpAnswer& answer);  // false: it is spoilt
  void end(core::AttemptId id, core::AttemptEnd how);
  void give_up(core::AttemptId id);  // tells the engine
  void deleted(core::AttemptId id, End how, const HttpAnswer& answer);
  void recall(core::AttemptId id);                        // tells it on the attempt's own connection
  void let_go(core::AttemptId id, core::AttemptEnd how);  // without proof that the query is over
  void keep(core::AttemptId id, Connection* connection);  // none: it has none any more
  void take_load(const HttpAnswer& answer, std::vector<double>& load) const;
  std::string host(core::EngineId engine) const;
  std::string deletion(const Attempt& attempt) const;  // the call that gives it up

  net::Pool pool_;
  core::Time transit_;  // what is written reaches its engine within so long, or never
  std::vector<std::string> class_names_, load_fields_;
  net::Post post_;
  std::map<core::AttemptId, Attempt> attempts_;
  std::unordered_map<std::uint64_t, Call> calls_;
  std::unordered_map<core::EngineId, std::string> addresses_;
  core::TimerWheel<std::uint64_t> patience_{std::chrono::milliseconds(5)};
  std::uint64_t serial_ = 0;
  core::Time now_{};
};

}  // namespace bellstair::platform
