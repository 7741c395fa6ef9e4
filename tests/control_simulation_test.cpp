// Simulates a fleet of control nodes and brokers in virtual time with the production classes Node and
// Subscriber: 7 nodes in 2 regions run under random faults derived from a seed, and then without faults until
// all have converged. Each guarantee is checked wherever it could be violated.
//
// Of the 100 seeds, 4 run with 700 brokers and 96 with 60, so that all fit into CI with sanitizers.
// BELLSTAIR_CONTROL_SEED=17 with --gtest_filter='ControlSimulationReplay.*' runs a single seed;
// BELLSTAIR_CONTROL_BROKERS=60 sets the number of brokers, BELLSTAIR_CONTROL_TRACE=1 prints log lines and
// faults.
//
// Not covered: sockets and SQLite (other tests cover them), a disk that reports success without writing, and
// the loss of the leader's disk (the design page describes that risk).
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <functional>
#include <iostream>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "control/node.hpp"
#include "control/subscriber.hpp"

namespace bellstair::control {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kNodes = 7;
constexpr Time kFaultPeriod = 40s, kConvergenceLimit = 18s;
const PersistError kDiskFull(PersistFault::io, "disk full");
constexpr std::string_view kUpdatePrefix = R"({"kind":"offer")";

// A connection with an ordered queue in each direction. As with TCP, data waits while the network is cut, and
// a reset discards data in flight.
struct Link {
  std::size_t dialler = 0, node = 0;  // process numbers
  PeerId node_peer = 0, dialler_peer = 0;
  bool open[2] = {true, true};  // 0: the dialler's end, 1: the node's
  struct Item {
    std::string body;
    bool is_end = false, is_update = false;
  };
  std::deque<Item> arrived[2];                                       // 0: to the node, 1: to the dialler
  std::size_t in_flight[2] = {0, 0}, updates_in_flight[2] = {0, 0};  // sent but not received
  Time last_arrival[2] = {};
  bool reset = false;
};
using LinkPtr = std::shared_ptr<Link>;

struct NodeHost {
  std::unique_ptr<Node> node;
  PersistedState disk;
  std::string disk_update, previous_disk_update;  // the two newest versions on disk as VersionUpdate messages
  NodeOptions options;
  std::map<PeerId, LinkPtr> links;
  PeerId next_peer = 1;
  std::set<PeerId> tools;
  LinkPtr leader_link;
  bool dialling = false;
  Time next_dial{}, dial_backoff = 100ms, dial_deadline{}, clock_offset{}, disk_full_until{};
  std::uint64_t incarnation = 0, dial_attempt = 0;
  bool unreachable = false;  // the whole host is down, so connection attempts get no answer
};

struct Broker {
  std::unique_ptr<Subscriber> subscriber;
  LinkPtr link;
  std::uint64_t incarnation = 0, dial_attempt = 0;
  Time clock_offset{};
  bool persists = false;
  std::optional<Version> last_version;  // in its file
  VersionId active_version, min_version;
  LeaderTerm term;
  std::map<std::uint64_t, std::string> leaders;  // by epoch, of the versions that it has applied
};

class Fleet {
 public:
  Fleet(std::uint64_t seed, std::size_t brokers) : random_(seed), hosts_(kNodes), brokers_(brokers) {
    trace_ = std::getenv("BELLSTAIR_CONTROL_TRACE") != nullptr;
    operator_term_ = {1, node_name(random_below(kNodes))};
    for (std::size_t i = 0; i < kNodes; ++i) {
      auto& node_host = hosts_[i];
      node_host.clock_offset =
          Time(std::uniform_int_distribution<std::int64_t>(-1'000'000'000'000, 1'000'000'000'000)(random_));
      node_host.options.fleet = "simulated";
      node_host.options.name = node_name(i);
      node_host.options.region = region(i);
      node_host.options.term = operator_term_;
      start_node(i);
    }
    for (std::size_t i = 0; i < brokers; ++i) {
      auto& b = brokers_[i];
      b.clock_offset =
          Time(std::uniform_int_distribution<std::int64_t>(-1'000'000'000'000, 1'000'000'000'000)(random_));
      b.persists = chance(0.7);
      schedule(random_duration(0ms, 1s), [this, i] { start_broker(i); });
    }
  }

  // Returns a description of the first violation, or an empty string.
  std::string run() {
    schedule(100ms, [this] { tick(); });
    schedule(500ms, [this] { publish_periodically(); });
    schedule(2s, [this] { inject_fault(); });
    schedule(kFaultPeriod, [this] { heal(); });
    while (violation_.empty() && !events_.empty() && !converged_) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
      if (now_ > kFaultPeriod + kConvergenceLimit)
        fail("not converged " + std::to_string(kConvergenceLimit.count() / 1'000'000'000) +
             " s after healing: " + lagging_processes());
    }
    return violation_;
  }
  [[nodiscard]] Time convergence() const { return now_ - kFaultPeriod; }
  std::map<std::string, int> counts;

