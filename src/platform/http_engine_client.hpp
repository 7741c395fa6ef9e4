// The driver of HTTP engines: submits queries, polls them until they end, and fetches the pages of their
// results.
#pragma once

#include <ev++.h>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/patience.hpp"
#include "core/events.hpp"
#include "net/connection_pool.hpp"
#include "net/engine_driver.hpp"
#include "platform/http_client.hpp"
#include "platform/result_pages.hpp"

namespace bellstair::platform {

class HttpEngineClient : public net::EngineDriver {
 public:
  // `class_names` is indexed by core::ClassIndex. `load_fields` are the fields of load reports, in the order
  // that the core expects.
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
    submitted,         // no answer yet
    polling,           // the engine has the query
    fetching_pages,    // the query has ended
    cancel_requested,  // cancelled while submitted: waits for the engine's first answer
    deleting_on_other_connection,
    deleting_on_own_connection,  // after the delete on another connection failed
  };

  struct Attempt {
    core::EngineId engine = 0;
    Stage stage = Stage::connecting;
    std::uint64_t checkout_ticket = 0;  // of the wait for its first connection
    Connection* connection = nullptr;   // owned by the attempt until the last page
    HttpClient::CallId call = 0;        // the last call on that connection
    std::string query_path;
    core::Time last_contact_by{};  // steady clock: no call has kept the query alive after this time
    ResultPages pages;
    int reconnects = 0;                            // in a row, without a valid answer in between
    bool arrival_uncertain = false;                // the statement may still be in transit, or be lost
    std::optional<std::uint8_t> pending_priority;  // to be sent once the engine has the query
    core::AttemptEnded result;
  };

  [[nodiscard]] std::string host(core::EngineId engine) const;
  [[nodiscard]] std::string submit_request(const Attempt& attempt, const core::Transmit& effect) const;
  [[nodiscard]] std::string delete_request(const Attempt& attempt) const;

  // Sets the attempt's connection, or nullptr for none. An attempt gets its connections only through this.
  void set_connection(core::AttemptId id, Connection* connection);
  void call_on_own_connection(core::AttemptId id, const std::string& request);
  void poll(core::AttemptId id);  // requests the query's state, or the next page of its result
  void reconnect(core::AttemptId id);

  void on_response(core::AttemptId id, Outcome outcome, HttpResponse& response, Connection* reusable);
  void on_call_failed(core::AttemptId id, Attempt& attempt, Outcome outcome);
  void on_running(core::AttemptId id, Attempt& attempt);
  void on_page(core::AttemptId id, Attempt& attempt, const HttpResponse& response);
  void on_error(core::AttemptId id, Attempt& attempt, const HttpResponse& response);
  void on_response_while_deleting(core::AttemptId id, Attempt& attempt, Outcome outcome, unsigned status);

  void cancel_submitted(core::AttemptId id, Attempt& attempt);
  void delete_on_other_connection(core::AttemptId id);
  void delete_on_own_connection(core::AttemptId id);
  void on_deleted(core::AttemptId id, Outcome outcome, unsigned status);

  // Ends the attempt of a query that has ended, or never ran.
  void end(core::AttemptId id, core::AttemptEnd reason);
  // Ends the attempt of a query that is not proven to have ended: it may go on running at the engine.
  void end_possibly_running(core::AttemptId id, core::AttemptEnd reason);
  void release_connection(const Attempt& attempt);
  // Ends the attempts that hold the most memory, if all together hold too much.
  void limit_buffered_bytes();

  void check_health(core::EngineId engine, int retries);

  net::ConnectionPool pool_;
  HttpClient http_;
  std::size_t max_buffered_bytes_;
  core::Time max_transit_time_;  // data written reaches its engine within this time, or never
  std::vector<std::string> class_names_;
  std::vector<std::string> load_fields_;
  net::EventSink emit_;
  std::map<core::AttemptId, Attempt> attempts_;
  std::unordered_map<core::EngineId, std::string> addresses_;
  std::unordered_map<core::EngineId, Patience> health_check_patience_;
};

}  // namespace bellstair::platform
