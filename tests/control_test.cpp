// The control plane's decisions and its store: each safety rule, hostile input, damaged files.
#include <gtest/gtest.h>
#include <sqlite3.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>

#include "control/node.hpp"
#include "control/store.hpp"
#include "control/subscriber.hpp"
#include "control/utf8.hpp"

namespace bellstair::control {
namespace {

using namespace std::chrono_literals;

Version version(std::uint64_t epoch, std::uint64_t number, const std::string& writer = "c1",
                const std::string& text = "share = 1\n") {
  Version out{{epoch, number}, writer, {}, text};
  out.digest = compute_digest(out);
  return out;
}

template <class T, class Effects>
std::vector<T> all_of(const Effects& effects) {
  std::vector<T> out;
  for (const auto& effect : effects)
    if (const auto* found = std::get_if<T>(&effect)) out.push_back(*found);
  return out;
}

// The messages of one kind among the effects, to one peer.
template <class T>
std::vector<T> sent(const NodeEffects& effects, PeerId peer) {
  std::vector<T> out;
  for (const auto& send : all_of<Send>(effects)) {
    if (send.peer != peer) continue;
    const Message message = decode(send.body);
    if (const auto* found = std::get_if<T>(&message)) out.push_back(*found);
  }
  return out;
}
template <class T>
std::vector<T> sent(const SubscriberEffects& effects) {
  std::vector<T> out;
  for (const auto& send : all_of<SendToNode>(effects)) {
    const Message message = decode(send.body);
    if (const auto* found = std::get_if<T>(&message)) out.push_back(*found);
  }
  return out;
}
template <class T, class Effects>
bool says(const Effects& effects, const std::string& part) {
  for (const auto& line : all_of<T>(effects))
    if (line.text.find(part) != std::string::npos) return true;
  return false;
}
bool logs(const NodeEffects& effects, const std::string& part) { return says<LogLine>(effects, part); }
bool says(const SubscriberEffects& effects, const std::string& part) { return says<LogLine>(effects, part); }

std::string text_of(const std::optional<PersistError>& error) { return error ? error->what() : ""; }

std::string error_of(std::string_view text) {
  try {
    (void)decode(text);
  } catch (const MalformedMessage& error) {
    return error.what();
  }
  return "none";
}

// ---- versions and messages

TEST(ControlVersion, DigestCoversEachPartAndItsLength) {
  const Version good = version(3, 17, "c1", "text");
  EXPECT_TRUE(is_intact(good));
  EXPECT_EQ(good.digest.size(), 64U);
  std::set<std::string> digests{good.digest};
  for (Version other : {Version{{4, 17}, "c1", {}, "text"}, Version{{3, 18}, "c1", {}, "text"},
                        Version{{3, 17}, "c2", {}, "text"}, Version{{3, 17}, "c1", {}, "texu"},
                        Version{{3, 17}, "c", {}, "1text"}, Version{{3, 17}, "c1t", {}, "ext"}}) {
    EXPECT_TRUE(digests.insert(compute_digest(other)).second);
    other.digest = good.digest;
    EXPECT_FALSE(is_intact(other));
  }
}

std::vector<Message> one_of_each() {
  NodeStatus status{"c1", "north", {3, "c1"}, true, {3, 17}, std::string(64, 'a'), {}};
  status.brokers.push_back(
      {"b1", "north", {3, 17}, {3, 18}, "ab", "b1.hcl:3:4: \"no\"\n\xC3\xA9", true, 1500ms});
  return {Hello{kProtocolVersion, "tunis", "b1", "north", Role::broker, {3, "c1"}, {3, 17}, "ab"},
          Hello{kProtocolVersion, "tunis", "c2", "", Role::node, {}, {}, ""},
          Welcome{kProtocolVersion, "tunis", "c1", {3, "c1"}, {3, 17}},
          GoAway{"fleet"},
          VersionUpdate{version(3, 17, "c1", "a \"b\" \\ \t \xE2\x82\xAC")},
          BrokerReport{{3, 16}, "ab", {3, 17}, "doc:1:2: no"},
          Ping{},
          Pong{{3, "c1"}},
          Publish{"text"},
          Published{{3, 18}},
          PublishRejected{"a\nb"},
          StatusRequest{},
          status};
}

TEST(ControlMessage, EachKindComesBackAsItWas) {
  for (const auto& message : one_of_each()) {
    const auto text = encode(message);
    const auto back = decode(text);
    EXPECT_EQ(back.index(), message.index());
    EXPECT_EQ(encode(back), text);
  }
  const auto offer = std::get<VersionUpdate>(decode(encode(VersionUpdate{version(3, 17)})));
  EXPECT_TRUE(is_intact(offer.version));
}

TEST(ControlMessage, WhatIsWrongIsNamedByItsMember) {
  const std::string hello =
      R"({"kind":"hello","protocol":1,"fleet":"f","name":"b","region":"","role":"broker",)"
      R"("reign":{"epoch":1,"writer":"c"},"have":{"epoch":0,"number":0},"digest":""})";
  ASSERT_EQ(error_of(hello), "none");
  const auto with = [&hello](const std::string& from, const std::string& to) {
    std::string out = hello;
    return out.replace(out.find(from), from.size(), to);
  };
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"", "message: "},
      {"[]", "message: not an object"},
      {"{}", "message.kind: missing"},
      {R"({"kind":7})", "message.kind: not a text"},
      {R"({"kind":"noise"})", "message.kind: noise is unknown"},
      {hello.substr(0, 50), "message: "},
      {hello + "x", "message: "},
      {with(R"("fleet":"f",)", ""), "hello.fleet: missing"},
      {with(R"("f")", "7"), "hello.fleet: not a text"},
      {with(R"("f")", R"("")"), "hello.fleet: empty"},
      {with(R"("f")", "\"" + std::string(129, 'f') + "\""), "hello.fleet: 129 bytes, at most 128"},
      {with(R"("f")", R"("a\nb")"), "hello.fleet: a control character"},
      {with(R"("f")", "\"\xC3\""), "message: "},
      {with(R"("f")", "\"\xED\xA0\x80\""), "message: "},
      {with(R"("broker")", R"("king")"), "hello.role: neither"},
      {with(R"("epoch":1)", R"("epoch":-1)"), "hello.reign.epoch: not a whole number"},
      {with(R"("epoch":1)", R"("epoch":1.5)"), "hello.reign.epoch: not a whole number"},
      {with(R"("epoch":1)", R"("epoch":9223372036854775808)"), "hello.reign.epoch: not a whole number"},
      {with(R"("epoch":1)", R"("epoch":99999999999999999999999)"), "hello.reign.epoch: not a whole number"},
      {with(R"("epoch":1)", R"("epoch":"1")"), "hello.reign.epoch: not a number"},
      {with(R"("writer":"c")", R"("writer":"")"), "hello.reign.writer: empty"},
      {with(R"({"epoch":0,"number":0})", "[0,0]"), "hello.have: not an object"},
      {with(R"("digest":"")", "\"digest\":\"" + std::string(65, 'a') + "\""), "hello.digest: 65 bytes"},
      {with(R"("protocol":1)", R"("protocol":null)"), "hello.protocol: not a number"},
      {R"({"kind":"offer","version":{"place":{"epoch":0,"number":1}}})",
       "offer.version.place: 0 is no place"},
      {R"({"kind":"status","node":"c","region":"","reign":{"epoch":0,"writer":""},"writes":1})",
       "status.writes: neither"},
      {R"({"kind":"status","node":"c","region":"","reign":{"epoch":0,"writer":""},"writes":true,)"
       R"("newest":{"epoch":0,"number":0},"digest":"","brokers":[7]})",
       "status.brokers[0]: not an object"},
      {R"({"kind":"publish","text":")" + std::string(kMaxDocumentBytes + 1, 'x') + "\"}",
       "publish.text: 1048577 bytes"},
      {std::string(100'000, '['), "message: nested deeper"},
      {R"({"kind":"ping","x":[)" +
           std::string(600'000, '0')
               .replace(1, 599'998,
                        [] {
                          std::string zeros;
                          while (zeros.size() < 599'998) zeros += ",0";
                          return zeros;
                        }()) +
           "]}",
       "message: "},
      {std::string(kMaxMessageBytes + 1, ' '), "message: 4194305 bytes"},
  };
  for (const auto& [text, problem] : cases) {
    const auto error = error_of(text);
    EXPECT_EQ(error.substr(0, problem.size()), problem) << text.substr(0, 200);
    EXPECT_LT(error.size(), 400U);
  }
  EXPECT_NE(error_of(cases.back().first), "none");
}

TEST(ControlMessage, OfAnotherProtocolTheNumberAloneIsRead) {
  const auto message = decode(R"({"kind":"hello","protocol":2,"fleet":[]})");
  EXPECT_EQ(std::get<Hello>(message).protocol, 2U);
  EXPECT_EQ(error_of(R"({"kind":"hello","protocol":4294967296})").substr(0, 15), "hello.protocol:");
}

TEST(ControlMessage, TextsAreCleanedAndCutButDocumentsNever) {
  EXPECT_EQ(sanitize_utf8("a\xC3\xA9z", 2), "a");
  EXPECT_EQ(sanitize_utf8("a\xFFz\xE2\x82", 9), "a?z??");
  EXPECT_EQ(sanitize_utf8("\xF0\x9F\x98\x80\xC0\xAF", 9), "\xF0\x9F\x98\x80??");
  const std::string long_problem(2000, '\xFF');
  EXPECT_EQ(std::get<BrokerReport>(decode(encode(BrokerReport{{}, "", {}, long_problem}))).reason.size(),
            kMaxReasonBytes);
  EXPECT_THROW((void)encode(Publish{"\xFF"}), MalformedMessage);
}

// Bytes changed, cut, doubled, and members put elsewhere: read as a message that can be written again, or
// MalformedMessage.
TEST(ControlMessage, MutatedMessagesAreReadOrRefused) {
  std::mt19937_64 random(34);
  std::vector<std::string> seeds;
  for (const auto& message : one_of_each()) seeds.push_back(encode(message));
  const std::vector<std::string> pieces = {
      "null",    "-1",   "1e999", "\"\"", "{}",       "[]", "\xFF", "\\u0000",
      "\\ud800", "true", "\",",   "}",    "\x00\x01", "[[", "1.0",  "18446744073709551616"};
  int read = 0, refused = 0;
  for (int i = 0; i < 6000; ++i) {
    std::string text = seeds[random() % seeds.size()];
    for (auto changes = 1 + random() % 3; changes > 0 && !text.empty(); --changes) {
      const auto at = random() % text.size();
      const auto length = std::min<std::size_t>(random() % 12, text.size() - at);
      switch (random() % 5) {
        case 0:
          text[at] = static_cast<char>(random());
          break;
        case 1:
          text.erase(at, length);
          break;
        case 2:
          text.insert(at, text.substr(random() % text.size(), length));
          break;
        case 3:
          text.insert(at, pieces[random() % pieces.size()]);
          break;
        default:
          if (const auto colon = text.find(':', at); colon != std::string::npos)
            text.replace(colon + 1, text.find_first_of(",}", colon) - colon - 1,
                         pieces[random() % pieces.size()]);
      }
    }
    try {
      const auto message = decode(text);
      const auto again = encode(message);
      EXPECT_EQ(encode(decode(again)), again);
      ++read;
    } catch (const MalformedMessage&) {
      ++refused;
    }
  }
  EXPECT_GT(read, 100);
  EXPECT_GT(refused, 1000);
}

// ---- node

const PersistError kDiskFull(PersistFault::io, "disk full");
constexpr PeerId kTool = 1, kBroker = 2, kUpstream = 3, kOther = 4;

struct NodeBench {
  explicit NodeBench(const std::string& name = "c1", LeaderTerm term = {3, "c1"},
                     PersistedState stored = {}) {
    options.fleet = "tunis";
    options.name = name;
    options.region = "north";
    options.term = std::move(term);
    options.validate = [this](const std::string&) {
      return problems.empty() ? std::nullopt : std::optional(InvalidDocument(problems));
    };
    node.emplace(options, std::move(stored));
    out.clear();
    node->tick(now, out);
    persist_terms();
  }
  // What the disk does at once where a test does not look.
  void persist_terms() {
    for (const auto& persist : all_of<PersistTerm>(out)) node->on_term_persisted(now, persist.term, {}, out);
  }
  NodeEffects& say(PeerId peer, const Message& message) { return say_text(peer, encode(message)); }
  NodeEffects& say_text(PeerId peer, const std::string& body) {
    out.clear();
    node->on_message(now, peer, body, out);
    return out;
  }
  Hello hello(Role role, const std::string& name, LeaderTerm term = {3, "c1"}, VersionId current = {},
              std::string digest = "") {
    return {kProtocolVersion, "tunis", name, "north", role, std::move(term), current, std::move(digest)};
  }
  NodeEffects& greet(PeerId peer, const Hello& message) {
    out.clear();
    node->on_accepted(now, peer, out);
    return say(peer, message);
  }
  NodeEffects& dial(PeerId peer, const std::string& name, LeaderTerm term) {
    out.clear();
    node->on_leader_connected(now, peer, out);
    return say(peer, Welcome{kProtocolVersion, "tunis", name, std::move(term), {}});
  }
  NodeEffects& persisted(const Version& done, const std::optional<PersistError>& error = {}) {
    out.clear();
    node->on_version_persisted(now, done, error, out);
    return out;
  }
  NodeEffects& publish(const std::string& text) {
    say(kTool, Publish{text});
    if (const auto keeps = all_of<PersistVersion>(out); !keeps.empty()) {
      const auto before = out;
      persisted(keeps.front().version);
      out.insert(out.begin(), before.begin(), before.end());
    }
    return out;
  }
  NodeEffects& tick(Time span) {
    out.clear();
    now += span;
    node->tick(now, out);
    return out;
  }

  Time now = 100s;
  std::string problems;
  NodeOptions options;
  std::optional<Node> node;
  NodeEffects out;
};

bool refused(const NodeEffects& effects, PeerId peer, const std::string& reason) {
  bool closed = false;
  for (const auto& close : all_of<Close>(effects)) closed = closed || close.peer == peer;
  const auto farewells = sent<GoAway>(effects, peer);
  return closed && farewells.size() == 1 && farewells[0].reason.find(reason) != std::string::npos;
}

TEST(ControlNode, TellsAVersionOnlyOnceItIsOnDisk) {
  NodeBench b;
  EXPECT_TRUE(logs(b.out, "control node c1: writes, epoch 3"));
  b.greet(kTool, b.hello(Role::tool, "tool"));
  b.greet(kBroker, b.hello(Role::broker, "b1"));
  b.say(kTool, Publish{"one"});
  const auto keeps = all_of<PersistVersion>(b.out);
  ASSERT_EQ(keeps.size(), 1U);
  EXPECT_TRUE(is_intact(keeps[0].version));
  EXPECT_EQ(keeps[0].version.id, (VersionId{3, 1}));
  EXPECT_TRUE(all_of<Send>(b.out).empty());
  EXPECT_FALSE(b.node->committed());
  // Nor is it told to who comes meanwhile.
  EXPECT_TRUE(sent<VersionUpdate>(b.greet(kOther, b.hello(Role::broker, "b2")), kOther).empty());

  b.persisted(keeps[0].version);
  ASSERT_EQ(sent<Published>(b.out, kTool).size(), 1U);
  EXPECT_EQ(sent<VersionUpdate>(b.out, kBroker).size(), 1U);
  EXPECT_EQ(sent<VersionUpdate>(b.out, kOther).size(), 1U);
  EXPECT_TRUE(logs(b.out, "control node c1: version 3.1 kept"));
}

TEST(ControlNode, ADiskThatRefusesLeavesTheOldVersion) {
  NodeBench b("c1", {3, "c1"}, {{3, "c1"}, version(3, 7)});
  b.greet(kTool, b.hello(Role::tool, "tool"));
  b.greet(kBroker, b.hello(Role::broker, "b1", {3, "c1"}, {3, 7}, version(3, 7).digest));
  b.say(kTool, Publish{"one"});
  b.persisted(all_of<PersistVersion>(b.out).at(0).version, kDiskFull);
  EXPECT_EQ(sent<PublishRejected>(b.out, kTool).at(0).reason, "could not be kept: disk full");
  EXPECT_EQ(all_of<Send>(b.out).size(), 1U);
  EXPECT_EQ(b.node->committed()->id, (VersionId{3, 7}));
  b.publish("two");
  EXPECT_EQ(sent<Published>(b.out, kTool).at(0).id, (VersionId{3, 8}));
}

TEST(ControlNode, PublishesOneDocumentAtATimeAndOnlyWhatPassesTheCheck) {
  NodeBench b;
  b.greet(kTool, b.hello(Role::tool, "tool"));
  b.greet(kOther, b.hello(Role::tool, "other"));
  b.problems = "doc:1:2: no\ndoc:2:1: neither";
  EXPECT_EQ(sent<PublishRejected>(b.say(kTool, Publish{"bad"}), kTool).at(0).reason, b.problems);
  EXPECT_TRUE(all_of<PersistVersion>(b.out).empty());
  b.problems.clear();
  b.say(kTool, Publish{"one"});
  const auto keep = all_of<PersistVersion>(b.out).at(0);
  EXPECT_EQ(sent<PublishRejected>(b.say(kOther, Publish{"two"}), kOther).at(0).reason.substr(0, 4), "busy");
  // A tool that has gone does not undo it, and is not written to.
  b.node->on_closed(b.now, kTool, b.out);
  b.persisted(keep.version);
  EXPECT_TRUE(all_of<Send>(b.out).empty());
  EXPECT_EQ(b.node->committed()->text, "one");
}

TEST(ControlNode, ADocumentTooLongOnTheWireIsRejected) {
  NodeBench b;
  b.greet(kTool, b.hello(Role::tool, "tool"));
  const Publish publish{std::string((kMaxMessageBytes - 40) / 6, '\x01')};  // six bytes each in JSON
  ASSERT_LE(encode(publish).size(), kMaxMessageBytes);
  const auto problem = sent<PublishRejected>(b.say(kTool, publish), kTool).at(0).reason;
  EXPECT_EQ(problem, "the document takes more than 4194304 bytes on the wire");
  EXPECT_TRUE(all_of<PersistVersion>(b.out).empty());
}

TEST(ControlNode, NumbersGoOnAcrossEpochs) {
  NodeBench b("c2", {4, "c2"}, {{3, "c1"}, version(3, 17)});
  b.greet(kTool, b.hello(Role::tool, "tool"));
  EXPECT_EQ(sent<Published>(b.publish("x"), kTool).at(0).id, (VersionId{4, 18}));
  EXPECT_EQ(b.node->committed()->leader, "c2");
}

TEST(ControlNode, SendsOneOfferAtATimeAndThenTheNewest) {
  NodeBench b;
  b.greet(kTool, b.hello(Role::tool, "tool"));
  b.greet(kBroker, b.hello(Role::broker, "b1"));
  EXPECT_EQ(sent<VersionUpdate>(b.publish("1"), kBroker).size(), 1U);
  for (const auto* text : {"2", "3", "4"}) EXPECT_TRUE(sent<VersionUpdate>(b.publish(text), kBroker).empty());
  b.out.clear();
  b.node->on_drained(b.now, kBroker, b.out);
  ASSERT_EQ(sent<VersionUpdate>(b.out, kBroker).size(), 1U);
  EXPECT_EQ(sent<VersionUpdate>(b.out, kBroker)[0].version.text, "4");
  b.out.clear();
  b.node->on_drained(b.now, kBroker, b.out);
  EXPECT_TRUE(b.out.empty());
}

TEST(ControlNode, AFollowerKeepsWhatItsWriterOffersBeforeItServesIt) {
  NodeBench b("c2", {3, "c1"});
  EXPECT_TRUE(logs(b.out, "control node c2: follows c1, epoch 3"));
  EXPECT_EQ(b.node->upstream(), "c1");
  b.greet(kBroker, b.hello(Role::broker, "b1"));
  b.out.clear();
  b.node->on_leader_connected(b.now, kUpstream, b.out);
  EXPECT_EQ(sent<Hello>(b.out, kUpstream).at(0).role, Role::node);
  b.say(kUpstream, Welcome{kProtocolVersion, "tunis", "c1", {3, "c1"}, {3, 5}});
  b.say(kUpstream, VersionUpdate{version(3, 5)});
  EXPECT_EQ(all_of<PersistVersion>(b.out).size(), 1U);
  EXPECT_TRUE(all_of<Send>(b.out).empty());
  // What comes meanwhile waits; the newest of it is next.
  EXPECT_TRUE(b.say(kUpstream, VersionUpdate{version(3, 6)}).empty());
  EXPECT_TRUE(b.say(kUpstream, VersionUpdate{version(3, 7)}).empty());
  b.persisted(version(3, 5));
  EXPECT_EQ(sent<VersionUpdate>(b.out, kBroker).at(0).version, version(3, 5));
  EXPECT_EQ(all_of<PersistVersion>(b.out).at(0).version.id, (VersionId{3, 7}));
  // A full disk: served is what is on it; it is tried again later.
  b.persisted(version(3, 7), kDiskFull);
  EXPECT_EQ(b.node->committed()->id, (VersionId{3, 5}));
  EXPECT_TRUE(all_of<PersistVersion>(b.tick(500ms)).empty());
  EXPECT_EQ(all_of<PersistVersion>(b.tick(600ms)).size(), 1U);
  // Older ones are passed over.
  b.persisted(version(3, 7));
  EXPECT_TRUE(b.say(kUpstream, VersionUpdate{version(3, 6)}).empty());
  EXPECT_TRUE(b.say(kUpstream, VersionUpdate{version(2, 99, "c9")}).empty());
}

TEST(ControlNode, AFollowerRefusesDamagedVersionsAndSecondWriters) {
  const auto offer = [](Version bad, const std::string& reason) {
    NodeBench b("c2", {3, "c1"}, {{3, "c1"}, version(3, 4)});
    b.dial(kUpstream, "c1", {3, "c1"});
    b.say(kUpstream, VersionUpdate{std::move(bad)});
    EXPECT_TRUE(refused(b.out, kUpstream, reason)) << reason;
    EXPECT_TRUE(all_of<PersistVersion>(b.out).empty());
  };
  Version bad = version(3, 5);
  bad.text += " ";
  offer(bad, "damaged");
  offer(version(3, 5, "c9"), "second writer");
  offer(version(4, 5, "c9"), "newer epoch");
}

TEST(ControlNode, TakesVersionsFromItsWriterAlone) {
  NodeBench b("c2", {3, "c1"});
  b.greet(kOther, b.hello(Role::node, "c1"));
  EXPECT_TRUE(refused(b.say(kOther, VersionUpdate{version(3, 5)}), kOther, "may not send"));
  b.dial(kUpstream, "c5", {3, "c1"});
  EXPECT_TRUE(refused(b.out, kUpstream, "it is c5, not c1"));
  b.out.clear();
  b.node->on_leader_connected(b.now, kUpstream + 10, b.out);
  EXPECT_TRUE(
      refused(b.say(kUpstream + 10, VersionUpdate{version(3, 5)}), kUpstream + 10, "before its first"));
}

TEST(ControlNode, ANewerReignStopsAWriterAtOnceAndIsToldOnceOnDisk) {
  NodeBench b;
  b.greet(kTool, b.hello(Role::tool, "tool"));
  b.greet(kBroker, b.hello(Role::broker, "b1"));
  b.greet(kOther, b.hello(Role::broker, "b2", {4, "c2"}));
  ASSERT_EQ(all_of<PersistTerm>(b.out).size(), 1U);
  EXPECT_TRUE(sent<Welcome>(b.out, kOther)
                  .empty());  // it would tell of an epoch that is not on disk, or of an old one
  EXPECT_FALSE(b.node->is_leader());
  EXPECT_EQ(b.node->upstream(), "c2");
  EXPECT_EQ(sent<Pong>(b.say(kBroker, Ping{}), kBroker).at(0).term, (LeaderTerm{3, "c1"}));
  EXPECT_NE(
      sent<PublishRejected>(b.say(kTool, Publish{"x"}), kTool).at(0).reason.find("the writer is c2, epoch 4"),
      std::string::npos);
  b.out.clear();
  b.node->on_term_persisted(b.now, {4, "c2"}, kDiskFull, b.out);
  EXPECT_TRUE(all_of<Send>(b.out).empty());
  EXPECT_EQ(all_of<PersistTerm>(b.tick(1s)).size(), 1U);
  b.out.clear();
  b.node->on_term_persisted(b.now, {4, "c2"}, {}, b.out);
  EXPECT_EQ(sent<Welcome>(b.out, kOther).at(0).term, (LeaderTerm{4, "c2"}));
  EXPECT_EQ(sent<Pong>(b.say(kBroker, Ping{}), kBroker).at(0).term, (LeaderTerm{4, "c2"}));
}

TEST(ControlNode, ARestartedWriterOfAnOlderEpochDoesNotWrite) {
  NodeBench b("c1", {3, "c1"}, {{4, "c2"}, version(3, 9)});
  EXPECT_FALSE(b.node->is_leader());
  EXPECT_EQ(b.node->upstream(), "c2");
  EXPECT_TRUE(logs(b.out, "the operator's file names epoch 3 of c1, but epoch 4 of c2 is known"));
  EXPECT_TRUE(all_of<PersistTerm>(b.out).empty());
}

TEST(ControlNode, WritesOnlyWhereItsOwnFileNamesIt) {
  NodeBench b("c2", {3, "c1"});
  b.greet(kBroker, b.hello(Role::broker, "b1", {4, "c2"}));
  b.persist_terms();
  EXPECT_FALSE(b.node->is_leader());
  auto options = b.options;
  options.term = {4, "c2"};
  b.node->reconfigure(b.now, options, b.out);
  EXPECT_TRUE(b.node->is_leader());
}

TEST(ControlNode, ASecondWriterOfOneEpochIsRefusedAndLogged) {
  NodeBench b;
  b.greet(kOther, b.hello(Role::node, "c2", {3, "c2"}));
  EXPECT_TRUE(refused(b.out, kOther, "epoch 3 has two writers: c1 here, c2 there"));
  EXPECT_TRUE(logs(b.out, "epoch 3 has c1 as its writer; node c2 names c2"));
  EXPECT_TRUE(b.node->is_leader());
  b.greet(kBroker, b.hello(Role::broker, "b1", {3, "c2"}));
  EXPECT_TRUE(refused(b.out, kBroker, "two writers"));
  EXPECT_EQ(b.node->status(b.now).brokers.at(0).reason.substr(0, 7), "epoch 3");  // the status shows why

  NodeBench follower("c3", {3, "c1"});
  follower.dial(kUpstream, "c1", {3, "c2"});
  EXPECT_TRUE(refused(follower.out, kUpstream, "two writers"));

  auto options = follower.options;
  options.term = {3, "c3"};
  follower.out.clear();
  follower.node->reconfigure(follower.now, options, follower.out);
  EXPECT_TRUE(logs(follower.out, "raise the epoch"));
  EXPECT_EQ(follower.node->upstream(), "c1");
}

TEST(ControlNode, AFollowerLeavesAWriterOfAnOlderEpoch) {
  NodeBench b("c3", {4, "c1"});
  b.dial(kUpstream, "c1", {3, "c1"});
  EXPECT_TRUE(refused(b.out, kUpstream, "epoch 3 only"));
  b.dial(kUpstream + 10, "c1", {4, "c1"});
  EXPECT_TRUE(all_of<Close>(b.out).empty());
  EXPECT_TRUE(refused(b.say(kUpstream + 10, Pong{{3, "c1"}}), kUpstream + 10, "epoch 3 only"));
}

TEST(ControlNode, TheOperatorsFileNamesAnotherWriter) {
  NodeBench b("c2", {3, "c1"}, {{3, "c1"}, version(3, 9)});
  b.dial(kUpstream, "c1", {3, "c1"});
  auto options = b.options;
  options.term = {2, "c2"};
  b.out.clear();
  b.node->reconfigure(b.now, options, b.out);
  EXPECT_TRUE(logs(b.out, "names epoch 2 of c2, which is refused"));
  EXPECT_EQ(b.node->upstream(), "c1");
  options.term = {4, "c2"};
  b.out.clear();
  b.node->reconfigure(b.now, options, b.out);
  EXPECT_EQ(all_of<Close>(b.out).at(0).peer, kUpstream);  // it follows nobody now
  EXPECT_FALSE(b.node->is_leader());                      // before its epoch is on disk
  b.persist_terms();
  EXPECT_TRUE(b.node->is_leader());
  EXPECT_TRUE(logs(b.out, "control node c2: writes, epoch 4"));
}

TEST(ControlNode, AWriterWithoutItsDiskDoesNotWriteOverItsOwnEpoch) {
  NodeBench b;
  b.greet(kTool, b.hello(Role::tool, "tool"));
  b.greet(kBroker, b.hello(Role::broker, "b1", {3, "c1"}, {3, 17}, version(3, 17).digest));
  EXPECT_FALSE(b.node->is_leader());
  EXPECT_NE(sent<PublishRejected>(b.say(kTool, Publish{"x"}), kTool).at(0).reason.find("3.17"),
            std::string::npos);
}

TEST(ControlNode, RefusesStrangersByName) {
  NodeBench b;
  PeerId id = 10;
  const auto refuses = [&](const std::string& body, const std::string& reason) {
    b.out.clear();
    b.node->on_accepted(b.now, ++id, b.out);
    EXPECT_TRUE(refused(b.say_text(id, body), id, reason)) << body.substr(0, 100);
    EXPECT_FALSE(all_of<LogLine>(b.out).empty());
    EXPECT_TRUE(b.say_text(id, encode(Ping{})).empty());  // forgotten
  };
  Hello hello = b.hello(Role::broker, "b1");
  hello.protocol = 2;
  refuses(encode(hello), "protocol 2, spoken here is 1");
  hello = b.hello(Role::broker, "b1");
  hello.fleet = "sfax";
  refuses(encode(hello), "fleet sfax, this one is tunis");
  refuses(encode(b.hello(Role::node, "c1")), "two nodes are called c1");
  refuses("noise", "message: ");
  refuses(R"({"kind":"hello","protocol":1,"fleet":")" + std::string(200, 'x') + "\"}",
          "hello.fleet: 200 bytes");
  refuses(encode(Ping{}), "before its first");
  refuses(encode(Publish{"x"}), "before its first");
}

TEST(ControlNode, EachRoleMaySendItsOwnMessagesOnly) {
  const std::vector<Message> all = one_of_each();
  for (const Role role : {Role::broker, Role::node, Role::tool}) {
    for (const auto& message : all) {
      NodeBench b;
      b.greet(kOther, b.hello(role, "x"));
      b.say(kOther, message);
      const bool allowed = std::holds_alternative<Ping>(message) || std::holds_alternative<GoAway>(message) ||
                           (role == Role::broker && std::holds_alternative<BrokerReport>(message)) ||
                           (role == Role::tool && (std::holds_alternative<Publish>(message) ||
                                                   std::holds_alternative<StatusRequest>(message)));
      EXPECT_EQ(refused(b.out, kOther, "may not send"), !allowed) << encode(message);
    }
  }
}

TEST(ControlNode, DropsSilentPeersAndThoseWithoutHello) {
  NodeBench b;
  b.node->on_accepted(b.now, kOther, b.out);
  b.greet(kBroker, b.hello(Role::broker, "b1"));
  EXPECT_TRUE(all_of<Close>(b.tick(Node::kHandshakeTimeout - 1ms)).empty());
  EXPECT_EQ(all_of<Close>(b.tick(1ms)).at(0).peer, kOther);
  EXPECT_EQ(sent<Pong>(b.say(kBroker, Ping{}), kBroker).size(), 1U);
  EXPECT_TRUE(all_of<Close>(b.tick(Node::kPeerTimeout - 1ms)).empty());
  EXPECT_EQ(all_of<Close>(b.tick(1ms)).at(0).peer, kBroker);
  EXPECT_FALSE(b.node->status(b.now).brokers.at(0).connected);
  EXPECT_EQ(b.node->status(b.now).brokers.at(0).age, Node::kPeerTimeout);

  NodeBench follower("c2", {3, "c1"});
  follower.dial(kUpstream, "c1", {3, "c1"});
  EXPECT_EQ(sent<Ping>(follower.tick(Node::kHeartbeatInterval), kUpstream).size(), 1U);
  EXPECT_EQ(all_of<Close>(follower.tick(Node::kLeaderTimeout - Node::kHeartbeatInterval)).at(0).peer,
            kUpstream);
}

TEST(ControlNode, RemembersBrokersWithinBounds) {
  NodeBench b;
  Hello hello = b.hello(Role::broker, "");
  b.greet(kBroker, b.hello(Role::broker, "stays"));
  for (std::size_t i = 0; i < BrokerRegistry::kMaxBrokers + 50; ++i) {
    b.now += 1ms;
    hello.name = "b" + std::to_string(i);
    b.greet(100 + i, hello);
    b.node->on_closed(b.now, 100 + i, b.out);
  }
  const auto status = b.node->status(b.now);
  EXPECT_EQ(status.brokers.size(), BrokerRegistry::kMaxBrokers);
  std::set<std::string> names;
  for (const auto& broker : status.brokers) names.insert(broker.name);
  EXPECT_TRUE(names.contains("stays"));  // it is connected
  EXPECT_FALSE(names.contains("b0"));
  EXPECT_TRUE(names.contains(hello.name));
}

TEST(ControlNode, ConnectionsAreBounded) {
  NodeBench b;
  for (PeerId id = 100; id < 100 + Node::kMaxPeers; ++id) b.node->on_accepted(b.now, id, b.out);
  b.out.clear();
  b.node->on_accepted(b.now, 50, b.out);
  EXPECT_TRUE(refused(b.out, 50, "full"));
  b.node->on_closed(b.now, 100, b.out);
  EXPECT_EQ(sent<Welcome>(b.greet(50, b.hello(Role::broker, "b1")), 50).size(), 1U);
}

TEST(ControlNode, TheStatusOfThousandsWithLongProblemsFitsAMessage) {
  NodeBench b;
  for (std::size_t i = 0; i < 4000; ++i) {
    const PeerId id = 100 + i;
    b.greet(id, b.hello(Role::broker, std::string(100, 'b') + std::to_string(i)));
    b.say(id, BrokerReport{{3, 1}, std::string(64, 'a'), {3, 2}, std::string(kMaxReasonBytes, '"')});
    b.node->on_closed(b.now, id, b.out);
  }
  b.greet(kTool, b.hello(Role::tool, "tool"));
  b.say(kTool, StatusRequest{});
  const auto sends = all_of<Send>(b.out);
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_LE(sends[0].body.size(), kMaxMessageBytes);
  const auto status = std::get<NodeStatus>(decode(sends[0].body));
  EXPECT_EQ(status.brokers.size(), 4000U);
  EXPECT_EQ(status.brokers[0].reason, std::string(40, '"'));
}

// ---- subscriber

struct SubscriberBench {
  explicit SubscriberBench(std::optional<Version> last = {}, std::uint64_t seed = 1) {
    options.fleet = "tunis";
    options.name = "b1";
    options.region = "north";
    options.seed = seed;
    for (int i = 1; i <= 4; ++i)
      options.nodes.push_back({"c" + std::to_string(i), "", i <= 2 ? "north" : "south"});
    it.emplace(options, std::move(last));
    it->start(now, out);
  }
  std::string dialled() {
    const auto dials = all_of<Connect>(out);
    return dials.empty() ? "" : options.nodes[dials.back().node].name;
  }
  SubscriberEffects& say(const Message& message) {
    out.clear();
    it->on_message(now, encode(message), out);
    return out;
  }
  // Connects to whatever was dialled last.
  SubscriberEffects& connect(LeaderTerm term = {3, "c1"}) {
    const auto name = dialled();
    out.clear();
    it->on_connected(now, out);
    const auto hello = out;
    say(Welcome{kProtocolVersion, "tunis", name, std::move(term), {}});
    out.insert(out.begin(), hello.begin(), hello.end());
    return out;
  }
  SubscriberEffects& applied(const Version& v, const std::string& problem = "") {
    out.clear();
    if (problem.empty()) {
      it->on_version_applied(v, out);
    } else {
      it->on_version_rejected(v, problem, out);
    }
    return out;
  }
  SubscriberEffects& tick(Time span) {
    out.clear();
    now += span;
    it->tick(now, out);
    return out;
  }

  Time now = 50s;
  SubscriberOptions options;
  std::optional<Subscriber> it;
  SubscriberEffects out;
};

TEST(ControlSubscriber, TakesItsOwnRegionFirstAndSpreadsOverIt) {
  SubscriberBench b;
  std::map<std::size_t, int> firsts;
  int moved = 0;
  for (int i = 0; i < 700; ++i) {
    b.options.name = "broker-" + std::to_string(i);
    const auto order = Subscriber(b.options, {}).order();
    EXPECT_LT(order[0], 2U);
    EXPECT_LT(order[1], 2U);
    ++firsts[order[0]];
    auto more = b.options;
    more.nodes.push_back({"c9", "", "north"});
    const auto now_first = Subscriber(more, {}).order()[0];
    if (now_first != order[0]) {
      EXPECT_EQ(now_first, 4U);  // a new node takes its share, and moves nobody between the others
      ++moved;
    }
  }
  EXPECT_NEAR(firsts[0], 350, 60);
  EXPECT_NEAR(moved, 233, 60);
}

TEST(ControlSubscriber, OffersItsLastVersionWithoutAnyNode) {
  SubscriberBench b(version(3, 17));
  ASSERT_EQ(all_of<ApplyVersion>(b.out).size(), 1U);
  const auto dial = b.out;
  b.applied(version(3, 17));
  EXPECT_EQ(b.it->active_version(), (VersionId{3, 17}));
  b.out = dial;
  const auto hello = sent<Hello>(b.connect()).at(0);
  EXPECT_EQ(hello.current, (VersionId{3, 17}));
  EXPECT_EQ(hello.term, (LeaderTerm{3, "c1"}));
  EXPECT_TRUE(all_of<ApplyVersion>(b.say(VersionUpdate{version(3, 16)})).empty());

  Version bad = version(3, 17);
  bad.text += "x";
  SubscriberBench damaged(bad);
  EXPECT_TRUE(all_of<ApplyVersion>(damaged.out).empty());
  EXPECT_TRUE(says(damaged.out, "damaged"));
  EXPECT_FALSE(damaged.dialled().empty());
}

TEST(ControlSubscriber, OffersVersionsInRisingOrderAndReportsThem) {
  SubscriberBench b;
  EXPECT_TRUE(says(b.connect(), "control: connected to c"));
  EXPECT_EQ(all_of<ApplyVersion>(b.say(VersionUpdate{version(3, 5)})).size(), 1U);
  b.applied(version(3, 5));
  EXPECT_TRUE(says(b.out, "control: version 3.5 in force"));
  EXPECT_EQ(sent<BrokerReport>(b.out).at(0).active_version, (VersionId{3, 5}));
  EXPECT_EQ(sent<BrokerReport>(b.out).at(0).digest, version(3, 5).digest);
  for (const auto& old : {version(3, 5), version(3, 4), version(2, 99, "c9")})
    EXPECT_TRUE(b.say(VersionUpdate{old}).empty()) << to_text(old.id);
  EXPECT_EQ(all_of<ApplyVersion>(b.say(VersionUpdate{version(3, 6)})).size(), 1U);
  // While the loop has it, the newest that comes waits.
  EXPECT_TRUE(b.say(VersionUpdate{version(3, 8)}).empty());
  EXPECT_TRUE(b.say(VersionUpdate{version(3, 7)}).empty());
  b.applied(version(3, 6));
  EXPECT_EQ(all_of<ApplyVersion>(b.out).at(0).version.id, (VersionId{3, 8}));
}

TEST(ControlSubscriber, RefusesDamagedVersionsOldEpochsAndSecondWriters) {
  const auto offer = [](Version bad, const std::string& reason) {
    SubscriberBench b(version(3, 4));
    const auto dial = b.out;
    b.applied(version(3, 4));
    b.out = dial;
    const auto first = b.dialled();
    b.connect();
    b.say(VersionUpdate{std::move(bad)});
    EXPECT_TRUE(all_of<ApplyVersion>(b.out).empty()) << reason;
    EXPECT_TRUE(says(b.out, reason)) << reason;
    EXPECT_NE(b.dialled(), first);  // on to another node
  };
  Version bad = version(3, 5);
  bad.text = "share = 2\n";
  offer(bad, "damaged");
  offer(version(3, 5, "c9"), "second writer");
  offer(version(4, 5, "c9"), "its node does not know");

  SubscriberBench b(version(3, 4));
  EXPECT_TRUE(says(b.connect({2, "c1"}), "knows of epoch 2 only, 3 was seen"));
  EXPECT_TRUE(says(b.connect({3, "c2"}), "epoch 3 has c1 as its writer, not c2"));
  b.connect({5, "c3"});
  EXPECT_EQ(b.it->term(), (LeaderTerm{5, "c3"}));
  EXPECT_TRUE(says(b.say(Pong{{4, "c1"}}), "knows of epoch 4 only"));
}

TEST(ControlSubscriber, ARefusedVersionStaysReportedUntilANewerOneIsInForce) {
  SubscriberBench b;
  b.connect();
  b.say(VersionUpdate{version(3, 5)});
  b.applied(version(3, 5), "doc:3:4: no such class");
  EXPECT_TRUE(says(b.out, "control: version 3.5 refused: doc:3:4: no such class"));
  EXPECT_EQ(sent<BrokerReport>(b.out).at(0).rejected_version, (VersionId{3, 5}));
  b.now += 10s;
  b.out.clear();
  b.it->on_closed(b.now, b.out);
  EXPECT_TRUE(says(b.out, "control: lost c"));
  b.tick(200ms);
  const auto report = sent<BrokerReport>(b.connect()).at(0);
  EXPECT_EQ(report.rejected_version, (VersionId{3, 5}));
  EXPECT_EQ(report.reason, "doc:3:4: no such class");
  EXPECT_TRUE(b.say(VersionUpdate{version(3, 5)}).empty());  // not tried again
  b.say(VersionUpdate{version(3, 6)});
  b.applied(version(3, 6));
  EXPECT_EQ(sent<BrokerReport>(b.out).at(0).rejected_version, VersionId{});
}

TEST(ControlSubscriber, MovesOnFromSilentNodesAndBacksOffBetweenRounds) {
  SubscriberBench b;
  std::vector<std::string> tried{b.dialled()};
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(b.tick(Subscriber::kConnectTimeout - 1ms).empty());
    b.tick(1ms);
    tried.push_back(b.dialled());
  }
  EXPECT_EQ(std::set<std::string>(tried.begin(), tried.end()).size(), 4U);
  Time span = Subscriber::kMinBackoff;
  std::set<Time> waits;
  for (int round = 0; round < 8; ++round) {
    b.out.clear();
    b.it->on_closed(b.now, b.out);
    while (b.out.empty() || !b.dialled().empty()) {  // the rest of the round fails at once
      if (b.dialled().empty()) break;
      b.out.clear();
      b.it->on_closed(b.now, b.out);
    }
    Time waited{};
    while (b.tick(1ms).empty()) waited += 1ms;
    EXPECT_GE(waited + 1ms, span / 2);
    EXPECT_LE(waited, span);
    waits.insert(waited);
    span = std::min(2 * span, Subscriber::kMaxBackoff);
  }
  EXPECT_GE(waits.size(), 7U);  // drawn, not fixed
  b.connect();
  const auto on = b.it->node();
  ASSERT_TRUE(on);
  EXPECT_EQ(sent<Ping>(b.tick(Subscriber::kHeartbeatInterval)).size(), 1U);
  EXPECT_TRUE(says(b.tick(Subscriber::kNodeTimeout - Subscriber::kHeartbeatInterval), ": silent"));
  EXPECT_EQ(all_of<Disconnect>(b.out).size(), 1U);
  b.tick(Subscriber::kMinBackoff);
  EXPECT_NE(b.dialled(), b.options.nodes[*on].name);
}

TEST(ControlSubscriber, TellsAFarewellOnce) {
  SubscriberBench b;
  int told = 0;
  for (int i = 0; i < 40; ++i) {
    if (!b.dialled().empty()) {
      b.out.clear();
      b.it->on_connected(b.now, b.out);
      b.say(GoAway{"fleet tunis, this one is sfax"});
      told += says(b.out, "refuses: fleet tunis") ? 1 : 0;
    }
    if (b.dialled().empty()) b.tick(4s);
  }
  EXPECT_EQ(told, 4);  // by each node
}

TEST(ControlSubscriber, ANodeThatBreaksSoonAfterItsWelcomeDoesNotResetTheBackOff) {
  SubscriberBench b;
  int dials = 0;
  const Time until = b.now + 60s;
  while (b.now < until) {
    if (!b.dialled().empty()) {
      ++dials;
      b.connect();
      b.out.clear();
      b.it->on_closed(b.now, b.out);
    } else {
      b.tick(10ms);
    }
  }
  EXPECT_LT(dials, 120);  // four a round, 60 s of waits that grow to 4 s
}

TEST(ControlSubscriber, GoesHomeAfterADrawnTime) {
  SubscriberBench b;
  const auto home = b.dialled();
  b.out.clear();
  b.it->on_closed(b.now, b.out);
  EXPECT_NE(b.dialled(), home);
  b.connect();
  const Time since = b.now;
  while (b.tick(1s).empty() || b.dialled().empty()) b.say(Pong{{3, "c1"}});
  EXPECT_GE(b.now - since, Subscriber::kFailBackInterval / 2);
  EXPECT_LE(b.now - since, Subscriber::kFailBackInterval + Subscriber::kFailBackInterval / 2 + 1s);
  EXPECT_EQ(b.dialled(), home);
}

TEST(ControlSubscriber, RefusesHostileNodes) {
  const auto refuses = [](const std::string& body, const std::string& reason) {
    SubscriberBench b;
    b.out.clear();
    b.it->on_connected(b.now, b.out);
    b.out.clear();
    b.it->on_message(b.now, body, b.out);
    EXPECT_TRUE(says(b.out, reason)) << reason;
    EXPECT_FALSE(b.it->node());
  };
  refuses("noise", "message: ");
  refuses(R"({"kind":"welcome","protocol":9})", "protocol 9, spoken here is 1");
  refuses(encode(Welcome{kProtocolVersion, "sfax", "c1", {3, "c1"}, {}}), "fleet sfax, this one is tunis");
  refuses(encode(Welcome{kProtocolVersion, "tunis", "c9", {3, "c1"}, {}}), "it is c9");
  refuses(encode(VersionUpdate{version(3, 5)}), "may not send");
  refuses(encode(StatusRequest{}), "may not send");
}

// ---- store

class ControlStore : public ::testing::Test {
 protected:
  void SetUp() override {
    std::string pattern = (std::filesystem::temp_directory_path() / "bellstair-control-XXXXXX").string();
    ASSERT_NE(::mkdtemp(pattern.data()), nullptr);
    directory_ = pattern;
    path_ = directory_ / "control.db";
  }
  void TearDown() override { std::filesystem::remove_all(directory_); }

  [[nodiscard]] std::string unusable(const std::string& fleet = "tunis") const {
    try {
      Store store(path_, fleet);
    } catch (const StoreError& error) {
      EXPECT_NE(std::string(error.what()).find(path_.string()), std::string::npos);
      return error.what();
    }
    return "none";
  }
  [[nodiscard]] std::string bytes() const {
    std::ifstream in(path_, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  void write(const std::string& content) const { std::ofstream(path_, std::ios::binary) << content; }
  void sql(const std::string& text) const {
    sqlite3* base = nullptr;
    ASSERT_EQ(sqlite3_open(path_.c_str(), &base), SQLITE_OK);
    EXPECT_EQ(sqlite3_exec(base, text.c_str(), nullptr, nullptr, nullptr), SQLITE_OK) << sqlite3_errmsg(base);
    sqlite3_close(base);
  }
  void fill(int versions) const {
    Store store(path_, "tunis");
    EXPECT_EQ(text_of(store.persist(LeaderTerm{3, "c1"})), "");
    for (int i = 1; i <= versions; ++i)
      EXPECT_EQ(
          text_of(store.persist(version(3, static_cast<std::uint64_t>(i), "c1", std::string(40'000, 'x')))),
          "");
  }

  std::filesystem::path directory_, path_;
};

TEST_F(ControlStore, HoldsWhatItKept) {
  {
    Store store(path_, "tunis");
    EXPECT_FALSE(store.persisted().committed);
    EXPECT_EQ(store.persisted().term, LeaderTerm{});
    EXPECT_EQ(text_of(store.persist(LeaderTerm{3, "c1"})), "");
    EXPECT_EQ(text_of(store.persist(version(3, 1))), "");
    EXPECT_EQ(text_of(store.persist(version(3, 2, "c1", std::string("a\0b", 3)))), "");
  }
  EXPECT_EQ(std::distance(std::filesystem::directory_iterator(directory_), {}),
            1);  // nothing is left beside it
  Store store(path_, "tunis");
  EXPECT_EQ(store.persisted().term, (LeaderTerm{3, "c1"}));
  EXPECT_EQ(store.persisted().committed, version(3, 2, "c1", std::string("a\0b", 3)));
  EXPECT_NE(text_of(store.persist(version(3, 2))), "");
  EXPECT_NE(text_of(store.persist(version(2, 9))), "");
  EXPECT_NE(text_of(store.persist(LeaderTerm{3, "c2"})), "");
  Version bad = version(3, 3);
  bad.text += "x";
  EXPECT_NE(text_of(store.persist(bad)), "");
  EXPECT_EQ(text_of(store.persist(version(4, 3))), "");
  EXPECT_TRUE(std::filesystem::is_regular_file(path_));
}

TEST_F(ControlStore, KeepsABoundedHistory) {
  {
    Store store(path_, "tunis", 3);
    for (std::uint64_t i = 1; i <= 10; ++i) EXPECT_EQ(text_of(store.persist(version(3, i))), "");
    EXPECT_EQ(store.version_count(), 3U);
  }
  EXPECT_EQ(Store(path_, "tunis").persisted().committed, version(3, 10));
}

TEST_F(ControlStore, RefusesWhatIsNotItsOwn) {
  fill(2);
  EXPECT_NE(unusable("sfax").find("of fleet tunis, this one is sfax"), std::string::npos);
  sql("PRAGMA user_version=9");
  EXPECT_NE(unusable().find("schema 9, known is 1"), std::string::npos);
  sql("PRAGMA application_id=7");
  EXPECT_NE(unusable().find("not a store of a control node"), std::string::npos);
  write("not a database, but a text of some length\n" + std::string(2000, '.'));
  EXPECT_NE(unusable().find("cannot be used"), std::string::npos);
  write("");
  EXPECT_NE(unusable().find("an empty file"), std::string::npos);
  path_ = directory_;
  EXPECT_NE(unusable().find("not a file"), std::string::npos);
  path_ = directory_ / "none" / "control.db";
  EXPECT_NE(unusable().find("cannot be used"), std::string::npos);
}

TEST_F(ControlStore, ASecondOpeningIsRefusedWhileTheFirstHoldsIt) {
  {
    Store store(path_, "tunis");
    EXPECT_NE(unusable().find("in use by another process"), std::string::npos);
    EXPECT_EQ(text_of(store.persist(version(3, 1))), "");
  }
  EXPECT_EQ(unusable(), "none");
}

// A byte changed anywhere, or the end cut off: refused with the file's name and left as it is, or every
// version is as it was kept (free space, and bytes that SQLite does not use).
TEST_F(ControlStore, DamageIsRefusedAndLeftAsItIs) {
  fill(8);
  const std::string good = bytes();
  ASSERT_GT(good.size(), 320'000U);
  std::mt19937_64 random(7);
  int refusals = 0;
  for (int i = 0; i < 150; ++i) {
    std::string bad = good;
    if (i < 140) {
      bad[random() % bad.size()] ^= static_cast<char>(1 + random() % 255);
    } else {
      bad.resize(random() % bad.size());
    }
    write(bad);
    if (const auto problem = unusable(); problem != "none") {
      ++refusals;
      EXPECT_EQ(bytes(), bad) << problem;
    } else {
      EXPECT_LT(i, 140);
      Store store(path_, "tunis");
      EXPECT_EQ(store.persisted().committed, version(3, 8, "c1", std::string(40'000, 'x')));
      EXPECT_EQ(store.persisted().term, (LeaderTerm{3, "c1"}));
    }
  }
  EXPECT_GT(refusals, 120);
  write(good);
  sql("UPDATE versions SET text = replace(text, 'x', 'y') WHERE number = 4");
  EXPECT_NE(unusable().find("damaged: version 3.4: its digest is another"), std::string::npos);
  write(good);
  sql("UPDATE reign SET epoch = 2");
  EXPECT_NE(unusable().find("the reign's digest"), std::string::npos);
}

// The second statement of each persist() fails: the first has left nothing.
TEST_F(ControlStore, AKeepIsDoneWholeOrNotAtAll) {
  fill(2);
  sql("CREATE TRIGGER a BEFORE INSERT ON reign BEGIN SELECT RAISE(ABORT, 'no reign'); END;"
      "CREATE TRIGGER b BEFORE DELETE ON versions BEGIN SELECT RAISE(ABORT, 'no history'); END");
  {
    Store store(path_, "tunis", 2);
    EXPECT_NE(text_of(store.persist(LeaderTerm{4, "c2"})).find("no reign"), std::string::npos);
    EXPECT_NE(text_of(store.persist(version(3, 3))).find("no history"), std::string::npos);
    EXPECT_EQ(store.persisted().committed->id, (VersionId{3, 2}));
  }
  Store store(path_, "tunis", 2);
  EXPECT_EQ(store.persisted().term, (LeaderTerm{3, "c1"}));
  EXPECT_EQ(store.persisted().committed->id, (VersionId{3, 2}));
}

// Killed in the middle of writing: what persist() has returned for is there, and the file is whole.
TEST_F(ControlStore, WhatWasKeptOutlivesAKilledProcess) {
  std::mt19937_64 random(11);
  std::uint64_t least = 0;
  for (int round = 0; round < 12; ++round) {
    int told[2];
    ASSERT_EQ(::pipe(told), 0);
    const auto child = ::fork();
    ASSERT_GE(child, 0);
    if (child == 0) {
      Store store(path_, "tunis", 20);
      for (auto next = store.persisted().committed ? store.persisted().committed->id.number + 1 : 1;;
           ++next) {
        if (store.persist(version(3, next, "c1", std::string(20'000, 'x')))) ::_exit(1);
        if (::write(told[1], &next, sizeof next) != sizeof next) ::_exit(1);
      }
    }
    ::close(told[1]);
    std::uint64_t last = 0;
    for (auto acks = 1 + random() % 15; acks > 0; --acks)
      ASSERT_EQ(::read(told[0], &last, sizeof last), sizeof last);
    ::kill(child, SIGKILL);
    ASSERT_EQ(::waitpid(child, nullptr, 0), child);
    ::close(told[0]);
    EXPECT_GT(last, least);
    Store store(path_, "tunis");
    ASSERT_TRUE(store.persisted().committed);
    EXPECT_GE(store.persisted().committed->id.number, last);
    EXPECT_LE(store.version_count(), 20U);
    least = store.persisted().committed->id.number;
  }
}

// The kernel refuses to let the file grow: as a full disk does.
TEST_F(ControlStore, AFullDiskIsToldAndTheOldVersionStays) {
  fill(2);
  Store store(path_, "tunis");
  const auto before = ::signal(SIGXFSZ, SIG_IGN);
  rlimit old{};
  ASSERT_EQ(::getrlimit(RLIMIT_FSIZE, &old), 0);
  rlimit small = old;
  small.rlim_cur = std::filesystem::file_size(path_) + 4096;
  ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &small), 0);
  const auto problem = text_of(store.persist(version(3, 3, "c1", std::string(200'000, 'x'))));
  ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &old), 0);
  ::signal(SIGXFSZ, before);
  EXPECT_NE(problem.find(path_.string()), std::string::npos) << problem;
  EXPECT_EQ(store.persisted().committed->id, (VersionId{3, 2}));
  EXPECT_EQ(text_of(store.persist(version(3, 3))), "");
  store = Store(directory_ / "other.db", "tunis");
  EXPECT_EQ(Store(path_, "tunis").persisted().committed, version(3, 3));
}

}  // namespace
}  // namespace bellstair::control