 private:
  struct Event {
    Time at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  // ---- random values and time

  std::uint64_t random_below(std::uint64_t limit) { return random_() % limit; }
  bool chance(double p) { return static_cast<double>(random_() >> 11U) * 0x1p-53 < p; }
  Time random_duration(Time min, Time max) {
    return min +
           Time(static_cast<std::int64_t>(random_below(static_cast<std::uint64_t>((max - min).count()))));
  }
  void schedule(Time after, std::function<void()> action) {
    events_.push({now_ + after, ++order_, std::move(action)});
  }
  static std::string node_name(std::size_t node) { return "c" + std::to_string(node + 1); }
  static std::string broker_name(std::size_t broker) { return "b" + std::to_string(broker); }
  // 4 nodes are in the north and 3 in the south; brokers alternate between the regions.
  static std::string region(std::size_t process) {
    const bool north = process < kNodes ? process < 4 : process % 2 == 0;
    return north ? "north" : "south";
  }
  void fail(const std::string& message) {
    if (violation_.empty())
      violation_ = "at " + std::to_string(static_cast<double>(now_.count()) / 1e9) + " s: " + message;
  }
  void trace(const std::string& line) {
    if (trace_) std::cout << static_cast<double>(now_.count()) / 1e9 << " " << line << "\n";
  }

  // ---- network

  [[nodiscard]] bool is_cut(std::size_t from, std::size_t to) const {
    if (regions_cut_ && region(from) != region(to)) return true;
    return cuts_.contains({from, to}) || cuts_.contains({from, kAnyProcess}) ||
           cuts_.contains({kAnyProcess, to});
  }
  Time delay(std::size_t from, std::size_t to) {
    if (slow_.contains(from) || slow_.contains(to)) return random_duration(500ms, 3s);
    return region(from) == region(to) ? random_duration(100us, 3ms) : random_duration(10ms, 40ms);
  }
  void send(const LinkPtr& link, int way, std::string body, bool is_end = false) {
    const auto from = way == 0 ? link->dialler : link->node, to = way == 0 ? link->node : link->dialler;
    const bool is_update = body.starts_with(kUpdatePrefix);
    ++link->in_flight[way];
    if (is_update) ++link->updates_in_flight[way];
    link->last_arrival[way] = std::max(link->last_arrival[way], now_ + delay(from, to));
    schedule(link->last_arrival[way] - now_, [this, link, way, body = std::move(body), is_end, is_update] {
      if (link->reset) return;
      link->arrived[way].push_back({body, is_end, is_update});
      deliver_arrived(link, way);
    });
  }
  void deliver_arrived(const LinkPtr& link, int way) {
    const auto from = way == 0 ? link->dialler : link->node, to = way == 0 ? link->node : link->dialler;
    while (!link->arrived[way].empty() && !link->reset && !is_cut(from, to)) {
      const auto item = std::move(link->arrived[way].front());
      link->arrived[way].pop_front();
      --link->in_flight[way];
      if (item.is_update) --link->updates_in_flight[way];
      if (!link->open[1 - way]) continue;  // the receiver has closed its end
      if (item.is_end) {
        on_remote_close(link, 1 - way);
      } else {
        deliver(link, way, item.body);
      }
      if (way == 1 && link->in_flight[1] == 0 && link->open[1]) report_drained(link->node, link->node_peer);
      if (way == 0 && link->in_flight[0] == 0 && link->open[0] && link->dialler < kNodes)
        report_drained(link->dialler, link->dialler_peer);
    }
  }
  void report_drained(std::size_t node, PeerId peer) {
    with_node(node, [&](Node& n, Time now, NodeEffects& out) { n.on_drained(now, peer, out); });
  }
  void deliver(const LinkPtr& link, int way, const std::string& body) {
    if (way == 0) return deliver_to_node(link->node, link->node_peer, body);
    if (link->dialler < kNodes)
      return deliver_to_node(link->dialler, link->dialler_peer, maybe_corrupt(link->dialler, body));
    const auto i = link->dialler - kNodes;
    if (brokers_[i].link != link) return;
    const auto received = maybe_corrupt(link->dialler, body);
    with_broker(i,
                [&](Subscriber& s, Time now, SubscriberEffects& out) { s.on_message(now, received, out); });
  }
  void deliver_to_node(std::size_t i, PeerId peer, const std::string& body) {
    with_node(i, [&](Node& n, Time now, NodeEffects& out) { n.on_message(now, peer, body, out); });
  }
  // Occasionally replaces a version in transit by another published one, or its text by that of another one.
  std::string maybe_corrupt(std::size_t to, const std::string& body) {
    if (healed_ || !body.starts_with(kUpdatePrefix) || published_.size() < 3 || !chance(0.03)) return body;
    auto update = std::get<VersionUpdate>(decode(body));
    auto other = published_.begin();
    std::advance(other, static_cast<std::ptrdiff_t>(random_below(published_.size())));
    ++counts["versions corrupted or replayed"];
    trace("corrupted or replayed version for process " + std::to_string(to));
    if (chance(0.5)) return encode(VersionUpdate{other->second});
    update.version.text = other->second.text + (chance(0.5) ? "" : " ");
    return encode(update);
  }
  // Closes this end after the other end was closed or the connection was reset.
  void on_remote_close(const LinkPtr& link, int end) {
    if (!link->open[end]) return;
    link->open[end] = false;
    const auto process = end == 0 ? link->dialler : link->node;
    if (process >= kNodes) {
      const auto i = process - kNodes;
      if (brokers_[i].link != link) return;
      brokers_[i].link.reset();
      with_broker(i, [](Subscriber& s, Time now, SubscriberEffects& out) { s.on_closed(now, out); });
      return;
    }
    const auto peer = end == 0 ? link->dialler_peer : link->node_peer;
    auto& node_host = hosts_[process];
    node_host.links.erase(peer);
    if (node_host.leader_link == link) node_host.leader_link.reset();
    with_node(process, [&](Node& n, Time now, NodeEffects& out) { n.on_closed(now, peer, out); });
  }
  // Closes this end; unless `silently`, the other end is notified after all data sent before.
  void close_end(const LinkPtr& link, int end, bool silently = false) {
    if (!link || !link->open[end]) return;
    link->open[end] = false;
    if (!silently) send(link, end, "", true);
  }
  void reset_link(const LinkPtr& link) {
    link->reset = true;
    for (const int end : {0, 1})
      schedule(random_duration(1ms, 50ms), [this, link, end] { on_remote_close(link, end); });
  }
  // `on_result` receives the link, or null if the connection is refused; it is not called while the network
  // is cut.
  void dial(std::size_t from, std::size_t node, std::function<bool(const LinkPtr&)> on_result) {
    schedule(delay(from, node), [this, from, node, on_result = std::move(on_result)] {
      if (is_cut(from, node) || is_cut(node, from) || hosts_[node].unreachable) return;
      auto& node_host = hosts_[node];
      LinkPtr link;
      if (node_host.node) {
        link = std::make_shared<Link>();
        link->dialler = from;
        link->node = node;
        link->node_peer = node_host.next_peer++;
        node_host.links[link->node_peer] = link;
        links_.push_back(link);
        with_node(node,
                  [&](Node& n, Time now, NodeEffects& out) { n.on_accepted(now, link->node_peer, out); });
      }
      schedule(delay(node, from), [this, link, on_result] {
        if (!on_result(link) && link) close_end(link, 0);
      });
    });
  }

