// Hollow brokers: the program's reducer with its decision module and configuration, without sockets, many in
// one process on a driven clock. Datagrams pass between them as the peers' sockets would pass them; databases
// answer after a step or two.
#pragma once

#include <sys/resource.h>

#include <array>
#include <cstdint>
#include <ctime>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "config/config.hpp"
#include "core/reducer.hpp"
#include "shape.hpp"

namespace bellstair::scale {

using core::Time;
using namespace std::chrono_literals;

inline Time thread_time() {
  timespec now{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

struct Totals {
  std::uint64_t statements = 0, served = 0, refused = 0, failed = 0, attempts = 0;
  std::uint64_t messages_sent = 0, bytes_sent = 0, messages_heard = 0, bytes_heard = 0;
  std::uint64_t list_events = 0;
};

class HollowBroker {
 public:
  static constexpr std::size_t kMaxBytes = 256;  // of a datagram, as the peers' sockets take them
  static constexpr std::size_t kHeads = 28;      // of IP and UDP

  HollowBroker(const config::Config& config, unsigned me, std::uint64_t seed, double rate)
      : rate_(rate),
        random_(seed),
        reducer_(
            [&] {
              auto settings = config.settings;
              settings.broker_index = me;
              settings.zone = static_cast<std::uint16_t>(me % settings.zones);
              return settings;
            }(),
            seed, config.memory_mb << 18) {
    due_ = std::generate_canonical<double, 32>(random_);
    tenants_ = static_cast<std::uint32_t>(std::max<std::size_t>(1, config.settings.tenants.size()));
  }

  void take(Time now, core::Event event) {
    effects_.clear();
    reducer_.reduce(now, std::move(event), effects_);
    for (auto& effect : effects_) {
      std::visit([this](auto& e) { run(e); }, effect);
    }
  }
  // The call that the loop's timer makes for what has happened.
  void call(Time now) {
    if (reducer_.next_scheduler_call()) take(now, core::Tick{});
  }
  void hear(Time now) {
    for (auto& datagram : std::exchange(mail, {})) {
      ++totals.messages_heard;
      totals.bytes_heard += datagram.bytes.size() + kHeads;
      take(now, std::move(datagram));
    }
  }
  // Statements that come in a step, and what databases say to earlier ones.
  void traffic(Time now, Time step) {
    slot_ = (slot_ + 1) % coming_.size();
    auto& ended = coming_[slot_];
    for (auto& end : ended) take(now, std::move(end));
    ended.clear();
    due_ += rate_ * std::chrono::duration<double>(step).count();
    for (; due_ >= 1; due_ -= 1) take(now, core::RequestReceived{statement()});
  }
  void dispatch(Time now) {
    for (const auto& id : std::exchange(starting_, {})) take(now, core::AttemptConnected{id});
  }
  [[nodiscard]] const core::Reducer& reducer() const { return reducer_; }

  Totals totals;
  std::vector<core::GossipReceived> mail;                                  // for this one
  std::vector<std::pair<std::optional<std::uint32_t>, std::string>> told;  // by this one
  std::vector<std::uint64_t>* asked_of = nullptr;                          // attempts, by database

 private:
  core::Submission statement() {
    core::Submission out;
    out.client = ++totals.statements;
    const auto drawn = random_() % 100;
    out.cls = drawn < 90 ? 0 : drawn < 98 ? 1 : 2;
    out.tenant = static_cast<std::uint32_t>(random_() % tenants_);
    if (out.cls == 2) out.ordering_key = 1 + random_() % 4096;
    out.time_limit = out.cls == 0 ? 2s : 8s;
    out.estimated_work = 1ms;
    out.estimated_memory_mb = 8;
    out.data_group = static_cast<std::int64_t>(random_() % 64);
    out.ticket = std::to_string(totals.statements);
    if (out.cls == 2) out.idempotency_key = out.ticket;
    out.body = "SELECT id, name, state FROM sales_17.orders WHERE id = 420042";
    return out;
  }
  void end_later(core::AttemptId id, core::AttemptEnd how, std::size_t steps) {
    core::AttemptEnded out;
    out.id = id;
    out.end = how;
    if (how == core::AttemptEnd::served) {
      out.body = "a\tb\tc\n";
      out.work = 1ms;
      out.memory_mb = 8;
    }
    coming_[(slot_ + steps) % coming_.size()].push_back(std::move(out));
  }
  void run(const core::Answer& answer) {
    ++(answer.kind == core::AnswerKind::served     ? totals.served
       : answer.kind == core::AnswerKind::rejected ? totals.refused
                                                   : totals.failed);
  }
  void run(const core::StartAttempt& effect) {
    starting_.push_back(effect.id);
    // Numbered from 1, as database_id() names them.
    if (asked_of != nullptr && effect.engine <= asked_of->size()) ++(*asked_of)[effect.engine - 1];
  }
  void run(const core::Transmit& effect) {
    ++totals.attempts;
    end_later(effect.id, core::AttemptEnd::served, random_() % 50 == 0 ? 8 : 1 + random_() % 2);
  }
  void run(const core::CancelAttempt& effect) { end_later(effect.id, core::AttemptEnd::cancelled, 1); }
  void run(const core::SendHealthCheck& effect) {
    core::HealthCheckEnded out;
    out.engine = effect.engine;
    out.load = {0, 0.1, 0.1};
    coming_[(slot_ + 1) % coming_.size()].emplace_back(std::move(out));
  }
  void run(core::SendGossip& effect) {
    if (effect.bytes.size() > kMaxBytes) return;
    told.emplace_back(effect.to, std::move(effect.bytes));
  }
  template <class Other>
  void run(const Other&) {}

  double rate_, due_ = 0;
  std::uint32_t tenants_ = 1;
  std::mt19937_64 random_;
  std::array<std::vector<core::Event>, 16> coming_;  // by step
  std::size_t slot_ = 0;
  std::vector<core::AttemptId> starting_;
  core::Effects effects_;
  core::Reducer reducer_;
};

class HollowFleet {
 public:
  static constexpr Time kStep = core::Reducer::kTick;

  // The first `measured` brokers take `rate` statements a second each, the others `other_rate`.
  HollowFleet(const Shape& shape, unsigned measured, double rate, double other_rate, std::uint64_t seed)
      : shape_(shape), config_(config::parse(document(shape, 0, 9000, "127.0.0.1:1").dump())) {
    for (unsigned i = 0; i < shape.brokers; ++i)
      brokers.push_back(
          std::make_unique<HollowBroker>(config_, i, seed * 100'003 + i, i < measured ? rate : other_rate));
    measured_ = std::min<std::size_t>(measured, brokers.size());
    attempts_at.resize(shape.databases);
    for (auto& broker : brokers) broker->asked_of = &attempts_at;
    for (auto& broker : brokers) {
      for (auto change : config_.initial_changes.changes) {
        broker->take(now_, std::move(change));
        broker->take(now_, core::EndpointListPolled{});
      }
      broker->take(now_, core::ListenersReady{});
    }
  }

  // One event of the change log at each broker.
  void change(const core::EndpointUpdate& what) {
    const auto both = split([&](HollowBroker& broker) {
      ++broker.totals.list_events;
      broker.take(now_, what);
      broker.call(now_ + 1ms);
    });
    costs.list += both;
  }
  [[nodiscard]] core::EndpointUpdate delta(unsigned database, policy::EngineState state) const {
    core::EndpointUpdate out;
    out.from_change_log = true;
    auto member = config_.initial_changes.changes.front().endpoints.at(database);
    member.endpoint.state = state;
    out.endpoints.push_back(std::move(member));
    return out;
  }
  [[nodiscard]] core::EndpointUpdate whole() const {
    auto out = config_.initial_changes.changes.front();
    out.from_change_log = out.full = true;
    return out;
  }

  // One tick of the loop, with all that comes between it and the next.
  void step() {
    costs.tick += split([this](HollowBroker& broker) { broker.take(now_, core::Tick{}); });
    costs.datagram += split([this](HollowBroker& broker) {
      broker.hear(now_ + 1ms);
      broker.call(now_ + 2ms);
    });
    costs.statement += split([this](HollowBroker& broker) {
      broker.traffic(now_ + 3ms, kStep);
      broker.call(now_ + 4ms);
      broker.dispatch(now_ + 4ms);
    });
    deliver();
    now_ += kStep;
  }
  void run(Time span) {
    for (const auto end = now_ + span; now_ < end;) step();
  }

  [[nodiscard]] Totals measured() const { return sum(0, measured_); }
  [[nodiscard]] Totals all() const { return sum(0, brokers.size()); }

  // Processor time of the measured brokers, by what it was for.
  struct Costs {
    Time tick{}, datagram{}, list{}, statement{};
  };
  Costs costs;
  std::vector<std::uint64_t> attempts_at;  // each database, by all brokers
  std::vector<std::unique_ptr<HollowBroker>> brokers;

 private:
  // Runs it for all, and tells the time that the measured ones took.
  template <class Work>
  Time split(Work work) {
    const auto from = thread_time();
    for (std::size_t i = 0; i < measured_; ++i) work(*brokers[i]);
    const auto took = thread_time() - from;
    for (std::size_t i = measured_; i < brokers.size(); ++i) work(*brokers[i]);
    return took;
  }
  void deliver() {
    for (std::uint32_t from = 0; from < brokers.size(); ++from) {
      auto& sender = *brokers[from];
      for (auto& [to, bytes] : sender.told) {
        // Told to all, it is one datagram to `peers_all`, and heard by each.
        ++sender.totals.messages_sent;
        sender.totals.bytes_sent += bytes.size() + HollowBroker::kHeads;
        const auto give = [&](std::uint32_t at) {
          if (at < brokers.size()) brokers[at]->mail.push_back({from, bytes});
        };
        if (to && *to != from) give(*to);
        for (std::uint32_t at = 0; !to && at < brokers.size(); ++at) {
          if (at != from) give(at);
        }
      }
      sender.told.clear();
    }
  }
  [[nodiscard]] Totals sum(std::size_t from, std::size_t to) const {
    Totals out;
    for (; from < to; ++from) {
      const auto& t = brokers[from]->totals;
      out.statements += t.statements;
      out.served += t.served;
      out.refused += t.refused;
      out.failed += t.failed;
      out.attempts += t.attempts;
      out.messages_sent += t.messages_sent;
      out.bytes_sent += t.bytes_sent;
      out.messages_heard += t.messages_heard;
      out.bytes_heard += t.bytes_heard;
      out.list_events += t.list_events;
    }
    return out;
  }

  Shape shape_;
  config::Config config_;
  std::size_t measured_ = 0;
  Time now_{1000s};
};

}  // namespace bellstair::scale
