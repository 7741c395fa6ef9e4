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

#include "bellstair/policy/gateway.hpp"
#include "hooks/spec.hpp"
#include "log/level.hpp"

namespace bellstair::core {

using policy::AttemptIndex;
using policy::ClassIndex;
using policy::EngineId;
using policy::RequestId;
using Time = std::chrono::nanoseconds;
using Client = std::uint64_t;  // a front's handle for one request of one client

struct AttemptId {
  RequestId request = 0;
  AttemptIndex index = 0;
  auto operator<=>(const AttemptId&) const = default;
};

enum class FrontKind : std::uint8_t { platform, mysql };

// A request as a front has understood it. Bodies are opaque here.
struct Submission {
  Client client = 0;
  FrontKind front = FrontKind::platform;
  ClassIndex cls = 0;
  std::uint32_t tenant = 0;
  std::uint64_t order_key = 0;  // 0: none
  Time limit{};                 // the client waits for so long
  std::optional<Time> cost;
  double memory_mb = 0;
  std::int64_t data_group = 0;
  bool repeat = false;
  std::string ticket;  // the client's id of the request
  std::string nonce;   // its idempotency key, or none
  std::string body;
  std::string parameters;
};

struct Member {
  policy::EngineEntry entry;  // its last_start on the core's clock, which sets it
  std::string address;
  Time started{};  // Unix time of a late start, as told; 0: long ago
};

enum class AttemptEnd {
  served,
  error,          // it may have run
  turned_away,    // it never ran
  expired,        // it never ran: over before it began
  not_connected,  // it never ran
  reset,          // the connection broke: it may have run
  withdrawn       // given up, and the engine has been told as far as it could be
};

// ---- events

struct Listening {};  // the fronts accept connections
struct FleetChange {
  bool full = false;
  std::vector<Member> members;
  bool live = false;  // from the change log itself, not from what was known at the start
};
struct FleetQuiet {       // the change log has nothing newer, or cannot be asked
  bool answered = false;  // it answered, and what it told has come before this
};
struct Arrived {
  Submission asked;
  // The earliest moment at which it may have come, of the core's clock; 0: when the event is heard. The
  // client's time runs from there.
  Time since{};
};
struct Stalled {  // the process did not run for a while
  Time since{};   // its last look at its sockets before
  Time length{};
};
struct Cancelled {  // the client has stopped waiting
  Client client = 0;
};
struct HalfClosed {  // the client writes no more, and may be gone: nothing further is sent on for it
  Client client = 0;
};
struct AttemptReady {  // a connection is free for it; nothing has been written
  AttemptId id;
};
struct AttemptHeard {  // its engine says that it goes on
  AttemptId id;
};
struct AttemptEnded {
  AttemptId id;
  AttemptEnd end = AttemptEnd::error;
  std::string body;   // the whole answer, if served; else what the engine said, if anything
  std::string shape;  // beside the body, where an engine tells one; opaque too
  std::optional<Time> work;
  double memory_mb = 0;
  std::vector<double> load;
  Time lingers{};  // nothing proves that it is over at its engine, where it may run on for so long
};
struct ProbeEnded {
  EngineId engine = 0;
  policy::Result result = policy::Result::served;
  std::vector<double> load;
};
struct PeerHeard {
  std::uint32_t from = 0;
  std::string bytes;
};
struct StopAsked {
  Time since{};  // the earliest moment at which it may have come; 0: when the event is heard
};
struct ReloadAsked {};
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
    std::variant<Listening, FleetChange, FleetQuiet, Arrived, Stalled, Cancelled, HalfClosed, AttemptReady,
                 AttemptHeard, AttemptEnded, ProbeEnded, PeerHeard, StopAsked, ReloadAsked, ConfigurationRead,
                 SettingsOffered, HookRan, HookRenewed, HooksTurn, Tick>;

// ---- effects

enum class AnswerKind { served, refused, failed, timed_out };
struct Answer {  // the one final answer
  Client client = 0;
  AnswerKind kind = AnswerKind::failed;
  Time pause{};       // refused: how long to stay away
  std::string body;   // served: the answer; else what an engine said last, if anything
  std::string shape;  // served: as the engine told it
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
struct Abandon {  // ends with an AttemptEnded all the same
  AttemptId id;
};
struct Reprioritize {
  AttemptId id;
  std::uint8_t priority = 1;
};
struct ProbeEngine {
  EngineId engine = 0;
};
struct TellPeers {
  std::optional<std::uint32_t> to;
  std::string bytes;
};
struct EngineMoved {  // new, at another address, or no longer to be used
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
struct SettingsInForce {  // names, hooks' words and the change log are those of it from here on
  std::uint64_t epoch = 0, number = 0;
  policy::Settings settings;
  std::string changelog;
  std::shared_ptr<const void> names;
};
struct SettingsRefused {  // nothing has changed
  std::uint64_t epoch = 0, number = 0;
  std::string problem;
};
using RunHook = hooks::Run;  // then report HookRan, before anything else of a hook
using DropHook = hooks::Drop;
using RenewHook = hooks::Renew;  // then report HookRenewed
using RetireHook = hooks::Retire;
struct CloseFronts {};  // each client's connection, once nothing on it is owed
struct Exit {};

using Effect = std::variant<Answer, StartAttempt, Transmit, Abandon, Reprioritize, ProbeEngine, TellPeers,
                            EngineMoved, Log, ReadConfiguration, FollowChangeLog, SettingsInForce,
                            SettingsRefused, RunHook, DropHook, RenewHook, RetireHook, CloseFronts, Exit>;
using Effects = std::vector<Effect>;

}  // namespace bellstair::core
