// The core's events (inputs) and effects (outputs). Plain values: no sockets, no JSON, no HTTP, no SQL.
//
// Times are of the core's steady clock, in nanoseconds, where nothing else is said.
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
using ClientHandle = std::uint64_t;  // a front's name for one request of one client

struct AttemptId {
  RequestId request = 0;
  AttemptIndex index = 0;
  auto operator<=>(const AttemptId&) const = default;
};

enum class FrontKind : std::uint8_t { platform, mysql };

// A request as parsed by a front. Its body is opaque here.
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
  std::string ticket;           // the client's id of the request, unique among those open; or empty
  std::string idempotency_key;  // or empty
  std::string body;
  std::string parameters;
};

struct EndpointRecord {
  policy::Endpoint endpoint;  // started_at is set by the core
  std::string address;
  Time started_unix{};  // Unix time, as listed; 0: long ago
};

enum class AttemptEnd {
  served,
  error,           // it may have run
  rejected,        // it never ran
  expired,         // it never ran: nothing was transmitted
  connect_failed,  // it never ran
  reset,           // the connection broke: it may have run
  cancelled        // the engine has been notified, as far as it could be
};

// ---- events

struct ListenersReady {};  // the fronts accept connections
struct EndpointUpdate {
  bool full = false;  // the complete list; else changes only
  std::vector<EndpointRecord> endpoints;
  bool from_change_log = false;  // else from the list cached before the start
};
struct EndpointListPolled {  // the change log has nothing newer, or can't be reached
  bool answered = false;     // its updates have come before this event
};
struct RequestReceived {
  Submission submission;
  // The earliest time at which it may have been received; 0: now. Its time limit counts from there.
  Time since{};
};
struct ProcessStalled {  // the process did not run for a while
  Time since{};          // when its sockets were last polled before
  Time length{};
};
struct ClientCancelled {  // no answer is owed any more
  ClientHandle client = 0;
};
struct ClientHalfClosed {  // the client writes no more and may be gone: no further attempt is made for it
  ClientHandle client = 0;
};
struct AttemptConnected {  // it has a connection; nothing has been written
  AttemptId id;
};
struct AttemptProgressed {  // its engine reports that it is running
  AttemptId id;
};
struct AttemptEnded {
  AttemptId id;
  AttemptEnd end = AttemptEnd::error;
  std::string body;                 // the complete answer, if served; else the engine's message, if any
  std::string shape;                // of the answer, where an engine tells it; opaque too
  std::optional<Time> work;         // CPU time, as reported
  double memory_mb = 0;             // as reported; 0: not reported
  std::vector<double> load_report;  // of the engine, in the order of the settings' fields
  Time may_run_for{};               // at its engine, where nothing proves that it has ended; 0: it has
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
  Time since{};  // the earliest time at which the signal may have come; 0: now
};
struct ReloadRequested {};
struct ConfigurationRead {  // in answer to ReadConfiguration
  std::string problem;      // why it can't be used, one reason a line; empty: it can
  std::string changelog;
  std::vector<std::string> fixed;   // changed settings that need a restart
  std::optional<hooks::Set> hooks;  // loaded and tested
};
// A complete version of the settings, applied within this one event or not at all. From the next event on all
// decisions go by it. Requests received before keep their deadline, their tenant, even if it is removed, and
// what their class allows, which no version can change.
struct SettingsOffered {
  std::uint64_t epoch = 0, number = 0;
  policy::Settings settings;
  std::string changelog;              // its address; empty: that of the configuration file
  std::shared_ptr<const void> names;  // opaque; handed back in SettingsApplied
};
struct HookRan {
  hooks::SliceResult ran;
};
struct HookRenewed {
  hooks::MachineRenewed renewed;
};
struct HooksTurn {};  // an iteration of the event loop in which waiting hook calls may continue
struct Tick {
  bool unwritten = false;  // a front has still to write, or to close a connection
};

using Event =
    std::variant<ListenersReady, EndpointUpdate, EndpointListPolled, RequestReceived, ProcessStalled,
                 ClientCancelled, ClientHalfClosed, AttemptConnected, AttemptProgressed, AttemptEnded,
                 HealthCheckEnded, GossipReceived, ShutdownRequested, ReloadRequested, ConfigurationRead,
                 SettingsOffered, HookRan, HookRenewed, HooksTurn, Tick>;

// ---- effects

enum class AnswerKind { served, rejected, failed, timed_out };
struct Answer {  // the one final answer to a request
  ClientHandle client = 0;
  AnswerKind kind = AnswerKind::failed;
  Time retry_after{};  // rejected: how long the client should stay away
  std::string body;    // served: the answer; else an engine's last message, if any
  std::string shape;   // served: as in AttemptEnded
};
struct StartAttempt {  // get a connection, then post AttemptConnected or AttemptEnded
  AttemptId id;
  EngineId engine = 0;
};
struct Transmit {  // on the attempt's connection; its first byte may leave now
  AttemptId id;
  ClassIndex cls = 0;
  Time timeout{};        // until the attempt expires
  double memory_mb = 0;  // to be reserved
  std::uint8_t priority = 1;
  std::string ticket, idempotency_key, body, parameters;
};
struct CancelAttempt {  // it still ends with an AttemptEnded
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
struct EndpointChanged {  // added, moved to another address, or removed
  EngineId engine = 0;
  std::string address;
  bool usable = true;     // its connections may be used
  bool accepting = true;  // it accepts new attempts
};
struct Log {
  std::string text;
  log::Level level = log::Level::info;
};
struct ReadConfiguration {};  // then post ConfigurationRead
struct FollowChangeLog {      // watch it at this address, from the last event on
  std::string address;
};
struct SettingsApplied {  // its names and change log are in force from here on
  std::uint64_t epoch = 0, number = 0;
  policy::Settings settings;
  std::string changelog;
  std::shared_ptr<const void> names;
};
struct SettingsRejected {  // nothing has changed
  std::uint64_t epoch = 0, number = 0;
  std::string problem;
};
using RunHook = hooks::RunSlice;  // then post HookRan, before any other hook event
using DropHook = hooks::AbortCall;
using RenewHook = hooks::RenewMachine;  // then post HookRenewed
using RetireHook = hooks::RetireMachine;
struct CloseClientConnections {};  // each one once all of its requests are answered
struct Exit {};

using Effect =
    std::variant<Answer, StartAttempt, Transmit, CancelAttempt, Reprioritize, SendHealthCheck, SendGossip,
                 EndpointChanged, Log, ReadConfiguration, FollowChangeLog, SettingsApplied, SettingsRejected,
                 RunHook, DropHook, RenewHook, RetireHook, CloseClientConnections, Exit>;
using Effects = std::vector<Effect>;

}  // namespace bellstair::core
