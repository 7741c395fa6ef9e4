// A control node's copy of the newest versions: the committed one, the one being persisted, and a pending one
// that is persisted next.
#pragma once

#include <optional>
#include <string>

#include "control/node_effects.hpp"

namespace bellstair::control {

// Only a committed version, that is one on disk, is served to other processes.
class Replica {
 public:
  // Delay between attempts to persist a version from the leader.
  static constexpr Time kPersistRetryInterval = std::chrono::seconds(1);

  explicit Replica(std::optional<Version> committed);

  // Persists a version from the leader, now or after the one being persisted; ignores it if it is not newer
  // than the versions already here.
  void replicate(Version version, NodeEffects& out);
  // Persists a version that this node publishes as leader on request of a tool's connection. Must not be
  // called while is_persisting().
  void publish(Version version, PeerId tool, NodeEffects& out);

  // The completion of a persist.
  struct Finished {
    PeerId tool = 0;  // the connection that waits for the answer; 0: none, or it is closed
  };
  // Returns nothing if `version` is not the one being persisted. On success the version is committed; on
  // failure a version from the leader stays pending for a retry.
  std::optional<Finished> on_persisted(Time now, const Version& version, bool failed);
  // Persists the pending version, if there is one.
  void persist_pending(NodeEffects& out);
  void retry_persist(Time now, NodeEffects& out);
  void remove_tool(PeerId tool);

  [[nodiscard]] const std::optional<Version>& committed() const { return committed_; }
  [[nodiscard]] VersionId committed_id() const { return committed_ ? committed_->id : VersionId{}; }
  // The committed version as an encoded message; empty if there is none.
  [[nodiscard]] const std::string& update_body() const { return update_body_; }
  [[nodiscard]] bool is_persisting() const { return persisting_.has_value(); }

 private:
  void persist(Version version, PeerId tool, NodeEffects& out);
  void commit(const Version& version);

  std::optional<Version> committed_;
  std::string update_body_;
  std::optional<Version> persisting_;
  PeerId tool_ = 0;                 // waits for the version being persisted; 0: none
  bool published_here_ = false;     // whether this node published the version being persisted
  std::optional<Version> pending_;  // from the leader, persisted next
  Time retry_at_ = Time::min();
};

}  // namespace bellstair::control
