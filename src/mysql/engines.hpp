// Engines that speak MySQL. Statements belong to the broker: each is prepared anew on the connection that an
// attempt goes out on, unless that connection knows it already.
#pragma once

#include <ev++.h>

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/fronts.hpp"
#include "mysql/command.hpp"
#include "mysql/packet.hpp"
#include "mysql/result.hpp"
#include "net/driver.hpp"
#include "net/pool.hpp"

namespace bellstair::mysql {

class Engines : public net::EngineDriver {
 public:
  Engines(ev::loop_ref loop, net::Pool::Limits limits, config::MysqlEngines account,
          std::vector<std::string> class_names, net::Post post);

  void run(const core::StartAttempt& effect) override;
  void run(core::Transmit& effect) override;
  void run(const core::CancelAttempt& effect) override;
  void run(const core::Reprioritize&) override {}  // the protocol knows no priorities
  void run(const core::SendHealthCheck& effect) override;
  void run(const core::EndpointChanged& effect) override;
  void settle() override { pool_.settle(); }
  void tick(core::Time now) override;
  void wake(core::Time now) override;

 private:
  using Connection = net::Pool::Connection;
  enum class Stage { waiting, ready, preparing, executing, leaving };
  struct Session;
  struct Attempt {
    core::EngineId engine = 0;
    Stage stage = Stage::waiting;
    std::uint64_t ticket = 0;
    Connection* connection = nullptr;
    core::Transmit what;
    // Of the answer that is coming in.
    Prepared prepared;
    std::size_t definitions = 0;      // still to come
    std::vector<std::uint8_t> types;  // of the result's columns
    std::size_t columns = 0;
    bool rows = false;  // they are coming
    Shape shape;
    core::AttemptEnded result;
  };

  void greet(Connection& connection, std::function<void(bool)> done);
  void greeted(Connection& connection, const Packet& packet, const std::function<void(bool)>& done);
  void take(core::AttemptId id, std::string_view bytes);
  void take(core::AttemptId id, Attempt& attempt, const Packet& packet);
  void take_prepared(core::AttemptId id, Attempt& attempt, const std::string& payload);
  void take_result(core::AttemptId id, Attempt& attempt, const std::string& payload);
  void execute(core::AttemptId id, Attempt& attempt);
  void lost(core::AttemptId id);
  void end(core::AttemptId id, core::AttemptEnd how, std::string said = {});
  void kill(core::EngineId engine, std::uint32_t connection, std::function<void()> done);
  // A command that OK answers, on any connection of the engine's; `done` is told whether one could be had,
  // and whether it was answered.
  void aside(core::EngineId engine, std::string payload, std::function<void(bool had, bool answered)> done);

  net::Pool pool_;
  config::MysqlEngines account_;
  std::vector<std::string> class_names_;
  net::Post post_;
  std::map<core::AttemptId, Attempt> attempts_;
  std::unordered_map<std::uint64_t, std::function<void()>> overdue_;
  core::TimerWheel<std::uint64_t> patience_{std::chrono::milliseconds(5)};
  std::uint64_t serial_ = 0;
  core::Time now_{};
};

}  // namespace bellstair::mysql
