// Links between processes, as relays of the tests' own on loopback sockets. Each has the address that one
// process dials another by, and can be cut, held in one direction or in both, delayed, reset and healed.
#pragma once

#include <ev++.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <future>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "net/listener.hpp"
#include "net/socket.hpp"
#include "net/stream.hpp"

namespace bellstair::test {

enum class Way { up, down };  // from who has dialled, and to it

// All of it belongs to the loop's thread; others go by way of Network.
class Link {
 public:
  explicit Link(ev::loop_ref loop)
      : loop_(loop), fd_(net::listen_tcp(net::parse_address("127.0.0.1:0").value())), timer_(loop) {
    if (!fd_) throw std::runtime_error("cannot listen");
    address_ = net::local_address(fd_.get());
    listener_ = std::make_unique<net::Listener>(loop, std::move(fd_),
                                                [this](net::Fd fd, net::Time) { accept(std::move(fd)); });
    timer_.set<Link, &Link::on_timer>(this);
  }

  [[nodiscard]] const std::string& address() const { return address_; }
  // Where later connections go; "": they are reset.
  void to(const std::string& target) { target_ = target; }
  // As a switch that says no: what is open is reset, and so is what comes.
  void cut() {
    cut_ = true;
    reset();
  }
  // As a cable that is out: nothing passes this way, not even an end, and nobody is told. What was sent
  // passes once it is healed, as TCP would send it again. A new connection is taken, and held.
  void hold(Way way, bool on = true) {
    held_[at(way)] = on;
    for (auto& pair : pairs_) go_on(*pair);
  }
  void silence() {
    hold(Way::up);
    hold(Way::down);
  }
  void delay(std::chrono::nanoseconds by) { delay_ = by; }
  void reset() {
    for (auto& pair : pairs_) lose(*pair);
    sweep();
  }
  void heal() {
    cut_ = false;
    delay_ = {};
    hold(Way::up, false);
    hold(Way::down, false);
  }
  [[nodiscard]] std::size_t open() {
    sweep();
    return pairs_.size();
  }
  [[nodiscard]] std::uint64_t accepted() const { return accepted_; }
  [[nodiscard]] std::uint64_t bytes(Way way) const { return bytes_[at(way)]; }  // that have come to it

 private:
  using Clock = std::chrono::steady_clock;
  static constexpr std::size_t kFull = std::size_t{256} << 10;  // then its sender is not read
  static constexpr std::size_t kMost = std::size_t{64} << 20;

  struct Side {
    std::unique_ptr<net::Stream> stream;
    bool ended = false;                                        // what it writes is over
    bool told = false;                                         // and the other side knows
    std::deque<std::pair<Clock::time_point, std::string>> on;  // of its bytes, those under way
  };
  struct Pair {
    Side sides[2];  // who has dialled, and whom
    bool dead = false;
  };

  static std::size_t at(Way way) { return way == Way::up ? 0 : 1; }

  void accept(net::Fd fd) {
    sweep();
    ++accepted_;
    auto& pair = *pairs_.emplace_back(std::make_unique<Pair>());
    adopt(pair, 0, std::move(fd), false);
    if (cut_ || target_.empty()) return lose(pair);
    go_on(pair);
  }

  void adopt(Pair& pair, std::size_t which, net::Fd fd, bool dialling) {
    auto& side = pair.sides[which];
    side.stream = std::make_unique<net::Stream>(loop_, std::move(fd), dialling, kMost);
    side.stream->handle({
        .connected = [this, &pair] { go_on(pair); },
        .data =
            [this, &pair, which](std::string_view bytes) {
              bytes_[which] += bytes.size();
              pair.sides[which].on.emplace_back(Clock::now() + delay_, bytes);
              go_on(pair);
            },
        .ended =
            [this, &pair, which] {
              pair.sides[which].ended = true;
              go_on(pair);
            },
        .closed = [this, &pair] { lose(pair); },
        .drained = [this, &pair] { go_on(pair); },
    });
  }

