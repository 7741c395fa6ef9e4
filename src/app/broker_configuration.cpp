// Applies versions of the settings from the control nodes, and reloads the broker's own files on SIGHUP.
#include <memory>

#include "app/broker.hpp"
#include "app/configuration_reload.hpp"

namespace bellstair::app {

// ---- versions from the control nodes

// Handles pending events first: they hold positions of tenants in the active settings.
void Broker::apply_version(const control::Version& version) {
  handle_events();
  core::SettingsOffered offered;
  try {
    offered = parse_version(version);
  } catch (const std::exception& error) {
    return control_->report_apply_result(version, error.what());
  }
  version_being_applied_ = &version;
  post(std::move(offered));
  handle_events();
  version_being_applied_ = nullptr;
}

core::SettingsOffered Broker::parse_version(const control::Version& version) const {
  const auto label = "version " + control::to_text(version.id);
  auto document = config::parse_document(version.text, label, config_.names.class_names);
  const auto tenants_in_use = reducer_.referenced_tenants();
  const config::Overlay active{config_.settings, config_.names, config_.changelog};
  auto overlay = config::overlay(platform_overlay_, active, document,
                                 [&](std::uint32_t slot) { return tenants_in_use.contains(slot); });
  core::SettingsOffered offered;
  offered.epoch = version.id.epoch;
  offered.number = version.id.number;
  offered.settings = std::move(overlay.settings);
  offered.changelog = std::move(document.changelog).value_or("");
  offered.names = std::make_shared<const config::Names>(std::move(overlay.names));
  return offered;
}

void Broker::run(core::SettingsApplied& effect) {
  ++versions_applied_;
  config_.settings = std::move(effect.settings);
  config_.names = *static_cast<const config::Names*>(effect.names.get());
  config_.changelog = std::move(effect.changelog);
  runner_.set_names(names_of(config_.settings));
  change_log_.set_address(config_.changelog);
  control_->report_apply_result(*version_being_applied_, {});
}

void Broker::run(const core::SettingsRejected& effect) {
  control_->report_apply_result(*version_being_applied_, effect.problem);
}

// ---- the broker's own files

// Loads and tries scripts on a worker thread. The thread works on copies, since a version of the settings may
// become active meanwhile.
void Broker::run(const core::ReadConfiguration&) {
  ReloadSource source{file_, fronts_file_, &config_, &fronts_, config_.names, runner_.names()};
  // The platform's own tenants keep their positions, even while a version does not name them.
  source.names.tenants.insert(platform_overlay_.names.tenants.begin(), platform_overlay_.names.tenants.end());
  const net::Worker::Work work = [this, source = std::move(source), applied_before = versions_applied_] {
    const auto reloaded = std::make_shared<ReloadedConfiguration>(reload_configuration(source));
    return [this, reloaded, applied_before] {
      on_configuration_read(std::move(reloaded->read), reloaded->hooks, applied_before);
    };
  };
  if (fronts_file_.empty()) return work()();
  runner_.run_in_background(work);
}

void Broker::on_configuration_read(core::ConfigurationRead read, hooks::LoadResult& loaded,
                                   std::uint64_t versions_applied_before) {
  // Reads the files again if a version was applied meanwhile: the position of a tenant that a hook names may
  // now belong to another tenant.
  if (versions_applied_before != versions_applied_) return post(core::ReloadRequested{});
  if (read.problem.empty()) {
    platform_overlay_.changelog = read.changelog;
    runner_.install(loaded);
  }
  post(std::move(read));
}

}  // namespace bellstair::app
