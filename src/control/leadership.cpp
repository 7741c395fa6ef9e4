#include "control/leadership.hpp"

namespace bellstair::control {
namespace {

constexpr const char* kOperatorsFile = "the operator's file";

}  // namespace

std::string describe(const LeaderTerm& term) {
  return "epoch " + std::to_string(term.epoch) + " of " + (term.leader.empty() ? "no leader" : term.leader);
}

Leadership::Leadership(std::string node, LeaderTerm configured, LeaderTerm persisted)
    : node_(std::move(node)),
      configured_(std::move(configured)),
      persisted_(std::move(persisted)),
      observed_(persisted_) {}

TermCheck Leadership::observe(const LeaderTerm& term, const std::string& source, NodeEffects& out) {
  if (term.epoch < observed_.epoch || term.epoch == 0) return TermCheck::stale;
  if (term.epoch == observed_.epoch) {
    if (term.leader == observed_.leader) return TermCheck::accepted;
    log_line(out, node_,
             "epoch " + std::to_string(term.epoch) + " has " + observed_.leader + " as its leader; " +
                 source + " names " + term.leader +
                 ", which is rejected: to change the leader, raise the epoch in the operator's file");
    return TermCheck::conflict;
  }
  observed_ = term;
  persist(out);
  return TermCheck::accepted;
}

TermCheck Leadership::observe_configured(NodeEffects& out) {
  const auto check = observe(configured_, kOperatorsFile, out);
  if (check == TermCheck::stale)
    log_line(out, node_,
             std::string(kOperatorsFile) + " names " + describe(configured_) + ", but " +
                 describe(observed_) + " is known");
  return check;
}

void Leadership::reconfigure(const LeaderTerm& term, NodeEffects& out) {
  const auto check = observe(term, kOperatorsFile, out);
  if (check == TermCheck::stale)
    log_line(out, node_,
             std::string(kOperatorsFile) + " names " + describe(term) +
                 ", which is rejected: " + describe(observed_) + " is known");
  if (check == TermCheck::accepted) configured_ = term;
}

void Leadership::check_lost_version(VersionId held, VersionId committed, const std::string& peer,
                                    NodeEffects& out) {
  if (observed_.leader != node_ || held.epoch != observed_.epoch || held <= committed) return;
  if (lost_version_ && *lost_version_ >= held) return;
  lost_version_ = held;
  log_line(out, node_, peer + " has version " + to_text(held) + ", which is missing from this node's disk");
}

void Leadership::persist(NodeEffects& out) {
  if (persisting_ || is_persisted()) return;
  persisting_ = observed_;
  out.emplace_back(PersistTerm{observed_});
}

bool Leadership::on_persisted(Time now, const LeaderTerm& term, const std::optional<PersistError>& error,
                              NodeEffects& out) {
  if (!persisting_ || *persisting_ != term) return false;
  persisting_.reset();
  if (error) {
    log_line(out, node_, describe(term) + " could not be persisted: " + error->what());
    retry_at_ = now + kPersistRetryInterval;
    return true;
  }
  persisted_ = term;
  persist(out);
  return true;
}

void Leadership::retry_persist(Time now, NodeEffects& out) {
  if (now >= retry_at_) persist(out);
}

std::optional<std::string> Leadership::upstream() const {
  if (observed_.epoch == 0 || observed_.leader == node_) return std::nullopt;
  return observed_.leader;
}

std::optional<std::string> Leadership::why_not_leader() const {
  if (observed_.epoch == 0) return "no epoch is known";
  if (observed_.leader != node_)
    return "the leader is " + observed_.leader + ", epoch " + std::to_string(observed_.epoch);
  if (configured_ != observed_)
    return describe(observed_) + " is known, but this node's operator's file names " + describe(configured_);
  if (!is_persisted()) return "epoch " + std::to_string(observed_.epoch) + " is not persisted yet";
  if (lost_version_ && lost_version_->epoch == observed_.epoch)
    return "version " + to_text(*lost_version_) +
           " of its own epoch exists elsewhere but not on its disk, which must have been lost: name a leader "
           "with a higher epoch in the operator's file";
  return std::nullopt;
}

std::string Leadership::role() const {
  const auto why_not = why_not_leader();
  if (!why_not) return "is the leader, epoch " + std::to_string(persisted_.epoch);
  if (persisted_.leader == node_) return "is not the leader: " + *why_not;
  if (persisted_.epoch != 0)
    return "follows " + persisted_.leader + ", epoch " + std::to_string(persisted_.epoch);
  return {};
}

void Leadership::log_role(NodeEffects& out) {
  if (!is_persisted()) return;
  auto line = role();
  if (line.empty() || line == logged_role_) return;
  logged_role_ = std::move(line);
  log_line(out, node_, logged_role_);
}

}  // namespace bellstair::control
