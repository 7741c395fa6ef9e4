// Implements `bellstair config publish`.
#include <algorithm>
#include <chrono>
#include <cstdio>

#include "app/config_commands.hpp"
#include "app/config_report.hpp"
#include "app/document_check.hpp"
#include "app/node_poller.hpp"
#include "config/config.hpp"

namespace bellstair::app::config_tool {
namespace {
using namespace std::chrono_literals;
using net::steady_now;

constexpr Time kFindLeaderTimeout = 4s;
constexpr Time kCommitTimeout = 10s;  // includes the write to the leader's disk

// Puts the file's name in place of kDocumentName, since a node does not receive the file's name.
std::string with_file_name(const std::string& errors, const std::string& file) {
  const std::string prefix = std::string(kDocumentName) + ':';
  std::string out;
  for (std::size_t from = 0; from < errors.size();) {
    const auto end = std::min(errors.find('\n', from), errors.size());
    auto line = errors.substr(from, end - from);
    if (line.starts_with(prefix)) line.replace(0, prefix.size() - 1, file);
    out += (out.empty() ? "" : "\n") + line;
    from = end + 1;
  }
  return out;
}

class Publication {
 public:
  Publication(ev::loop_ref loop, const config::Control& config, std::string document, std::string text,
              Time wait)
      : config_(config),
        document_(std::move(document)),
        text_(std::move(text)),
        wait_(wait),
        poller_(loop, config) {}

  int run() {
    started_at_ = steady_now();
    poller_.run([this] { return poller_.published() ? await_activation() : await_commit(); });
    return exit_status_;
  }

 private:
  // Each returns true once the outcome is known.
  bool await_commit();
  bool await_answer(const NodePoller::Node& leader, Time now);
  bool await_activation();
  bool finish(Outcome outcome, const std::string& reason);

  void fail_without_leader(const NodePoller::Node& leader);
  void on_committed(Time now);
  // Whether every reachable node has been polled since the commit.
  [[nodiscard]] bool all_polled_since_commit(Time now) const;
  void print_progress(const BrokerCount& count, bool all_polled);
  void print_result(const BrokerCount& count, Outcome outcome, Time now);
  [[nodiscard]] std::string version_name() const { return control::to_text(*poller_.published()); }

