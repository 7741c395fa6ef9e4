#include "config/document.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <map>
#include <set>

#include "hcl/parse.hpp"
#include "hcl/reader.hpp"
#include "net/socket.hpp"

namespace bellstair::config {
namespace {
using namespace std::chrono_literals;
using hcl::Reader;

constexpr std::size_t kMaxTenantName = 256;    // bytes
constexpr hcl::Durations kTimeouts{0ns, 24h};  // a longer one could overflow the clock when added to it
constexpr hcl::Range<double> kWeights{0, 1e9};

// Settings that belong to the platform's file, to the operator's file, or to a class in the platform's file.
// A document that has one is rejected because it needs a restart or a reload, not as if the name were
// misspelt.
constexpr std::array kFixedSettings{
    "name",    "listen", "peer_listen", "peers",     "peers_all",     "limits",          "settings",
    "seed",    "mysql",  "user",        "directory", "mysql_engines", "control",         "balancers",
    "threads", "kinds",  "zones",       "semantics", "classes",       "over-share-worth"};
constexpr std::array kHookSettings{"hook", "hooks", "plugin"};
constexpr std::array kFixedClassSettings{
    "name",     "threads",  "semantics",   "effect",      "group",          "window",
    "in_order", "in-order", "aim_stretch", "aim-stretch", "zones",          "zones-allowed",
    "kinds",    "bound-to", "holds_group", "loads",       "waits_for_group"};

void reject_settings(Reader& in, const auto& names, const char* reason) {
  for (const char* name : names) {
    if (in.has(name)) in.add_problem(name, reason);
  }
}

void check_class_name(Reader& in, const std::string& name, const std::vector<std::string>& classes) {
  if (std::ranges::find(classes, name) != classes.end()) return;
  const auto suggestion = hcl::nearest_name(name, {classes.begin(), classes.end()});
  in.add_problem("", "is not a class of the settings" +
                         (suggestion ? ": did you mean '" + *suggestion + "'?" : std::string()));
}

Document::Class parse_class(Reader& in, const std::string& name, const std::vector<std::string>& classes) {
  Document::Class out;
  out.name = name;
  out.at = in.at();
  check_class_name(in, name, classes);
  if (in.has("aim")) out.latency_objective = in.duration("aim", 1ns, {1ns, kTimeouts.most});
  if (in.has("give_up")) out.client_timeout = in.duration("give_up", 0ns, kTimeouts);
  if (in.has("worth")) out.priority_weight = in.number("worth", 0, kWeights);
  if (in.has("late_share")) out.late_weight = in.number("late_share", 0, {0, 1});
  reject_settings(in, kFixedClassSettings, "needs a restart: it can't change in a running broker");
  in.finish();
  return out;
}

Document::Tenant parse_tenant(Reader& in, const std::string& name) {
  const auto control = [](unsigned char c) { return c < 0x20 || c == 0x7f; };
  if (name.empty() || name.size() > kMaxTenantName || std::ranges::any_of(name, control))
    in.add_problem("", "a tenant's name has 1 to 256 bytes and no control characters");
  Document::Tenant out;
  out.name = name;
  // A default of 0 would leave the tenant without a share, and nothing would report it.
  if (!in.has("share")) in.add_problem("share", "is missing");
  out.quota_fraction = in.number("share", 0, kWeights);
  out.quota_per_s = in.number("quota", 0, kWeights);
  in.finish();
  return out;
}

using TenantsByName = std::map<std::string_view, policy::TenantSettings>;
using Slot = std::uint32_t;

void apply_classes(const Document& document, Overlay& out) {
  for (const auto& named : document.classes) {
    auto& cls = out.settings.classes.at(out.names.classes.at(named.name));
    cls.latency_objective = named.latency_objective.value_or(cls.latency_objective);
    cls.client_timeout = named.client_timeout.value_or(cls.client_timeout);
    cls.priority_weight = named.priority_weight.value_or(cls.priority_weight);
    cls.late_weight = named.late_weight.value_or(cls.late_weight);
  }
}

TenantsByName tenants_by_name(const Document& document) {
  TenantsByName out;
  if (!document.tenants) return out;
  for (const auto& tenant : *document.tenants)
    out[tenant.name] = {tenant.name, tenant.quota_fraction, tenant.quota_per_s};
  return out;
}

// Puts the tenants that already have an active slot into that slot, and removes them from `unplaced`. Returns
// the slots that are free for other tenants, the highest first.
std::vector<Slot> reuse_slots(const Overlay& start, const Overlay& active, bool has_tenants,
                              const std::function<bool(std::uint32_t)>& is_referenced,
                              TenantsByName& unplaced, Overlay& out) {
  std::vector<Slot> free;
  auto& slots = out.settings.tenants;
  for (Slot slot = 0; slot < slots.size(); ++slot) {
    auto& tenant = slots[slot];
    const bool is_initial = slot < start.settings.tenants.size();
    if (is_initial && !has_tenants) {
      tenant = start.settings.tenants[slot];
      continue;
    }
    if (const auto same = unplaced.find(tenant.name); same != unplaced.end()) {
      tenant = same->second;
      unplaced.erase(same);
      out.names.tenants[tenant.name] = slot;
      continue;
    }
    tenant.quota_fraction = tenant.quota_per_s = 0;
    if (!is_initial && !active.names.tenants.contains(tenant.name) && !is_referenced(slot))
      free.push_back(slot);
  }
  std::ranges::reverse(free);
  return free;
}

// Gives new tenants the lowest free slots, then new slots at the end.
void place_new_tenants(TenantsByName& unplaced, std::vector<Slot>& free, Overlay& out) {
  auto& slots = out.settings.tenants;
  for (auto& [name, tenant] : unplaced) {
    if (free.empty()) {
      free.push_back(static_cast<Slot>(slots.size()));
      slots.emplace_back();
    }
    out.names.tenants[tenant.name] = free.back();
    slots[free.back()] = std::move(tenant);
    free.pop_back();
  }
}

// Removes free slots at the end, so that those of a version with very many tenants do not remain for ever.
void remove_trailing_slots(std::vector<Slot>& free, std::vector<policy::TenantSettings>& slots) {
  while (!free.empty() && free.front() + 1 == slots.size()) {
    slots.pop_back();
    free.erase(free.begin());
  }
}

}  // namespace

Document parse_document(std::string_view text, const std::string& file,
                        const std::vector<std::string>& classes) {
  const auto body = hcl::parse(text, file);
  std::vector<hcl::Problem> problems;
  Reader top(body, "", problems);
  Document out;
  if (top.has("changelog")) {
    out.changelog = top.text("changelog");
    if (problems.empty() && !net::parse_address(*out.changelog))
      top.add_problem("changelog", "is not an address with a port");
  }
  std::set<std::string> seen;
  for (auto& section : top.blocks("class", 1)) {
    const auto& name = section.labels[0];
    if (!seen.insert(name).second) section.reader.add_problem("", "is defined more than once");
    out.classes.push_back(parse_class(section.reader, name, classes));
  }
  seen.clear();
  for (auto& section : top.blocks("tenant", 1)) {
    const auto& name = section.labels[0];
    if (!seen.insert(name).second) section.reader.add_problem("", "is defined more than once");
    if (!out.tenants) out.tenants.emplace();
    out.tenants->push_back(parse_tenant(section.reader, name));
  }
  reject_settings(top, kFixedSettings, "needs a restart: it can't change in a running broker");
  reject_settings(top, kHookSettings,
                  "needs a restart, or a reload of each broker's own file: hooks are not part of a version");
  top.finish();
  if (!problems.empty()) throw hcl::Invalid(file, std::move(problems));
  return out;
}

Overlay overlay(const Overlay& start, const Overlay& active, const Document& document,
                const std::function<bool(std::uint32_t)>& is_referenced) {
  Overlay out = start;
  if (document.changelog) out.changelog = *document.changelog;
  apply_classes(document, out);
  out.settings.tenants = active.settings.tenants;
  if (document.tenants) out.names.tenants.clear();
  auto unplaced = tenants_by_name(document);
  auto free = reuse_slots(start, active, document.tenants.has_value(), is_referenced, unplaced, out);
  place_new_tenants(unplaced, free, out);
  remove_trailing_slots(free, out.settings.tenants);
  const bool has_default =
      !start.settings.tenants.empty() && out.names.tenants.contains(start.settings.tenants[0].name);
  out.names.no_tenant = has_default ? 0 : std::numeric_limits<std::uint32_t>::max();
  return out;
}

}  // namespace bellstair::config
