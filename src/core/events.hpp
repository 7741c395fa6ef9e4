// What happens to the core, and what it asks for. Plain values: no sockets, no JSON, no HTTP, no SQL.
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
using ClientHandle = std::uint64_t;  // a front's handle for one request of one client

struct AttemptId {
  RequestId request = 0;
  AttemptIndex index = 0;
  auto operator<=>(const AttemptId&) const = default;
};

enum class FrontKind : std::uint8_t { platform, mysql };

// A request as a front has understood it. Bodies are opaque here.
struct Submission {
  ClientHandle client = 0;
  FrontKind front = FrontKind::platform;
  ClassIndex cls = 0;
  std::uint32_t tenant = 0;
  std::uint64_t ordering_key = 0;  // 0: none
  Time time_limit{};               // the client waits for so long
  std::optional<Time> estimated_work;
  double estimated_memory_mb = 0;
  std::int64_t data_group = 0;
  bool is_client_retry = false;
  std::string ticket;           // the client's id of the request
  std::string idempotency_key;  // its idempotency key, or none
  std::string body;
  std::string parameters;
};

struct EndpointRecord {
  policy::Endpoint endpoint;  // its last_start on the core's clock, which sets it
  std::string address;
  Time started_unix{};  // Unix time of a late start, as told; 0: long ago
};

enum class AttemptEnd {
  served,
  error,           // it may have run
  rejected,        // it never ran
  expired,         // it never ran: over before it began
  connect_failed,  // it never ran
  reset,           // the connection broke: it may have run
  cancelled        // given up, and the engine has been told as far as it could be
};

// ---- events

struct ListenersReady {};  // the fronts accept connections
struct EndpointUpdate {
  bool full = false;
  std::vector<EndpointRecord> endpoints;
  bool from_change_log = false;  // from the change log itself, not from what was known at the start
};
struct EndpointListPolled {  // the change log has nothing newer, or cannot be asked
  bool answered = false;     // it answered, and what it told has come before this
};
struct RequestReceived {
  Submission submission;
  // The earliest moment at which it may have come, of the core's clock; 0: when the event is heard. The
  // client's time runs from there.
  Time since{};
};
struct ProcessStalled {  // the process did not run for a while
  Time since{};          // its last look at its sockets before
  Time length{};
};
struct ClientCancelled {  // the client has stopped waiting
  ClientHandle client = 0;
};
struct ClientHalfClosed {  // the client writes no more, and may be gone: nothing further is sent on for it
  ClientHandle client = 0;
};
struct AttemptConnected {  // a connection is free for it; nothing has been written
  AttemptId id;
};
struct AttemptProgressed {  // its engine says that it goes on
  AttemptId id;
};
struct AttemptEnded {
  AttemptId id;
  AttemptEnd end = AttemptEnd::error;
  std::string body;   // the whole answer, if served; else what the engine said, if anything
  std::string shape;  // beside the body, where an engine tells one; opaque too
  std::optional<Time> work;
  double memory_mb = 0;
  std::vector<double> load_report;
  Time may_run_for{};  // nothing proves that it is over at its engine, where it may run on for so long
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
  Time since{};  // the earliest moment at which it may have come; 0: when the event is heard
};
struct ReloadRequested {};
struct ConfigurationRead {  // again, because it was asked for
  std::string problem;      // why it can't be used; the old one stays then
  std::string changelog;
  std::vector<std::string> fixed;   // fields that have changed and need a restart
  std::optional<hooks::Set> hooks;  // loaded and tried
};
// A version of the settings, whole. Taken up in this one event or not at all, in every phase of the program:
// whichever decision comes after it, in the reducer or in the module, goes by the new aims, worths, shares
// and quotas, about requests taken before as well. Those keep what they were taken with: their deadline,
// their tenant (also one that is no longer in the settings) and what their class allows, which no version can
// change.
struct SettingsOffered {
  std::uint64_t epoch = 0, number = 0;
  policy::Settings settings;
  std::string changelog;              // empty: that of the platform's own configuration
  std::shared_ptr<const void> names;  // whoever offers it knows what it is
};
struct HookRan {
  hooks::Ran ran;
};
struct HookRenewed {
  hooks::Renewed renewed;
};
struct HooksTurn {};  // a turn of the loop in which calls that wait may go on
struct Tick {
  bool unwritten = false;  // a front still has something to write, or a connection to close
};

using Event =
    std::variant<ListenersReady, EndpointUpdate, EndpointListPolled, RequestReceived, ProcessStalled,
                 ClientCancelled, ClientHalfClosed, AttemptConnected, AttemptProgressed, AttemptEnded,
                 HealthCheckEnded, GossipReceived, ShutdownRequested, ReloadRequested, ConfigurationRead,
                 SettingsOffered, HookRan, HookRenewed, HooksTurn, Tick>;

// ---- effects

enum class AnswerKind { served, rejected, failed, timed_out };
struct Answer {  // the one final answer
  ClientHandle client = 0;
  AnswerKind kind = AnswerKind::failed;
  Time retry_after{};  // refused: how long to stay away
  std::string body;    // served: the answer; else what an engine said last, if anything
  std::string shape;   // served: as the engine told it
};
struct StartAttempt {  // find a connection, then report AttemptReady
  AttemptId id;
  EngineId engine = 0;
};
struct Transmit {  // the first byte may leave now
  AttemptId id;
  ClassIndex cls = 0;
  Time wait{};
  double memory_mb = 0;
  std::uint8_t priority = 1;
  std::string ticket, nonce, body, parameters;
};
struct CancelAttempt {  // ends with an AttemptEnded all the same
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
struct EndpointChanged {  // new, at another address, or no longer to be used
  EngineId engine = 0;
  std::string address;
  bool usable = true;     // its connections are of use
  bool accepting = true;  // it takes new work
};
struct Log {
  std::string text;
  log::Level level = log::Level::info;
};
struct ReadConfiguration {};  // whole, then report ConfigurationRead
struct FollowChangeLog {      // there from now on; the number of the last event carries on
  std::string address;
};
struct SettingsApplied {  // names, hooks' words and the change log are those of it from here on
  std::uint64_t epoch = 0, number = 0;
  policy::Settings settings;
  std::string changelog;
  std::shared_ptr<const void> names;
};
struct SettingsRejected {  // nothing has changed
  std::uint64_t epoch = 0, number = 0;
  std::string problem;
};
using RunHook = hooks::Run;  // then report HookRan, before anything else of a hook
using DropHook = hooks::Drop;
using RenewHook = hooks::Renew;  // then report HookRenewed
using RetireHook = hooks::Retire;
struct CloseClientConnections {};  // each client's connection, once nothing on it is owed
struct Exit {};

using Effect =
    std::variant<Answer, StartAttempt, Transmit, CancelAttempt, Reprioritize, SendHealthCheck, SendGossip,
                 EndpointChanged, Log, ReadConfiguration, FollowChangeLog, SettingsApplied, SettingsRejected,
                 RunHook, DropHook, RenewHook, RetireHook, CloseClientConnections, Exit>;
using Effects = std::vector<Effect>;

}  // namespace bellstair::core
