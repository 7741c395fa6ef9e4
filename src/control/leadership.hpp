// Tracks which leader a control node follows, and whether the node is the leader itself.
#pragma once

#include <optional>
#include <string>

#include "control/node_effects.hpp"
#include "control/persist_error.hpp"

namespace bellstair::control {

// The result of observing a term.
enum class TermCheck {
  accepted,  // it is the newest known term, or has just become that
  stale,     // a newer term is known
  conflict,  // another leader of the newest epoch is known
};

// "epoch 3 of c1", for log lines and reasons.
[[nodiscard]] std::string describe(const LeaderTerm& term);

// A newer term takes effect as soon as it is observed, but is sent to other processes only once it is
// persisted. The node is the leader only if the newest observed term names it, is persisted, and equals the
// term in the node's own operator's file.
class Leadership {
 public:
  // Delay between attempts to persist a term.
  static constexpr Time kPersistRetryInterval = std::chrono::seconds(1);

  // `configured` is the term in the operator's file; it takes effect in observe_configured().
  Leadership(std::string node, LeaderTerm configured, LeaderTerm persisted);

  // `source` names the origin of the term in the log.
  TermCheck observe(const LeaderTerm& term, const std::string& source, NodeEffects& out);
  TermCheck observe_configured(NodeEffects& out);
  // Applies the operator's file after it was read again; a stale or conflicting term is rejected and the
  // previous one stays.
  void reconfigure(const LeaderTerm& term, NodeEffects& out);
  // Checks the version `held` by a peer. If it belongs to this node's own epoch and is newer than its
  // committed version, this node has lost its disk, and is no longer the leader of that epoch.
  void check_lost_version(VersionId held, VersionId committed, const std::string& peer, NodeEffects& out);

  // Returns false if `term` is not the one being persisted. Without an error the term is durable.
  bool on_persisted(Time now, const LeaderTerm& term, const std::optional<PersistError>& error,
                    NodeEffects& out);
  // Requests the persisting of a term again after a failure.
  void retry_persist(Time now, NodeEffects& out);
  // Called when the PersistTerm effect was discarded; retry_persist() then requests it again.
  void cancel_persist() { persisting_.reset(); }
  // Logs the node's role if it has changed.
  void log_role(NodeEffects& out);

  // The name of the node to follow; none if no term is known, or if it is this node.
  [[nodiscard]] std::optional<std::string> upstream() const;
  [[nodiscard]] bool is_leader() const { return !why_not_leader(); }
  // The reason, in words for operators; none if this node is the leader.
  [[nodiscard]] std::optional<std::string> why_not_leader() const;
  [[nodiscard]] const LeaderTerm& persisted() const { return persisted_; }
  [[nodiscard]] const LeaderTerm& observed() const { return observed_; }
  // Whether the newest observed term is durable.
  [[nodiscard]] bool is_persisted() const { return persisted_ == observed_; }

 private:
  void persist(NodeEffects& out);
  [[nodiscard]] std::string role() const;

  std::string node_;
  LeaderTerm configured_;
  LeaderTerm persisted_;
  LeaderTerm observed_;
  std::optional<LeaderTerm> persisting_;
  Time retry_at_ = Time::min();
  // Published by this node and held by a peer, but missing from this node's disk.
  std::optional<VersionId> lost_version_;
  std::string logged_role_;
};

}  // namespace bellstair::control
