// Gossip between brokers: what each tells the others of its load and of engines.
#pragma once

#include "policy/class_table.hpp"
#include "policy/context.hpp"
#include "policy/fleet.hpp"
#include "policy/gossip_codec.hpp"
#include "policy/latency_monitor.hpp"
#include "policy/load_estimator.hpp"

namespace bellstair::policy {

/// Few brokers send all others their own threads by engine; many send a few others their newest reports.
/// Where reports don't tell load, latency ratios of the last answers are sent in their place.
class Gossip {
 public:
  Gossip(Context& context, Fleet& fleet, const ClassTable& classes, LoadEstimator& load)
      : context_(context), fleet_(fleet), classes_(classes), load_(load) {}

  /// The first call of this process.
  void begin() { sent_at_ = context_.now; }
  /// A request has arrived: it adds to the budget of bytes.
  void record_request();
  /// Time passes, with this broker's threads as they are.
  void advance(double elapsed_seconds);

  /// Sends what is due.
  void send();
  /// Malformed messages are ignored.
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
