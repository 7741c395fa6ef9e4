// Engines that speak HTTP: submits queries, polls them until they end, fetches the pages of their results.
#pragma once

#include <ev++.h>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/events.hpp"
#include "net/connection_pool.hpp"
#include "net/engine_driver.hpp"
#include "platform/http_client.hpp"
#include "platform/result_pages.hpp"

namespace bellstair::platform {

class HttpEngineClient : public net::EngineDriver {
 public:
  // `class_names`: by core::ClassIndex. `load_fields`: of load reports, in the order in which the core takes
  // them.
  HttpEngineClient(ev::loop_ref loop, net::ConnectionPool::Limits limits,
                   std::vector<std::string> class_names, std::vector<std::string> load_fields,
                   net::EventSink emit);

  void run(const core::StartAttempt& effect) override;
  void run(core::Transmit& effect) override;
  void run(const core::CancelAttempt& effect) override;
  void run(const core::Reprioritize& effect) override;
  void run(const core::SendHealthCheck& effect) override;
  void run(const core::EndpointChanged& effect) override;

  void tick(core::Time now) override;
  void resume(const net::Stall& stall) override;
  void settle() override { pool_.settle(); }

 private:
  using Connection = HttpClient::Connection;
  using Outcome = HttpClient::Outcome;

  enum class Stage {
    connecting,
    connected,
    submitted,           // no answer yet
    polling,             // the engine has the query
    fetching_pages,      // the query has ended
    cancel_requested,    // while submitted: waits for the engine's first answer
    deleting_elsewhere,  // on another connection than the attempt's
    deleting_here,       // on the attempt's own, since that failed
  };

  struct Attempt {
    core::EngineId engine = 0;
    Stage stage = Stage::connecting;
    std::uint64_t checkout_ticket = 0;  // while it waits for its first connection
    Connection* connection = nullptr;   // its own, until the last page
    HttpClient::CallId call = 0;        // the last one on its own connection
    std::string query_path;
    core::Time last_contact_by{};  // steady clock: the last call that keeps the query alive was over by then
    ResultPages pages;
    int reconnects = 0;             // in a row, without a good answer in between
    bool arrival_unproven = false;  // the statement may not have reached the engine, or may reach it yet
    std::optional<std::uint8_t> pending_priority;  // to be sent once the engine knows the query
    core::AttemptEnded result;
  };

  [[nodiscard]] std::string host(core::EngineId engine) const;
  [[nodiscard]] std::string submit_request(const Attempt& attempt, const core::Transmit& effect) const;
  [[nodiscard]] std::string delete_request(const Attempt& attempt) const;

  // The one way in which an attempt comes to hold a connection; nullptr: it has none any more.
  void hold(core::AttemptId id, Connection* connection);
  void call_on_own(core::AttemptId id, const std::string& request);
  void poll(core::AttemptId id);  // for the query's state, or for the next page
  void reconnect(core::AttemptId id);

  void on_response(core::AttemptId id, Outcome outcome, HttpResponse& response, Connection* reusable);
  void on_call_failed(core::AttemptId id, Attempt& attempt, Outcome outcome);
  void on_running(core::AttemptId id, Attempt& attempt);
  void on_page(core::AttemptId id, Attempt& attempt, const HttpResponse& response);
  void on_error(core::AttemptId id, Attempt& attempt, const HttpResponse& response);
  void on_response_while_deleting(core::AttemptId id, Attempt& attempt, Outcome outcome, unsigned status);

  void cancel_submitted(core::AttemptId id, Attempt& attempt);
  void delete_elsewhere(core::AttemptId id);
  void delete_here(core::AttemptId id);
  void on_deleted(core::AttemptId id, Outcome outcome, unsigned status);

  // The query is over, or never ran.
  void end(core::AttemptId id, core::AttemptEnd how);
  // Nothing proves that the query is over: it may run on at the engine for a while.
  void end_unproven(core::AttemptId id, core::AttemptEnd how);
  void release_connection(const Attempt& attempt);

  void check_health(core::EngineId engine, int retries);

  net::ConnectionPool pool_;
  HttpClient http_;
  core::Time max_transit_;  // what is written reaches its engine within so long, or never
  std::vector<std::string> class_names_;
  std::vector<std::string> load_fields_;
  net::EventSink emit_;
  std::map<core::AttemptId, Attempt> attempts_;
  std::unordered_map<core::EngineId, std::string> addresses_;
};

}  // namespace bellstair::platform