  // ---- nodes

  void start_node(std::size_t i) {
    auto& node_host = hosts_[i];
    ++node_host.incarnation;
    node_host.unreachable = node_host.dialling = false;
    node_host.next_dial = now_;
    node_host.node = std::make_unique<Node>(node_host.options, node_host.disk);
  }
  void crash(std::size_t i, bool silently) {
    auto& node_host = hosts_[i];
    if (!node_host.node) return;
    trace("crash of " + node_name(i) + (silently ? ", silently" : ""));
    ++counts["nodes crashed"];
    ++node_host.incarnation;
    ++node_host.dial_attempt;
    node_host.node.reset();
    node_host.unreachable = silently;
    node_host.leader_link.reset();
    node_host.tools.clear();
    for (auto& [peer, link] : std::exchange(node_host.links, {}))
      close_end(link, link->node == i ? 1 : 0, silently);
  }
  template <class Work>
  void with_node(std::size_t i, Work work) {
    auto& node_host = hosts_[i];
    if (!node_host.node || !violation_.empty()) return;
    NodeEffects out;
    work(*node_host.node, now_ + node_host.clock_offset, out);
    for (auto& effect : out) std::visit([&](auto& e) { run_node_effect(i, e); }, effect);
  }
  void run_node_effect(std::size_t i, const LogLine& e) { trace(node_name(i) + " | " + e.text); }
  void run_node_effect(std::size_t i, const Send& e) {
    auto& node_host = hosts_[i];
    // A node sends only versions and terms that are on its own disk.
    if (e.body.starts_with(kUpdatePrefix) && e.body != node_host.disk_update &&
        e.body != node_host.previous_disk_update)
      fail(node_name(i) + " sends a version that is not on its disk");
    if (e.body.starts_with(R"({"kind":"pong")") || e.body.find(R"("kind":"welcome")") != std::string::npos) {
      constexpr std::string_view kEpoch = R"("reign":{"epoch":)";
      if (std::stoull(e.body.substr(e.body.find(kEpoch) + kEpoch.size())) > node_host.disk.term.epoch)
        fail(node_name(i) + " sends a leader term that is not on its disk: " + e.body);
    }
    if (node_host.tools.contains(e.peer)) {
      const auto response = decode(e.body);
      if (const auto* published = std::get_if<Published>(&response)) {
        ++counts["documents published"];
        if (!node_host.disk.committed || node_host.disk.committed->id != published->id)
          fail(node_name(i) + " reports a version as published that is not on its disk");
        if (healed_ && node_host.disk.committed->text == final_text_)
          final_version_ = node_host.disk.committed->id;
      } else if (std::holds_alternative<PublishRejected>(response)) {
        ++counts["documents rejected"];
      }
      return;
    }
    const auto found = node_host.links.find(e.peer);
    if (found == node_host.links.end()) return;
    const LinkPtr link = found->second;
    const int way = link->node == i && link->node_peer == e.peer ? 1 : 0;
    if (!link->open[way]) return;
    if (link->updates_in_flight[way] > 0 && e.body.starts_with(kUpdatePrefix))
      fail(node_name(i) + " sends a version while another is in flight");
    send(link, way, e.body);
  }
  void run_node_effect(std::size_t i, const Close& e) {
    auto& node_host = hosts_[i];
    const auto found = node_host.links.find(e.peer);
    if (found == node_host.links.end()) return;
    const LinkPtr link = found->second;
    node_host.links.erase(found);
    if (node_host.leader_link == link) node_host.leader_link.reset();
    close_end(link, link->node == i && link->node_peer == e.peer ? 1 : 0);
  }
  void run_node_effect(std::size_t i, const PersistVersion& e) {
    auto& node_host = hosts_[i];
    const bool own = e.version.leader == node_name(i) && e.version.id.epoch == node_host.disk.term.epoch &&
                     node_host.disk.term.leader == node_name(i);
    if (!is_intact(e.version)) fail(node_name(i) + " persists a version whose digest does not match");
    if (!own) {
      const auto known = published_.find({e.version.id, e.version.leader});
      if (known == published_.end() || known->second != e.version)
        fail(node_name(i) + " persists a version that no leader has published");
    }
    const auto incarnation = node_host.incarnation;
    schedule(random_duration(1ms, 20ms), [this, i, incarnation, own, version = e.version] {
      auto& host = hosts_[i];
      if (host.incarnation != incarnation) return;  // the write is lost with the process
      std::optional<PersistError> error;
      if (now_ < host.disk_full_until) {
        error = kDiskFull;
      } else {
        if (host.disk.committed && version.id <= host.disk.committed->id)
          fail(node_name(i) + " goes back to the older version " + to_text(version.id));
        if (own) {
          const auto [existing, inserted] = published_.try_emplace({version.id, version.leader}, version);
          if (!inserted && existing->second != version)
            fail("two different versions " + to_text(version.id) + " of " + version.leader);
        }
        host.disk.committed = version;
        host.previous_disk_update = std::exchange(host.disk_update, encode(VersionUpdate{version}));
      }
      schedule(random_duration(0ms, 10ms) + 1ns, [this, i, incarnation, version, error] {
        if (hosts_[i].incarnation != incarnation) return;  // on disk, but its completion is not reported
        with_node(i, [&](Node& n, Time now, NodeEffects& out) {
          n.on_version_persisted(now, version, error, out);
        });
      });
    });
  }
  void run_node_effect(std::size_t i, const PersistTerm& e) {
    const auto incarnation = hosts_[i].incarnation;
    schedule(random_duration(1ms, 20ms), [this, i, incarnation, term = e.term] {
      auto& node_host = hosts_[i];
      if (node_host.incarnation != incarnation) return;
      std::optional<PersistError> error;
      if (now_ < node_host.disk_full_until) {
        error = kDiskFull;
      } else {
        if (term.epoch <= node_host.disk.term.epoch)
          fail(node_name(i) + " goes back to the older epoch " + std::to_string(term.epoch));
        node_host.disk.term = term;
      }
      schedule(random_duration(0ms, 10ms) + 1ns, [this, i, incarnation, term, error] {
        if (hosts_[i].incarnation != incarnation) return;
        with_node(i,
                  [&](Node& n, Time now, NodeEffects& out) { n.on_term_persisted(now, term, error, out); });
      });
    });
  }
  // Keeps one connection to the leader, as the event loop of a node does.
  void connect_to_leader(std::size_t i) {
    auto& node_host = hosts_[i];
    const auto upstream = node_host.node->upstream();
    if (!upstream || node_host.leader_link || now_ < node_host.next_dial) return;
    if (node_host.dialling && now_ < node_host.dial_deadline) return;
    node_host.dialling = true;
    node_host.dial_deadline = now_ + 1s;
    node_host.next_dial = now_ + random_duration(node_host.dial_backoff / 2, node_host.dial_backoff);
    node_host.dial_backoff = std::min(2 * node_host.dial_backoff, Time(4s));
    const auto incarnation = node_host.incarnation, attempt = ++node_host.dial_attempt;
    const auto to = static_cast<std::size_t>(std::stoul(upstream->substr(1)) - 1);
    dial(i, to, [this, i, incarnation, attempt](const LinkPtr& link) {
      auto& host = hosts_[i];
      if (host.incarnation != incarnation || host.dial_attempt != attempt) return false;
      host.dialling = false;
      if (!link) return true;
      link->dialler_peer = host.next_peer++;
      host.links[link->dialler_peer] = link;
      host.leader_link = link;
      host.dial_backoff = 100ms;
      with_node(i, [&](Node& n, Time now, NodeEffects& out) {
        n.on_leader_connected(now, link->dialler_peer, out);
      });
      return true;
    });
  }

