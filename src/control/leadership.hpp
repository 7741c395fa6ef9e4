// Which leader a control node obeys, and whether it is the leader itself.
#pragma once

#include <optional>
#include <string>

#include "control/node_effects.hpp"
#include "control/persist_error.hpp"

namespace bellstair::control {

// What observing a term has shown.
enum class TermCheck {
  accepted,  // the newest known, maybe only now
  stale,     // a newer one is known
  conflict,  // another leader of the newest epoch is known
};

// "epoch 3 of c1", for logs and reasons.
[[nodiscard]] std::string describe(const LeaderTerm& term);

// A newer term is obeyed as soon as it is observed, but told to others only once it is persisted. The node
// leads only where the newest observed term names it, is persisted, and is that of its own operator's file.
class Leadership {
 public:
  // Between attempts to persist a term.
  static constexpr Time kPersistRetryInterval = std::chrono::seconds(1);

  // `configured`: the term in the operator's file; observe_configured() takes it up.
  Leadership(std::string node, LeaderTerm configured, LeaderTerm persisted);

  // `source`: who knows of the term, for the log.
  TermCheck observe(const LeaderTerm& term, const std::string& source, NodeEffects& out);
  TermCheck observe_configured(NodeEffects& out);
  // The operator's file has been read again; a stale or conflicting term leaves the one before.
  void reconfigure(const LeaderTerm& term, NodeEffects& out);
  // A peer holds a version. One of this node's own epoch that is above its committed one proves that its
  // disk was lost: it does not lead that epoch any more.
  void check_lost_version(VersionId held, VersionId committed, const std::string& peer, NodeEffects& out);

  // False: it is not the term whose persisting is under way. Without an error it is durable.
  bool on_persisted(Time now, const LeaderTerm& term, const std::optional<PersistError>& error,
                    NodeEffects& out);
  // Asks again to persist what has failed.
  void retry_persist(Time now, NodeEffects& out);
  // The effect that asked for it was dropped; retry_persist() asks again.
  void cancel_persist() { persisting_.reset(); }
  // Logs the node's role if it has changed.
  void log_role(NodeEffects& out);

  // The node to follow, by name; none: no term is known, or it is this node.
  [[nodiscard]] std::optional<std::string> upstream() const;
  [[nodiscard]] bool is_leader() const { return !why_not_leader(); }
  // As operators read it; none: it leads.
  [[nodiscard]] std::optional<std::string> why_not_leader() const;
  [[nodiscard]] const LeaderTerm& persisted() const { return persisted_; }
  [[nodiscard]] const LeaderTerm& observed() const { return observed_; }
  // Whether the newest observed term is durable.
  [[nodiscard]] bool is_settled() const { return persisted_ == observed_; }

 private:
  void persist(NodeEffects& out);
  [[nodiscard]] std::string role() const;

  std::string node_;
  LeaderTerm configured_;
  LeaderTerm persisted_;
  LeaderTerm observed_;
  std::optional<LeaderTerm> persisting_;
  Time retry_at_ = Time::min();
  std::optional<VersionId> lost_version_;  // published by this node, held by a peer, not on its disk
  std::string logged_role_;
};

}  // namespace bellstair::control