  const config::Control& config_;
  std::string document_, text_;
  Time wait_, started_at_{}, sent_at_{};
  NodePoller poller_;
  link::ChannelId sent_on_ = 0;  // 0: the document has not been sent
  std::optional<Time> committed_at_;
  std::string progress_, digest_;
  int exit_status_ = 0;
};

bool Publication::finish(Outcome outcome, const std::string& reason) {
  exit_status_ = fail(outcome, reason);
  return true;
}

bool Publication::await_commit() {
  const auto now = steady_now();
  const auto& leader = *poller_.find(config_.leader);
  if (const auto& rejection = poller_.rejection())
    return finish(Outcome::rejected,
                  "document rejected by " + config_.leader + ":\n" + with_file_name(*rejection, document_));
  if (sent_on_ != 0) return await_answer(leader, now);
  // A leader that was cut off from the other nodes still reports that it leads; the others report the newer
  // epoch.
  if (const auto newer = poller_.newer_term(config_.epoch))
    return finish(Outcome::unreachable, config_.leader + " is not the leader any more: " + *newer);
  if (leader.welcomed && leader.status && leader.status->is_leader && poller_.all_polled()) {
    sent_on_ = leader.channel;
    sent_at_ = now;
    poller_.publish(leader, text_);
    return false;
  }
  if (now - started_at_ < kFindLeaderTimeout) return false;
  fail_without_leader(leader);
  return true;
}

bool Publication::await_answer(const NodePoller::Node& leader, Time now) {
  if (leader.channel == sent_on_ && now - sent_at_ < kCommitTimeout) return false;
  return finish(Outcome::unreachable, config_.leader + " has not confirmed that it committed the document (" +
                                          (leader.error.empty() ? "no answer" : leader.error) +
                                          "): check with 'config status' whether it did");
}

void Publication::fail_without_leader(const NodePoller::Node& leader) {
  if (!leader.status) {
    exit_status_ =
        fail(Outcome::unreachable, "the leader, " + config_.leader + ", is " + leader.unreachable_reason());
    return;
  }
  const auto& term = leader.status->term;
  exit_status_ =
      fail(Outcome::unreachable, config_.leader + " does not lead: the newest epoch that it knows is " +
                                     std::to_string(term.epoch) + " with leader " + term.leader);
}

void Publication::on_committed(Time now) {
  committed_at_ = now;
  digest_ = control::compute_digest({*poller_.published(), config_.leader, "", text_});
  std::printf("%s: committed by %s after %s\n", version_name().c_str(), config_.leader.c_str(),
              show_milliseconds(now - sent_at_).c_str());
}

bool Publication::await_activation() {
  const auto now = steady_now();
  if (!committed_at_) on_committed(now);
  const auto id = *poller_.published();
  const auto brokers = poller_.brokers();
  const BrokerCount count(brokers, id, digest_);
  if (const auto newer = poller_.newer_term(id.epoch))
    return finish(Outcome::unreachable, version_name() + " will not become active at any broker: " + *newer);
  const bool all_polled = all_polled_since_commit(now);
  print_progress(count, all_polled);
  const bool timed_out = now - *committed_at_ >= wait_;
  if (!timed_out && (!all_polled || !count.behind.empty())) return false;
  const auto outcome = !count.rejecting.empty()               ? Outcome::rejected
                       : !count.behind.empty() || !all_polled ? Outcome::behind
                                                              : Outcome::done;
  print_result(count, outcome, now);
  exit_status_ = exit_status(outcome);
  return true;
}

bool Publication::all_polled_since_commit(Time now) const {
  return std::ranges::all_of(poller_.nodes(), [&](const auto& node) {
    const bool polled = node.status && node.welcomed && node.status_polled_at >= *committed_at_;
    const bool unreachable = !node.welcomed && !node.error.empty() &&
                             now - *committed_at_ >= NodePoller::kRedialInterval + NodePoller::kPollInterval;
    return polled || unreachable;
  });
}

void Publication::print_progress(const BrokerCount& count, bool all_polled) {
  const auto line = version_name() + ": active at " + std::to_string(count.active) + " of " +
                    std::to_string(count.connected) + " brokers";
  if (line == progress_ || (!all_polled && count.connected == 0)) return;
  progress_ = line;
  std::printf("%s\n", line.c_str());
  std::fflush(stdout);
}

void Publication::print_result(const BrokerCount& count, Outcome outcome, Time now) {
  const auto version = version_name();
  for (const auto& node : poller_.nodes()) {
    if (node.welcomed) continue;
    std::printf("%s: %s is %s; brokers that are connected only to it are not counted\n", version.c_str(),
                node.config.name.c_str(), node.unreachable_reason().c_str());
  }
  print_rejecting(count.rejecting);
  if (!count.behind.empty())
    std::printf("%s: behind: %s\n", version.c_str(), join(count.behind, show_behind).c_str());
  if (outcome == Outcome::done)
    std::printf("%s: active at all %zu connected brokers after %s\n", version.c_str(), count.connected,
                show_milliseconds(now - *committed_at_).c_str());
}

}  // namespace

int config_publish(const std::string& document, const std::string& file, core::Time wait) {
  const auto config = config::read_control(config::read_file(file, "operator's file"), file);
  auto text = config::read_file(document, "document");
  if (text.size() > control::kMaxDocumentBytes)
    return fail(Outcome::rejected,
                document + ":1:1: is longer than " + std::to_string(control::kMaxDocumentBytes) + " bytes");
  // Finds errors early if the operator's file lists the classes; the leader validates the document in any
  // case, against its own list.
  if (!config.classes.empty()) {
    if (const auto invalid = check_document(text, document, config.classes))
      return fail(Outcome::rejected, std::string("document rejected:\n") + invalid->what());
  }
  try {
    (void)control::encode(control::Publish{text});
  } catch (const control::MalformedMessage& error) {
    return fail(Outcome::rejected, document + ": " + error.what());
  }
  ev::default_loop loop(0);
  return Publication(loop, config, document, std::move(text), wait).run();
}

}  // namespace bellstair::app::config_tool