  // ---- brokers

  void start_broker(std::size_t i) {
    auto& b = brokers_[i];
    ++b.incarnation;
    SubscriberOptions options;
    options.fleet = "simulated";
    options.name = broker_name(i);
    options.region = region(kNodes + i);
    options.seed = random_();
    for (std::size_t n = 0; n < kNodes; ++n) options.nodes.push_back({node_name(n), "", region(n)});
    b.subscriber = std::make_unique<Subscriber>(options, b.last_version);
    b.term = {};
    b.active_version = {};
    b.min_version = b.last_version ? b.last_version->id : VersionId{};
    b.leaders.clear();
    if (b.last_version) b.leaders[b.last_version->id.epoch] = b.last_version->leader;
    with_broker(i, [](Subscriber& s, Time now, SubscriberEffects& out) { s.start(now, out); });
  }
  void stop_broker(std::size_t i, bool silently) {
    auto& b = brokers_[i];
    ++b.incarnation;
    ++b.dial_attempt;
    b.subscriber.reset();
    close_end(b.link, 0, silently);
    b.link.reset();
  }
  template <class Work>
  void with_broker(std::size_t i, Work work) {
    auto& b = brokers_[i];
    if (!b.subscriber || !violation_.empty()) return;
    SubscriberEffects out;
    work(*b.subscriber, now_ + b.clock_offset, out);
    const auto incarnation = b.incarnation;
    for (auto& effect : out) {
      if (b.incarnation == incarnation) std::visit([&](auto& e) { run_broker_effect(i, e); }, effect);
    }
    if (!b.subscriber) return;
    if (b.subscriber->term().epoch < b.term.epoch)
      fail(broker_name(i) + " goes back to the older epoch " + std::to_string(b.subscriber->term().epoch));
    b.term = b.subscriber->term();
  }
  void run_broker_effect(std::size_t i, const LogLine& e) { trace(broker_name(i) + " | " + e.text); }
  void run_broker_effect(std::size_t i, const Connect& e) {
    auto& b = brokers_[i];
    close_end(b.link, 0);
    b.link.reset();
    const auto incarnation = b.incarnation, attempt = ++b.dial_attempt;
    dial(kNodes + i, e.node, [this, i, incarnation, attempt](const LinkPtr& link) {
      auto& broker = brokers_[i];
      if (broker.incarnation != incarnation || broker.dial_attempt != attempt) return false;
      broker.link = link;
      with_broker(i, [&](Subscriber& s, Time now, SubscriberEffects& out) {
        if (link) {
          s.on_connected(now, out);
        } else {
          s.on_closed(now, out);
        }
      });
      return true;
    });
  }
  void run_broker_effect(std::size_t i, const Disconnect&) {
    auto& b = brokers_[i];
    ++b.dial_attempt;
    close_end(b.link, 0);
    b.link.reset();
  }
  void run_broker_effect(std::size_t i, const SendToNode& e) {
    if (const auto& link = brokers_[i].link; link && link->open[0]) send(link, 0, e.body);
  }
  void run_broker_effect(std::size_t i, const ApplyVersion& e) {
    if (chance(0.5)) return apply(i, e.version);
    schedule(random_duration(1ms, 50ms),
             [this, i, incarnation = brokers_[i].incarnation, version = e.version] {
               if (brokers_[i].incarnation == incarnation) apply(i, version);
             });
  }
  void apply(std::size_t i, const Version& version) {
    auto& b = brokers_[i];
    const std::string who = broker_name(i) + ": version " + to_text(version.id);
    // A broker applies only published versions: never a mixture, and never one that is not on its leader's
    // disk.
    const auto known = published_.find({version.id, version.leader});
    if (!is_intact(version) || known == published_.end() || known->second != version)
      fail(who + " was never published");
    if (version.id < b.min_version || (b.active_version != VersionId{} && version.id <= b.active_version))
      fail(who + " is applied although not newer than " + to_text(std::max(b.min_version, b.active_version)));
    if (const auto [existing, inserted] = b.leaders.try_emplace(version.id.epoch, version.leader);
        !inserted && existing->second != version.leader)
      fail(who + " names " + version.leader + " as a second leader besides " + existing->second);
    std::string rejection;
    if (version.text.starts_with("odd") && i % 5 == 0) rejection = "doc:1:1: invalid";
    if (rejection.empty()) {
      b.active_version = b.min_version = version.id;
      if (b.persists) b.last_version = version;
      ++counts["versions applied"];
    }
    with_broker(i, [&](Subscriber& s, Time, SubscriberEffects& out) {
      if (rejection.empty()) {
        s.on_version_applied(version, out);
      } else {
        s.on_version_rejected(version, rejection, out);
      }
    });
    if (b.subscriber && b.subscriber->active_version() != b.active_version)
      fail(who + ": the subscriber reports another active version");
  }

