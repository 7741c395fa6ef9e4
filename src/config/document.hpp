// A document of the configuration as control nodes distribute it, in HCL: the settings that may change in a
// running fleet. Others are as in the platform's own configuration, so that the settings in force depend on
// one version alone.
//
//     changelog = "10.2.0.1:9092"
//     class "lookup" {
//       aim        = "400ms"
//       give_up    = "2s"
//       worth      = 1
//       late_share = 0.3
//     }
//     tenant "lycee-ennour" {      # with any tenant in it, the document names all that there are
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

// What a version may change, as a broker has it in force. Made of the configuration the broker began with and
// one document.
struct Overlay {
  policy::Settings settings;
  Names names;
  std::string changelog;
};

// Classes keep their positions. Tenants keep theirs too ("slots"), since requests, hooks and the module know
// them by it: one that the document lacks stays in its slot with share and quota 0, and only its name is
// unknown from now on; the name coming back gets the slot back. Slots of the platform's own tenants are never
// given to others; any other slot is, once its tenant is neither in `in_force` nor in the document and `held`
// says that nothing refers to it. So there are never more than the platform's, those of two versions in a
// row, and those held.
[[nodiscard]] Overlay overlay(const Overlay& start, const Overlay& in_force, const Document& document,
                              const std::function<bool(std::uint32_t slot)>& held);

// `file` is for errors. `classes`: the names that a class may have. What can't change in a running broker
// (listeners, names, threads, hooks, ...) is refused by its name. Throws hcl::Invalid with all that is wrong.
[[nodiscard]] Document parse_document(std::string_view text, const std::string& file,
                                      const std::vector<std::string>& classes);

}  // namespace bellstair::config
