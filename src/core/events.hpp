// Defines the core's events (inputs) and effects (outputs). They are plain values: no sockets, no JSON, no
// HTTP, no SQL.
//
// Times are nanoseconds of the core's steady clock, unless a comment names another clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bellstair/policy/scheduler.hpp"
#include "hooks/spec.hpp"
#include "log/level.hpp"

namespace bellstair::core {

using policy::AttemptIndex;
using policy::ClassIndex;
using policy::EngineId;
using policy::RequestId;
using Time = std::chrono::nanoseconds;
using ClientHandle = std::uint64_t;  // identifies one request of one client to its front

struct AttemptId {
  RequestId request = 0;
  AttemptIndex index = 0;
  auto operator<=>(const AttemptId&) const = default;
};

enum class FrontKind : std::uint8_t { platform, mysql };

// A request as a front has parsed it. The core does not interpret its body.
struct Submission {
  ClientHandle client = 0;
  FrontKind front = FrontKind::platform;
  ClassIndex cls = 0;
  std::uint32_t tenant = 0;
  std::uint64_t ordering_key = 0;  // 0: none
  Time time_limit{};               // how long the client waits, from when the request was received
  std::optional<Time> estimated_work;
  double estimated_memory_mb = 0;
  std::int64_t data_group = 0;
  bool is_client_retry = false;
  std::string ticket;           // the client's id of the request, unique among open requests; may be empty
  std::string idempotency_key;  // may be empty
  std::string body;
  std::string parameters;
};

struct EndpointRecord {
  policy::Endpoint endpoint;  // started_at is set by the core
  std::string address;
  Time started_unix{};  // Unix time from the endpoint list; 0: long ago
};

enum class AttemptEnd {
  served,
  error,           // the engine answered with an error; the query may have run
  rejected,        // the engine rejected the query; it never ran
  expired,         // nothing was transmitted; the query never ran
  connect_failed,  // the query never ran
  reset,           // the connection broke; the query may have run
  cancelled        // the engine has been notified if it could be reached
};

// ---- events

struct ListenersReady {};  // all fronts accept connections
struct EndpointUpdate {
  bool full = false;  // true: the complete list; false: only changes
  std::vector<EndpointRecord> endpoints;
  bool from_change_log = false;  // false: from the list that was cached before the program started
  std::uint64_t seq = 0;         // of the event in the change log; 0: not given
};
struct EndpointListPolled {  // the change log has no newer entries, or can't be reached
  bool answered = false;     // true: it answered, and its updates precede this event
};
struct RequestReceived {
  Submission submission;
  // The earliest time at which the request may have been received; 0: now. Its time limit starts then.
  Time since{};
};
struct ProcessStalled {  // the process was suspended for some time
  Time since{};          // when the sockets were last polled before the stall
  Time length{};
};
struct ClientCancelled {  // the client no longer expects an answer
  ClientHandle client = 0;
};
// The client has closed its sending side and may be gone: no further attempt starts for it.
struct ClientHalfClosed {
  ClientHandle client = 0;
};
struct AttemptConnected {  // the attempt has a connection; nothing has been written
  AttemptId id;
};
struct AttemptProgressed {  // the engine reports that the attempt is running
  AttemptId id;
};
struct AttemptEnded {
  AttemptId id;
  AttemptEnd end = AttemptEnd::error;
  std::string body;                 // served: the complete answer; else the engine's error message, if any
  std::string shape;                // format of the answer, if the engine reports it; opaque to the core
  std::optional<Time> work;         // CPU time that the engine reports
  double memory_mb = 0;             // memory that the engine reports; 0: not reported
  std::vector<double> load_report;  // load of the engine, in the order of the settings' load fields
  Time may_run_for{};               // how long it may still run at its engine; 0: it is proven to have ended
};
struct AttemptStopped {  // an attempt that ended with `may_run_for` above 0 is proven to have ended
  AttemptId id;
};
struct HealthCheckEnded {
  EngineId engine = 0;
  policy::AttemptResult result = policy::AttemptResult::served;
  std::vector<double> load;
};
struct GossipReceived {
  std::uint32_t from = 0;
  std::string bytes;
};
struct ShutdownRequested {
  Time since{};  // the earliest time at which the signal may have arrived; 0: now
};
struct ReloadRequested {};
struct ConfigurationRead {  // the response to ReadConfiguration
  std::string problem;      // why the file is invalid, one reason per line; empty: it is valid
  std::string changelog;
  std::vector<std::string> restart_only;  // changed settings that need a restart
  std::optional<hooks::Set> hooks;        // loaded and tested
};
// A complete version of the settings. It is applied as a whole while this event is handled, or rejected; all
// decisions use it from the next event on. Requests received before keep their deadline, their tenant, even
// if the version removes it, and the rules of their class, which no version can change.
struct SettingsOffered {
  std::uint64_t epoch = 0, number = 0;
  policy::Settings settings;
  std::string changelog;              // address of the change log; empty: the one in the configuration file
  std::shared_ptr<const void> names;  // opaque to the core; returned in SettingsApplied
};
struct HookRan {
  hooks::SliceResult ran;
};
struct HookRenewed {
  hooks::MachineRenewed renewed;
};
struct HooksTurn {};  // an iteration of the event loop in which waiting hook calls may continue
struct Tick {
  bool unwritten = false;  // a front still has data to write or a connection to close
};

using Event =
    std::variant<ListenersReady, EndpointUpdate, EndpointListPolled, RequestReceived, ProcessStalled,
                 ClientCancelled, ClientHalfClosed, AttemptConnected, AttemptProgressed, AttemptEnded,
                 AttemptStopped, HealthCheckEnded, GossipReceived, ShutdownRequested, ReloadRequested,
                 ConfigurationRead, SettingsOffered, HookRan, HookRenewed, HooksTurn, Tick>;

// ---- effects

enum class AnswerKind { served, rejected, failed, timed_out };
struct Answer {  // the only and final answer to a request
  ClientHandle client = 0;
  AnswerKind kind = AnswerKind::failed;
  Time retry_after{};  // rejected: how long the client should wait before it retries
  std::string body;    // served: the answer; else the last error message of an engine, if any
  std::string shape;   // served: as in AttemptEnded
};
struct StartAttempt {  // acquire a connection, then post AttemptConnected or AttemptEnded
  AttemptId id;
  EngineId engine = 0;
};
struct Transmit {  // send the query on the attempt's connection
  AttemptId id;
  ClassIndex cls = 0;
  Time timeout{};        // until the attempt expires
  double memory_mb = 0;  // memory that the engine reserves
  std::uint8_t priority = 1;
  std::string ticket, idempotency_key, body, parameters;
};
struct CancelAttempt {  // post AttemptEnded once the attempt has ended
  AttemptId id;
};
struct Reprioritize {
  AttemptId id;
  std::uint8_t priority = 1;
};
struct SendHealthCheck {
  EngineId engine = 0;
};
struct SendGossip {
  std::optional<std::uint32_t> to;
  std::string bytes;
};
struct EndpointChanged {  // the endpoint was added, changed its address or state, or was removed
  EngineId engine = 0;
  std::string address;
  bool usable = true;     // its connections may be used
  bool accepting = true;  // the engine accepts new attempts
};
struct Log {
  std::string text;
  log::Level level = log::Level::info;
};
struct ReadConfiguration {};  // read the configuration file, then post ConfigurationRead
struct FollowChangeLog {      // watch the change log at this address, from the last event received on
  std::string address;
};
struct SettingsApplied {  // the version's names and change log are active from now on
  std::uint64_t epoch = 0, number = 0;
  policy::Settings settings;
  std::string changelog;
  std::shared_ptr<const void> names;
};
struct SettingsRejected {  // the previous settings stay active
  std::uint64_t epoch = 0, number = 0;
  std::string problem;
};
using RunHook = hooks::RunSlice;  // run the slice, then post HookRan before any other hook event
using DropHook = hooks::AbortCall;
using RenewHook = hooks::RenewMachine;  // replace the machine, then post HookRenewed
using RetireHook = hooks::RetireMachine;
struct CloseClientConnections {};  // close each connection once all of its requests are answered
struct Exit {};

using Effect =
    std::variant<Answer, StartAttempt, Transmit, CancelAttempt, Reprioritize, SendHealthCheck, SendGossip,
                 EndpointChanged, Log, ReadConfiguration, FollowChangeLog, SettingsApplied, SettingsRejected,
                 RunHook, DropHook, RenewHook, RetireHook, CloseClientConnections, Exit>;
using Effects = std::vector<Effect>;

}  // namespace bellstair::core
