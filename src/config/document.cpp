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

constexpr std::size_t kMaxTenantName = 256;     // bytes
constexpr hcl::Durations kDeadlines{0ns, 24h};  // more would pass the clock's range when added to it
constexpr hcl::Range<double> kFigures{0, 1e9};

// Of the platform's file, of the operator's own, and of a class there: known, so that nobody takes the
// refusal for a slip of the pen.
constexpr std::array kFixed{"name",      "listen",        "peer_listen", "peers",     "peers_all",
                            "limits",    "settings",      "seed",        "mysql",     "user",
                            "directory", "mysql_engines", "control",     "balancers", "threads",
                            "kinds",     "zones",         "semantics",   "classes",   "over-share-worth"};
constexpr std::array kHooks{"hook", "hooks", "plugin"};
constexpr std::array kFixedOfClass{"name",   "threads",        "semantics", "effect",      "group",
                                   "window", "in_order",       "in-order",  "aim_stretch", "aim-stretch",
                                   "zones",  "zones-allowed",  "kinds",     "bound-to",    "holds_group",
                                   "loads",  "waits_for_group"};

void refuse(Reader& in, const auto& names, const char* why) {
  for (const char* name : names) {
    if (in.has(name)) in.wrong(name, why);
  }
}

void check_class_name(Reader& in, const std::string& name, const std::vector<std::string>& classes) {
  if (std::ranges::find(classes, name) != classes.end()) return;
  const auto meant = hcl::nearest(name, {classes.begin(), classes.end()});
  in.wrong("", "is no class of the settings" + (meant ? ": did you mean '" + *meant + "'?" : std::string()));
}

Document::Class parse_class(Reader& in, const std::string& name, const std::vector<std::string>& classes) {
  Document::Class out;
  out.name = name;
  out.at = in.at();
  check_class_name(in, name, classes);
  if (in.has("aim")) out.aim = in.duration("aim", 1ns, {1ns, kDeadlines.most});
  if (in.has("give_up")) out.give_up = in.duration("give_up", 0ns, kDeadlines);
  if (in.has("worth")) out.worth = in.number("worth", 0, kFigures);
  if (in.has("late_share")) out.late_share = in.number("late_share", 0, {0, 1});
  refuse(in, kFixedOfClass, "needs a restart: it can't change in a running broker");
  in.finish();
  return out;
}

Document::Tenant parse_tenant(Reader& in, const std::string& name) {
  const auto control = [](unsigned char c) { return c < 0x20 || c == 0x7f; };
  if (name.empty() || name.size() > kMaxTenantName || std::ranges::any_of(name, control))
    in.wrong("", "a tenant's name has 1 to 256 bytes, no control characters among them");
  Document::Tenant out;
  out.name = name;
  // Left out, it would starve the tenant without a word.
  if (!in.has("share")) in.wrong("share", "is missing");
  out.share = in.number("share", 0, kFigures);
  out.quota_per_s = in.number("quota", 0, kFigures);
  in.finish();
  return out;
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
      top.wrong("changelog", "is not an address with a port");
  }
  std::set<std::string> seen;
  for (auto& section : top.blocks("class", 1)) {
    const auto& name = section.labels[0];
    if (!seen.insert(name).second) section.reader.wrong("", "stands a second time");
    out.classes.push_back(parse_class(section.reader, name, classes));
  }
  seen.clear();
  for (auto& section : top.blocks("tenant", 1)) {
    const auto& name = section.labels[0];
    if (!seen.insert(name).second) section.reader.wrong("", "stands a second time");
    if (!out.tenants) out.tenants.emplace();
    out.tenants->push_back(parse_tenant(section.reader, name));
  }
  refuse(top, kFixed, "needs a restart: it can't change in a running broker");
  refuse(top, kHooks, "needs a restart, or a reload of each broker's own file: hooks are not of a version");
  top.finish();
  if (!problems.empty()) throw hcl::Invalid(file, std::move(problems));
  return out;
}

Overlay overlay(const Overlay& start, const Overlay& in_force, const Document& document,
                const std::function<bool(std::uint32_t)>& held) {
  Overlay out = start;
  if (document.changelog) out.changelog = *document.changelog;
  for (const auto& named : document.classes) {
    auto& cls = out.settings.classes.at(out.names.classes.at(named.name));
    cls.latency_objective = named.aim.value_or(cls.latency_objective);
    cls.client_timeout = named.give_up.value_or(cls.client_timeout);
    cls.priority_weight = named.worth.value_or(cls.priority_weight);
    cls.late_weight = named.late_share.value_or(cls.late_weight);
  }

  std::map<std::string_view, policy::TenantSettings> wanted;
  auto& slots = out.settings.tenants = in_force.settings.tenants;
  auto& names = out.names.tenants;
  if (document.tenants) {
    names.clear();
    for (const auto& tenant : *document.tenants)
      wanted[tenant.name] = {tenant.name, tenant.share, tenant.quota_per_s};
  }
  std::vector<std::uint32_t> free;
  for (std::uint32_t slot = 0; slot < slots.size(); ++slot) {
    auto& tenant = slots[slot];
    const bool own = slot < start.settings.tenants.size();
    if (own && !document.tenants) {
      tenant = start.settings.tenants[slot];
      continue;
    }
    if (const auto same = wanted.find(tenant.name); same != wanted.end()) {
      tenant = same->second;
      wanted.erase(same);
      names[tenant.name] = slot;
      continue;
    }
    tenant.quota_fraction = tenant.quota_per_s = 0;
    if (!own && !in_force.names.tenants.contains(tenant.name) && !held(slot)) free.push_back(slot);
  }
  std::ranges::reverse(free);  // the lowest ones first
  for (auto& [name, tenant] : wanted) {
    if (free.empty()) {
      free.push_back(static_cast<std::uint32_t>(slots.size()));
      slots.emplace_back();
    }
    names[tenant.name] = free.back();
    slots[free.back()] = std::move(tenant);
    free.pop_back();
  }
  // A slot at the end that nobody needs goes: a version with very many tenants leaves nothing behind.
  for (; !free.empty() && free.front() + 1 == slots.size(); free.erase(free.begin())) slots.pop_back();
  const bool first = !start.settings.tenants.empty() && names.contains(start.settings.tenants[0].name);
  out.names.no_tenant = first ? 0 : std::numeric_limits<std::uint32_t>::max();
  return out;
}

}  // namespace bellstair::config