  // Whatever may pass now, passes.
  void go_on(Pair& pair) {
    if (pair.dead) return;
    if (!pair.sides[1].stream && !held_[0]) {
      const auto to = net::parse_address(target_);
      auto fd = to ? net::begin_connect(*to) : net::Fd();
      if (!fd) return lose(pair);
      adopt(pair, 1, std::move(fd), true);
    }
    const bool up = pair.sides[1].stream && !pair.sides[1].stream->connecting();
    for (std::size_t i = 0; i < 2; ++i) {
      auto& from = pair.sides[i];
      auto& to = pair.sides[1 - i];
      const bool flows = up && !held_[i];
      if (from.stream)
        from.stream->pause(!flows || from.on.size() > 256 || to.stream->unsent_bytes() > kFull);
      if (!flows) continue;
      const auto now = Clock::now();
      while (!from.on.empty() && from.on.front().first <= now) {
        (void)to.stream->write(from.on.front().second);
        from.on.pop_front();
      }
      if (!from.on.empty()) {
        if (!timer_.is_active())
          timer_.start(std::chrono::duration<double>(from.on.front().first - now).count(), 0);
      } else if (from.ended && !std::exchange(from.told, true)) {
        to.stream->finish();
      }
    }
    const auto over = [](const Side& side) { return side.told && side.stream->unsent_bytes() == 0; };
    if (over(pair.sides[0]) && over(pair.sides[1])) {
      for (auto& side : pair.sides) side.stream->close();
      pair.dead = true;
    }
  }

  void lose(Pair& pair) {
    for (auto& side : pair.sides) {
      if (side.stream) side.stream->abort();
    }
    pair.dead = true;
  }

  // Not from within a handler of theirs.
  void sweep() {
    std::erase_if(pairs_, [](const auto& pair) { return pair->dead; });
  }

  void on_timer(ev::timer&, int) {
    sweep();
    for (auto& pair : pairs_) go_on(*pair);
  }

  ev::loop_ref loop_;
  net::Fd fd_;
  std::string address_, target_;
  std::unique_ptr<net::Listener> listener_;
  std::list<std::unique_ptr<Pair>> pairs_;
  ev::timer timer_;
  bool cut_ = false;
  bool held_[2] = {false, false};
  std::chrono::nanoseconds delay_{};
  std::uint64_t accepted_ = 0, bytes_[2] = {0, 0};
};

// Links by who dials and who is dialled, in a thread of their own. net::Stream reads by one buffer of the
// process: nothing else of it may use one beside this.
class Network {
 public:
  Network() : loop_(ev::AUTO), wake_(loop_) {
    wake_.set<Network, &Network::on_wake>(this);
    wake_.start();
    thread_ = std::thread([this] { loop_.run(0); });
  }
  ~Network() {
    run([this] {
      links_.clear();
      wake_.stop();
      loop_.break_loop(ev::ALL);
    });
    thread_.join();
  }

  // In the loop's thread; returns once it is done.
  void run(std::function<void()> what) {
    std::packaged_task<void()> task(std::move(what));
    auto done = task.get_future();
    {
      const std::lock_guard lock(mutex_);
      tasks_.push_back(std::move(task));
    }
    wake_.send();
    done.get();
  }
  // The address by which `from` dials `to`; the link is made where there is none.
  std::string address(const std::string& from, const std::string& to) {
    std::string out;
    run([&] { out = link(from, to).address(); });
    return out;
  }
  // Where all links to `name` end.
  void set_target(const std::string& name, const std::string& address) {
    run([&] {
      places_[name] = address;
      for (auto& [ends, link] : links_) {
        if (ends.second == name) link->to(address);
      }
    });
  }
  void with(const std::string& from, const std::string& to, const std::function<void(Link&)>& what) {
    run([&] { what(link(from, to)); });
  }
  // All links that `ends` picks by their two names.
  using Ends = std::function<bool(const std::string& from, const std::string& to)>;
  void each(const Ends& ends, const std::function<void(Link&)>& what) {
    run([&] {
      for (auto& [names, link] : links_) {
        if (ends(names.first, names.second)) what(*link);
      }
    });
  }
  void heal() {
    each([](auto&, auto&) { return true; }, [](Link& link) { link.heal(); });
  }

 private:
  Link& link(const std::string& from, const std::string& to) {
    auto& out = links_[{from, to}];
    if (!out) {
      out = std::make_unique<Link>(loop_);
      out->to(places_[to]);
    }
    return *out;
  }
  void on_wake(ev::async&, int) {
    std::vector<std::packaged_task<void()>> tasks;
    {
      const std::lock_guard lock(mutex_);
      tasks.swap(tasks_);
    }
    for (auto& task : tasks) task();
  }

  ev::dynamic_loop loop_;
  ev::async wake_;
  std::mutex mutex_;
  std::vector<std::packaged_task<void()>> tasks_;
  std::map<std::string, std::string> places_;
  std::map<std::pair<std::string, std::string>, std::unique_ptr<Link>> links_;
  std::thread thread_;
};

}  // namespace bellstair::test
