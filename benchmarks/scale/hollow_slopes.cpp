// How a broker's costs grow with the deployment: hollow brokers on a driven clock, processor time by the
// thread's own clock.
#include <sys/resource.h>

#include <algorithm>
#include <cstdio>

#include "heap.hpp"
#include "hollow_fleet.hpp"
#include "net/backoff.hpp"
#include "slopes.hpp"

namespace bellstair::scale {
namespace {

struct Point {
  std::string suite, axis;
  double x = 0;
  Shape shape;
  double rate = 3140, other_rate = 40;
};

double us(Time time) { return std::chrono::duration<double, std::micro>(time).count(); }

// What reading the clock twice costs in each timed part.
Time clock_cost() {
  constexpr int kTimes = 20000;
  const auto from = thread_time();
  for (int i = 0; i < kTimes; ++i) (void)thread_time();
  return (thread_time() - from) / kTimes;
}

void play(const Point& point, unsigned number, Time span, Results& out) {
  static constexpr unsigned kMeasured = 4;
  const auto before = heap();
  HollowFleet fleet(point.shape, kMeasured, point.rate, point.other_rate, 7919 * number);
  const auto built = heap();
  fleet.run(750ms);  // queries out, levels known, buffers grown
  const auto warm = heap();
  const auto measured = std::min<double>(kMeasured, point.shape.brokers);
  const auto then = fleet.measured();
  fleet.costs = {};
  std::ranges::fill(fleet.attempts_at, 0);
  Time list_whole{};
  std::size_t steps = 0, events = 0;
  unsigned database = 0;
  for (Time at{}; at < span; at += HollowFleet::kStep) {
    fleet.step();
    ++steps;
    // A database drains, and is back a quarter of a second later.
    if (steps % 50 == 0) {
      fleet.change(fleet.delta(
          database, steps % 100 == 0 ? policy::EngineState::ready : policy::EngineState::draining));
      if (steps % 100 == 0) database = (database + 1) % point.shape.databases;
      ++events;
    }
  }
  const auto costs = fleet.costs;
  const auto now = fleet.measured();
  const auto after = heap();
  fleet.change(fleet.whole());
  list_whole = fleet.costs.list - costs.list;

  const double seconds = std::chrono::duration<double>(span).count() * measured;
  const double reading = us(clock_cost());
  const auto each = [&](Time time, double times, double count) {
    return std::max(0.0, us(time) - reading * times) / std::max(1.0, count);
  };
  const auto n_steps = static_cast<double>(steps);
  const auto statements = static_cast<double>(now.statements - then.statements);
  const auto heard = static_cast<double>(now.messages_heard - then.messages_heard);
  const double tick = each(costs.tick, n_steps, seconds), datagram = each(costs.datagram, n_steps, seconds);
  const double list = each(costs.list, static_cast<double>(events), seconds);
  out.at(point.suite, point.axis, point.x, number);
  out.row("control", "processor_per_second", "us", tick + datagram + list);
  out.row("control", "tick_per_second", "us", tick);
  out.row("control", "tick_each", "us", each(costs.tick, n_steps, n_steps * measured));
  out.row("control", "datagrams_per_second", "us", datagram);
  if (heard > 0) out.row("control", "datagram_each", "us", each(costs.datagram, n_steps, heard));
  out.row("control", "list_event_each", "us",
          each(costs.list, static_cast<double>(events), static_cast<double>(events) * measured));
  out.row("control", "whole_list_each", "us", each(list_whole, 1, measured));
  const auto a_second = [&](std::uint64_t to, std::uint64_t from) {
    return static_cast<double>(to - from) / seconds;
  };
  out.row("control", "messages_sent_per_second", "count", a_second(now.messages_sent, then.messages_sent));
  out.row("control", "bytes_sent_per_second", "bytes", a_second(now.bytes_sent, then.bytes_sent));
  out.row("control", "messages_received_per_second", "count",
          a_second(now.messages_heard, then.messages_heard));
  out.row("control", "bytes_received_per_second", "bytes", a_second(now.bytes_heard, then.bytes_heard));
  const double data = each(costs.statement, n_steps, seconds);
  out.row("data", "processor_per_second", "us", data);
  if (statements > 0) out.row("data", "statement_each", "us", each(costs.statement, n_steps, statements));
  out.row("data", "statements_per_second", "count", a_second(now.statements, then.statements));
  out.row("data", "served_per_second", "count", a_second(now.served, then.served));
  out.row("data", "refused_per_second", "count", a_second(now.refused, then.refused));
  out.row("data", "failed_per_second", "count", a_second(now.failed, then.failed));
  out.row("data", "attempts_per_second", "count", a_second(now.attempts, then.attempts));
  double attempts = 0, most = 0;
  for (const auto n : fleet.attempts_at) {
    attempts += static_cast<double>(n);
    most = std::max(most, static_cast<double>(n));
  }
  const double played = std::chrono::duration<double>(span).count();
  out.row("database", "attempts_per_second", "count", attempts / played / point.shape.databases);
  out.row("database", "attempts_per_second_most", "count", most / played);
  const double brokers = point.shape.brokers;
  const auto per_broker = [&](std::size_t to, std::size_t from) {
    return (static_cast<double>(to) - static_cast<double>(from)) / brokers;
  };
  out.row("control", "memory_bytes", "bytes", per_broker(built.bytes, before.bytes));
  out.row("control", "state_entries", "count", per_broker(built.blocks, before.blocks));
  out.row("broker", "memory_bytes", "bytes", per_broker(after.bytes, before.bytes));
  out.row("broker", "state_entries", "count", per_broker(after.blocks, before.blocks));
  out.row("broker", "memory_growth_bytes", "bytes", per_broker(after.bytes, warm.bytes));
  out.load();
  std::printf(
      "%-18s %-10s %6g play %u: control %6.0f us/s (tick %.2f us), data %7.0f us/s, %.0f B/s told, %.2f MB\n",
      point.suite.c_str(), point.axis.c_str(), point.x, number, tick + datagram + list,
      each(costs.tick, n_steps, n_steps * measured), data, a_second(now.bytes_sent, then.bytes_sent),
      per_broker(after.bytes, before.bytes) / 1e6);
  std::fflush(stdout);
}

// So many databases are gone in one event of the change log, as with a zone, under a load that the others
// bear; a second later they are back. What was under way at them is answered all the same.
void zone_lost(unsigned lost, unsigned number, Results& out) {
  static constexpr unsigned kMeasured = 4;
  Shape shape;
  shape.brokers = 50;
  HollowFleet fleet(shape, kMeasured, 3140, 40, 104729ULL * number + lost);
  fleet.run(750ms);
  const auto event = [&](policy::EngineState state) {
    core::EndpointUpdate all;
    all.from_change_log = true;
    for (unsigned n = 0; n < lost; ++n) all.endpoints.push_back(fleet.delta(n, state).endpoints.front());
    fleet.costs = {};
    const auto before = fleet.measured();
    fleet.change(all);
    const double at_once = us(fleet.costs.list) / kMeasured;
    fleet.run(1s);
    const auto after = fleet.measured();
    const char* const role = state == policy::EngineState::gone ? "lost" : "back";
    out.row(role, "list_event_each", "us", at_once);
    out.row(role, "control_processor_per_second", "us",
            (us(fleet.costs.tick) + us(fleet.costs.datagram)) / kMeasured);
    out.row(role, "data_processor_per_second", "us", us(fleet.costs.statement) / kMeasured);
    const auto each = [](std::uint64_t to, std::uint64_t from) {
      return static_cast<double>(to - from) / kMeasured;
    };
    out.row(role, "served_per_second", "count", each(after.served, before.served));
    out.row(role, "refused_per_second", "count", each(after.refused, before.refused));
    out.row(role, "failed_per_second", "count", each(after.failed, before.failed));
    out.row(role, "bytes_sent_per_second", "bytes", each(after.bytes_sent, before.bytes_sent));
    std::printf("%-18s %-10s %6u play %u: %s: event %.0f us, served %.0f/s, refused %.0f/s\n", "zone_lost",
                "databases", lost, number, role, at_once, each(after.served, before.served),
                each(after.refused, before.refused));
  };
  out.at("zone_lost", "databases", lost, number);
  event(policy::EngineState::gone);
  event(policy::EngineState::ready);
  out.load();
}

// The change log is away, and comes back to all callers: calls in the worst second, by the program's own
// back-off. Each call that fails does so at once, and each that does not is a long poll.
void return_of_the_change_log(unsigned callers, unsigned number, Results& out) {
  constexpr Time kTurn = core::Reducer::kTick, kAway = 60s, kAfter = 10s, kHold = 1s;
  std::mt19937_64 random(number * 31ULL + callers);
  struct Caller {
    net::Backoff backoff;
    Time next;
  };
  std::vector<Caller> all;
  for (unsigned i = 0; i < callers; ++i)
    all.push_back(
        {net::Backoff(100ms, 800ms, random()), Time(static_cast<std::int64_t>(random() % 1'000'000'000))});
  std::vector<std::size_t> calls(static_cast<std::size_t>((kAway + kAfter) / kTurn));
  for (std::size_t turn = 0; turn < calls.size(); ++turn) {
    const auto now = static_cast<std::int64_t>(turn) * kTurn;
    for (auto& caller : all) {
      if (caller.next > now) continue;
      ++calls[turn];
      if (now < kAway) {
        caller.next = now + caller.backoff.next_delay();
      } else {
        caller.backoff.reset();
        caller.next = now + kHold;
      }
    }
  }
  constexpr std::size_t kSecond = 1s / kTurn;
  const auto worst = [&](Time from, Time to) {
    std::size_t most = 0, sum = 0;
    const auto first = static_cast<std::size_t>(from / kTurn), last = static_cast<std::size_t>(to / kTurn);
    for (std::size_t i = first; i < last; ++i) {
      sum += calls[i];
      if (i >= first + kSecond) sum -= calls[i - kSecond];
      most = std::max(most, sum);
    }
    return static_cast<double>(most);
  };
  out.at("change_log_return", "brokers", callers, number);
  out.row("changelog", "calls_worst_second_away", "count", worst(0s, kAway));
  out.row("changelog", "calls_worst_second_back", "count", worst(kAway - 1s, kAway + kAfter));
  std::size_t late = 0;
  for (const auto& caller : all) late += caller.next < kAway ? 1 : 0;
  out.row("changelog", "not_back_after_10s", "count", static_cast<double>(late));
}

}  // namespace

void hollow_slopes(const Options& options, Results& out) {
  const Time span = options.quick ? 500ms : 1s;
  using Sizes = std::vector<unsigned>;
  const auto axis = [&](unsigned number, const Point& like, const Sizes& sizes, auto set) {
    for (const auto size : sizes) {
      auto p = like;
      p.x = size;
      set(p, size);
      if (number == 1 && size == sizes.front()) {
        out.at(p.suite, "fixed", 0, 0);
        if (p.axis != "brokers") out.fixed("brokers", "count", p.shape.brokers);
        if (p.axis != "databases") out.fixed("databases", "count", p.shape.databases);
        if (p.axis != "zones") out.fixed("zones", "count", p.shape.zones);
        if (p.axis != "statements") out.fixed("statements", "count", p.rate);
        out.fixed("statements_of_other_brokers", "count", p.other_rate);
        out.fixed("list_events_per_second", "count", 4);
        out.fixed("simulated_seconds", "count", std::chrono::duration<double>(span).count());
      }
      play(p, number, span, out);
    }
  };
  Shape fifty;
  fifty.brokers = 50;
  for (unsigned number = 1; number <= options.plays; ++number) {
    axis(number, {"hollow_brokers", "brokers", 0, {}, 3140, 40},
         options.quick ? Sizes{10, 50, 200, 700} : Sizes{10, 50, 200, 700, 1024},
         [](Point& p, unsigned size) { p.shape.brokers = size; });
    // A rate that eight databases bear.
    axis(number, {"hollow_databases", "databases", 0, fifty, 1000, 4}, {8, 80, 300, 770, 1024},
         [](Point& p, unsigned size) { p.shape.databases = size; });
    axis(number, {"hollow_statements", "statements", 0, fifty, 0, 40}, {0, 400, 1000, 3140, 6280},
         [](Point& p, unsigned size) { p.rate = size; });
    axis(number, {"hollow_zones", "zones", 0, fifty, 3140, 40}, {1, 2, 4, 8, 16},
         [](Point& p, unsigned size) { p.shape.zones = size; });
    if (!options.quick) {
      for (const unsigned lost : {1U, 10U, 48U, 97U, 193U}) zone_lost(lost, number, out);
    }
    for (const unsigned callers : {10U, 100U, 350U, 700U, 1024U})
      return_of_the_change_log(callers, number, out);
  }
  out.at("zone_lost", "fixed", 0, 0);
  out.fixed("brokers", "count", 50);
  out.fixed("databases", "count", 770);
  out.fixed("statements", "count", 3140);
  out.fixed("statements_of_other_brokers", "count", 40);
  rusage used{};
  ::getrusage(RUSAGE_SELF, &used);
  out.at("hollow_brokers", "fixed", 0, 0);
  out.fixed("resident_most_of_rig", "bytes", static_cast<double>(used.ru_maxrss) * 1024);
}

}  // namespace bellstair::scale
