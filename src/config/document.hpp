// Parses a document of the configuration, in HCL, as control nodes distribute it: the settings that may
// change in a running fleet. All other settings are those of the platform's own configuration, so that the
// active settings depend on one version alone.
//
//     changelog = "10.2.0.1:9092"
//     class "lookup" {
//       aim        = "400ms"
//       give_up    = "2s"
//       worth      = 1
//       late_share = 0.3
//     }
//     tenant "lycee-ennour" {      # a document that names a tenant must name all of them
//       share = 0.59
//       quota = 60                 # requests a second, over all brokers
//     }
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.hpp"
#include "hcl/value.hpp"

namespace bellstair::config {

struct Document {
  struct Class {
    std::string name;
    hcl::Position at;
    std::optional<core::Time> latency_objective, client_timeout;
    std::optional<double> priority_weight, late_weight;
  };
  struct Tenant {
    std::string name;
    double quota_fraction = 0;
    double quota_per_s = 0;  // requests a second, over all brokers
  };
  std::optional<std::string> changelog;
  std::vector<Class> classes;
  std::optional<std::vector<Tenant>> tenants;
};

// The settings that a version may change, as they are active at a broker: those of the configuration that the
// broker started with, changed by one document.
struct Overlay {
  policy::Settings settings;
  Names names;
  std::string changelog;
};

// Applies `document` to the configuration from the start. Classes keep their positions. Tenants keep theirs
// too ("slots"), since requests, hooks and the policy module refer to tenants by slot: a tenant that the
// document does not name stays in its slot with share and quota 0, and its name is unknown; if a later
// version names it again, it gets that slot. Slots of the platform's own tenants are never given to others.
// Any other slot is free for a new tenant once its tenant is named neither in `active` nor in the document
// and `is_referenced` is false for the slot. So there are never more slots than the platform's, those of two
// consecutive versions, and those still referenced.
[[nodiscard]] Overlay overlay(const Overlay& start, const Overlay& active, const Document& document,
                              const std::function<bool(std::uint32_t slot)>& is_referenced);

// `file`: the name of the document in errors. `classes`: the names that a class may have. Rejects settings
// that cannot change in a running broker (listeners, names, threads, hooks, ...) with an error that names the
// restart or reload that they need.
// Throws hcl::Invalid with all errors.
[[nodiscard]] Document parse_document(std::string_view text, const std::string& file,
                                      const std::vector<std::string>& classes);

}  // namespace bellstair::config