  // ---- events

  void tick() {
    for (std::size_t i = 0; i < kNodes; ++i) {
      if (!hosts_[i].node) continue;
      with_node(i, [](Node& n, Time now, NodeEffects& out) { n.tick(now, out); });
      connect_to_leader(i);
    }
    for (std::size_t i = 0; i < brokers_.size(); ++i)
      with_broker(i, [](Subscriber& s, Time now, SubscriberEffects& out) { s.tick(now, out); });
    if (healed_ && final_version_ == VersionId{}) publish(leader(), final_text_);
    if (final_version_ != VersionId{} && lagging_processes().empty()) converged_ = true;
    std::erase_if(links_,
                  [](const LinkPtr& link) { return link->reset || (!link->open[0] && !link->open[1]); });
    schedule(100ms, [this] { tick(); });
  }
  [[nodiscard]] std::string lagging_processes() const {
    std::size_t count = 0;
    std::string first;
    for (std::size_t i = 0; i < brokers_.size(); ++i) {
      if (brokers_[i].active_version == final_version_ && final_version_ != VersionId{}) continue;
      if (++count <= 5) first += " " + broker_name(i) + " at " + to_text(brokers_[i].active_version);
    }
    for (std::size_t i = 0; i < kNodes; ++i) {
      const auto& newest = hosts_[i].disk.committed;
      if (newest && newest->id == final_version_) continue;
      ++count;
      first += " " + node_name(i) + " at " + to_text(newest ? newest->id : VersionId{});
    }
    return count == 0
               ? ""
               : std::to_string(count) + " processes lag behind " + to_text(final_version_) + ":" + first;
  }
  std::size_t leader() const {
    return static_cast<std::size_t>(std::stoul(operator_term_.leader.substr(1)) - 1);
  }
  void publish(std::size_t node, const std::string& text) {
    auto& node_host = hosts_[node];
    if (!node_host.node) return;
    const PeerId tool = node_host.next_peer++;
    node_host.tools.insert(tool);
    with_node(node, [&](Node& n, Time now, NodeEffects& out) {
      n.on_accepted(now, tool, out);
      n.on_message(
          now, tool,
          encode(Hello{kProtocolVersion, "simulated", "tool", "", Role::tool, operator_term_, {}, ""}), out);
      n.on_message(now, tool, encode(Publish{text}), out);
    });
  }
  void publish_periodically() {
    if (healed_) return;
    std::string text = (chance(0.15) ? "odd " : "doc ") + std::to_string(++document_count_) + " ";
    text.resize(text.size() + random_below(300), 'x');
    // Some requests go to a node that is not the leader.
    publish(chance(0.85) ? leader() : random_below(kNodes), text);
    schedule(chance(0.3) ? random_duration(1ms, 50ms) : random_duration(200ms, 4s),
             [this] { publish_periodically(); });
  }
  // The operator names another leader and changes the nodes' files one after another, some only when the
  // faults end.
  void change_leader() {
    operator_term_ = {operator_term_.epoch + 1, node_name(random_below(kNodes))};
    trace("the operator names " + operator_term_.leader + ", epoch " + std::to_string(operator_term_.epoch));
    ++counts["leader changes"];
    for (std::size_t i = 0; i < kNodes; ++i) {
      if (chance(0.2) && node_name(i) != operator_term_.leader) continue;
      schedule(random_duration(0ms, 3s),
               [this, i, term = operator_term_] { change_operators_file(i, term); });
    }
  }
  void change_operators_file(std::size_t i, const LeaderTerm& term) {
    auto& node_host = hosts_[i];
    if (node_host.options.term.epoch >= term.epoch) return;
    node_host.options.term = term;
    with_node(i, [&](Node& n, Time now, NodeEffects& out) { n.reconfigure(now, node_host.options, out); });
  }
  void restart_brokers(double share) {
    for (std::size_t i = 0; i < brokers_.size(); ++i) {
      if (!chance(share)) continue;
      stop_broker(i, chance(0.3));
      ++counts["brokers restarted"];
      schedule(random_duration(10ms, 2s), [this, i, incarnation = brokers_[i].incarnation] {
        if (brokers_[i].incarnation == incarnation) start_broker(i);
      });
    }
  }
  void crash_and_restart(std::size_t i, bool loses_disk) {
    crash(i, chance(0.4));
    auto& node_host = hosts_[i];
    if (loses_disk) {
      trace(node_name(i) + " has lost its disk");
      ++counts["disks lost"];
      node_host.disk = {};
      node_host.disk_update.clear();
      node_host.previous_disk_update.clear();
    }
    schedule(random_duration(300ms, 9s), [this, i, incarnation = node_host.incarnation] {
      if (hosts_[i].incarnation == incarnation) start_node(i);
    });
  }
  // Whether the node runs and has never been a leader; only then may it lose its disk, since a leader that
  // lost its disk needs a higher epoch.
  [[nodiscard]] bool has_never_led(std::size_t i) const {
    return hosts_[i].node && !past_leaders_.contains(node_name(i)) && operator_term_.leader != node_name(i);
  }
  void inject_fault() {
    if (healed_) return;
    past_leaders_.insert(operator_term_.leader);
    for (const auto& [key, version] : published_) past_leaders_.insert(key.second);
    const auto some_node = random_below(kNodes);
    switch (random_below(12)) {
      case 0:
      case 1:
        for (auto& link : links_) {
          if (!link->reset && chance(0.1)) {
            reset_link(link);
            ++counts["connections reset"];
          }
        }
        break;
      case 2: {  // in one direction: from a node, to a node, or between two processes
        const std::pair<std::size_t, std::size_t> way =
            chance(0.3)   ? std::pair{some_node, kAnyProcess}
            : chance(0.5) ? std::pair{kAnyProcess, some_node}
                          : std::pair{some_node, chance(0.5) ? random_below(kNodes)
                                                             : kNodes + random_below(brokers_.size())};
        cuts_.insert(way);
        ++counts["one-way cuts"];
        trace("one-way cut from " + std::to_string(way.first) + " to " + std::to_string(way.second));
        schedule(random_duration(500ms, 12s), [this, way] {
          cuts_.erase(way);
          deliver_all_arrived();
        });
        break;
      }
      case 3:
        if (regions_cut_) break;
        regions_cut_ = true;
        ++counts["region cuts"];
        trace("regions cut");
        schedule(random_duration(2s, 15s), [this] {
          regions_cut_ = false;
          trace("regions reconnected");
          deliver_all_arrived();
        });
        break;
      case 4:
        crash_and_restart(some_node, false);
        break;
      case 5:
        crash_and_restart(leader(), false);
        break;
      case 6:
        if (has_never_led(some_node)) crash_and_restart(some_node, true);
        break;
      case 7:
        restart_brokers(chance(0.5) ? 0.05 : 0.3);
        break;
      case 8:
        if (chance(0.5)) crash_and_restart(leader(), false);  // it restarts with its old file or the new one
        change_leader();
        break;
      case 9:
        hosts_[some_node].disk_full_until = now_ + random_duration(500ms, 6s);
        ++counts["disks full"];
        break;
      case 10: {
        const auto process = chance(0.5) ? random_below(kNodes) : kNodes + random_below(brokers_.size());
        slow_.insert(process);
        ++counts["slow processes"];
        schedule(random_duration(1s, 10s), [this, process] { slow_.erase(process); });
        break;
      }
      default:
        // An operator's mistake: the file of a node with an empty disk names it as the leader of an epoch
        // that already has a leader.
        if (!chance(0.4) || !has_never_led(some_node)) break;
        ++counts["second leaders of an epoch"];
        trace(node_name(some_node) + " is named as a second leader");
        crash_and_restart(some_node, true);
        hosts_[some_node].options.term = {operator_term_.epoch, node_name(some_node)};
        schedule(random_duration(2s, 6s),
                 [this, some_node, text = "from the second leader " + std::to_string(now_.count())] {
                   if (!healed_) publish(some_node, text);  // no document may follow the final one
                 });
        second_leader_named_ = true;
        break;
    }
    schedule(random_duration(200ms, 3s), [this] { inject_fault(); });
  }
  void deliver_all_arrived() {
    const auto links = links_;
    for (const auto& link : links) {
      deliver_arrived(link, 0);
      deliver_arrived(link, 1);
    }
  }
  void heal() {
    trace("healed");
    healed_ = true;
    regions_cut_ = false;
    cuts_.clear();
    slow_.clear();
    if (second_leader_named_) operator_term_ = {operator_term_.epoch + 1, node_name(random_below(kNodes))};
    final_text_ = "the last document";
    for (std::size_t i = 0; i < kNodes; ++i) {
      hosts_[i].disk_full_until = {};
      change_operators_file(i, operator_term_);
      if (!hosts_[i].node) start_node(i);
    }
    for (std::size_t i = 0; i < brokers_.size(); ++i) {
      if (!brokers_[i].subscriber) start_broker(i);
    }
    deliver_all_arrived();
  }

