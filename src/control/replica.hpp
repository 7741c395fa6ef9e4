// A control node's copy of the newest version: the committed one, the one on its way to disk, and the one
// that waits for it.
#pragma once

#include <optional>
#include <string>

#include "control/node_effects.hpp"

namespace bellstair::control {

// Only what is committed, which is to say on disk, is served to others.
class Replica {
 public:
  // Between attempts to persist a version from the leader.
  static constexpr Time kPersistRetryInterval = std::chrono::seconds(1);

  explicit Replica(std::optional<Version> committed);

  // From the leader: persisted now or after the one under way, unless it is not newer than what is here.
  void replicate(Version version, NodeEffects& out);
  // By this node as leader, on behalf of a tool's connection; not while is_persisting().
  void publish(Version version, PeerId tool, NodeEffects& out);

  // How a persist that was under way has ended.
  struct Finished {
    PeerId tool = 0;  // waits for the answer; 0: none does, or it has gone
  };
  // None: it is not the version that is being persisted. Without failure it is committed; one from the
  // leader that has failed is kept for a retry.
  std::optional<Finished> on_persisted(Time now, const Version& version, bool failed);
  // The one that waited for the last is next.
  void persist_pending(NodeEffects& out);
  void retry_persist(Time now, NodeEffects& out);
  void forget_tool(PeerId tool);

  [[nodiscard]] const std::optional<Version>& committed() const { return committed_; }
  [[nodiscard]] VersionId committed_id() const { return committed_ ? committed_->id : VersionId{}; }
  // The committed version as a message; empty without one.
  [[nodiscard]] const std::string& update_body() const { return update_body_; }
  [[nodiscard]] bool is_persisting() const { return persisting_.has_value(); }

 private:
  void persist(Version version, PeerId tool, NodeEffects& out);
  void commit(const Version& version);

  std::optional<Version> committed_;
  std::string update_body_;
  std::optional<Version> persisting_;
  PeerId tool_ = 0;                 // that waits for the one being persisted
  bool published_here_ = false;     // the one being persisted
  std::optional<Version> pending_;  // from the leader
  Time retry_at_ = Time::min();
};

}  // namespace bellstair::control
