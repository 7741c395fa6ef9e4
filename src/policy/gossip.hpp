// Gossip between brokers: each broker sends the others its own load and what it knows about engines.
#pragma once

#include "policy/class_table.hpp"
#include "policy/context.hpp"
#include "policy/fleet.hpp"
#include "policy/gossip_codec.hpp"
#include "policy/latency_monitor.hpp"
#include "policy/load_estimator.hpp"

namespace bellstair::policy {

/// In a small deployment, each broker broadcasts its own threads by engine. In a large one, it sends its
/// newest load reports to a few random brokers; if reports have no load, latency ratios of the last answers
/// instead.
class Gossip {
 public:
  Gossip(Context& context, Fleet& fleet, const ClassTable& classes, LoadEstimator& load)
      : context_(context), fleet_(fleet), classes_(classes), load_(load) {}

  /// Starts the send interval, in the first call of this process.
  void begin() { sent_at_ = context_.now; }
  /// Records that a request has arrived, which adds to the budget of bytes.
  void record_request();
  /// Adds the elapsed time to the average of this broker's threads.
  void advance(double elapsed_seconds);

  /// Sends messages if the send interval has passed.
  void send();
  /// Processes a message of another broker. Ignores malformed messages.
  void receive(const GossipMessage& message);

 private:
  void send_own_threads() const;
  void send_reports();
  [[nodiscard]] GossipPayload report_payload();
  void receive_reports(const GossipPayload& payload);
  void receive_report(const GossipEntry& entry);

  Context& context_;
  Fleet& fleet_;
  const ClassTable& classes_;
  LoadEstimator& load_;
  Time sent_at_{};
  double budget_bytes_ = 0;
  double unsent_thread_seconds_ = 0;  // since the last reports
  double unsent_seconds_ = 0;         // since the last reports
};

}  // namespace bellstair::policy