  static constexpr std::size_t kAnyProcess = ~std::size_t{0};

  std::mt19937_64 random_;
  bool trace_ = false;
  Time now_{};
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::string violation_;

  std::vector<NodeHost> hosts_;
  std::vector<Broker> brokers_;
  std::vector<LinkPtr> links_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::set<std::size_t> slow_;
  bool regions_cut_ = false;

  LeaderTerm operator_term_;
  std::set<std::string> past_leaders_;
  std::map<std::pair<VersionId, std::string>, Version> published_;  // on its leader's disk; by id and leader
  std::uint64_t document_count_ = 0;
  bool second_leader_named_ = false, healed_ = false, converged_ = false;
  std::string final_text_;
  VersionId final_version_;
};

std::size_t broker_count(std::uint64_t seed) { return seed <= 4 ? 700 : 60; }

// Runs one seed and adds up the counts of events, so that a test can check that faults occurred.
void run_seed(std::uint64_t seed, std::size_t brokers, std::map<std::string, int>& counts) {
  Fleet fleet(seed, brokers);
  const auto violation = fleet.run();
  EXPECT_EQ(violation, "") << "replay: BELLSTAIR_CONTROL_SEED=" << seed
                           << " BELLSTAIR_CONTROL_BROKERS=" << brokers;
  for (const auto& [name, count] : fleet.counts) counts[name] += count;
  auto& slowest = counts["slowest convergence, ms"];
  slowest = std::max(slowest, static_cast<int>(fleet.convergence().count() / 1'000'000));
}
void print(const std::map<std::string, int>& counts) {
  for (const auto& [name, count] : counts) std::cout << "  " << name << ": " << count << "\n";
}

class ControlSimulation : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(ControlSimulation, ConvergesAfterFaultsWith700Brokers) {
  std::map<std::string, int> counts;
  run_seed(GetParam(), broker_count(GetParam()), counts);
  print(counts);
  EXPECT_GT(counts["versions applied"], 2000);
}
INSTANTIATE_TEST_SUITE_P(AtSize, ControlSimulation, ::testing::Range<std::uint64_t>(1, 5));

class ControlSimulationSmall : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(ControlSimulationSmall, ConvergesAfterFaultsWith60Brokers) {
  std::map<std::string, int> counts;
  for (auto seed = GetParam(); seed < GetParam() + 12 && !HasFailure(); ++seed)
    run_seed(seed, broker_count(seed), counts);
  print(counts);
  EXPECT_GT(counts["versions applied"], 2000);
  for (const auto* fault :
       {"connections reset", "one-way cuts", "region cuts", "nodes crashed", "disks lost", "disks full",
        "brokers restarted", "leader changes", "slow processes", "second leaders of an epoch",
        "versions corrupted or replayed", "documents published", "documents rejected"})
    EXPECT_GT(counts[fault], 0) << fault;
}
INSTANTIATE_TEST_SUITE_P(Small, ControlSimulationSmall, ::testing::Range<std::uint64_t>(5, 101, 12));

// Runs the seed named in the environment, if any, twice; both runs must have the same events.
TEST(ControlSimulationReplay, SameSeedGivesTheSameEvents) {
  const char* seed = std::getenv("BELLSTAIR_CONTROL_SEED");
  const char* brokers = std::getenv("BELLSTAIR_CONTROL_BROKERS");
  const std::uint64_t number = seed == nullptr ? 5 : std::stoull(seed);
  const std::size_t size = brokers == nullptr ? broker_count(number) : std::stoull(brokers);
  std::map<std::string, int> first, second;
  run_seed(number, size, first);
  print(first);
  run_seed(number, size, second);
  EXPECT_EQ(first, second);
}

}  // namespace
}  // namespace bellstair::control
