#include "control/replica.hpp"

#include <utility>

namespace bellstair::control {

Replica::Replica(std::optional<Version> committed) {
  if (committed) commit(*committed);
}

void Replica::commit(const Version& version) {
  committed_ = version;
  update_body_ = encode(VersionUpdate{version});
}

void Replica::replicate(Version version, NodeEffects& out) {
  const auto is_not_newer_than = [&version](const std::optional<Version>& other) {
    return other && version.id <= other->id;
  };
  if (is_not_newer_than(committed_) || is_not_newer_than(pending_) || is_not_newer_than(persisting_)) return;
  if (persisting_) {
    pending_ = std::move(version);
    return;
  }
  pending_.reset();
  persist(std::move(version), 0, out);
}

void Replica::publish(Version version, PeerId tool, NodeEffects& out) {
  persist(std::move(version), tool, out);
}

void Replica::persist(Version version, PeerId tool, NodeEffects& out) {
  persisting_ = std::move(version);
  tool_ = tool;
  published_here_ = tool != 0;
  out.emplace_back(PersistVersion{*persisting_});
}

std::optional<Replica::Finished> Replica::on_persisted(Time now, const Version& version, bool failed) {
  if (!persisting_ || persisting_->id != version.id) return std::nullopt;
  persisting_.reset();
  const Finished finished{std::exchange(tool_, 0)};
  if (!failed) {
    commit(version);
    return finished;
  }
  if (!published_here_ && (!pending_ || pending_->id < version.id)) pending_ = version;
  retry_at_ = now + kPersistRetryInterval;
  return finished;
}

void Replica::persist_pending(NodeEffects& out) {
  if (!pending_) return;
  Version version = std::move(*pending_);
  pending_.reset();
  if (!committed_ || version.id > committed_->id) persist(std::move(version), 0, out);
}

void Replica::retry_persist(Time now, NodeEffects& out) {
  if (!persisting_ && now >= retry_at_) persist_pending(out);
}

void Replica::remove_tool(PeerId tool) {
  if (tool_ == tool) tool_ = 0;
}

}  // namespace bellstair::control
