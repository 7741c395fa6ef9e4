#include "config/control.hpp"

#include <algorithm>
#include <filesystem>
#include <limits>
#include <map>
#include <set>

#include "control/message.hpp"
#include "hcl/parse.hpp"
#include "net/socket.hpp"

namespace bellstair::config {
namespace {
using hcl::Reader;

// Returns why a name cannot be used in log lines, tables and messages; none: it can.
std::optional<std::string> name_error(const std::string& name) {
  if (name.empty()) return "is empty";
  if (name.size() > control::kMaxNameBytes)
    return "is longer than " + std::to_string(control::kMaxNameBytes) + " bytes";
  const auto is_printable = [](unsigned char c) { return c > 0x20 && c != 0x7F; };
  if (!std::ranges::all_of(name, is_printable)) return "contains a space or a control character";
  return std::nullopt;
}

std::string read_name(Reader& in, const char* field,
                      const std::optional<std::string>& fallback = std::nullopt) {
  const bool given = in.has(field);
  auto out = in.text(field, fallback);
  if (const auto error = name_error(out); given && error) in.add_problem(field, *error);
  return out;
}

// Relative paths are relative to the directory of `file`.
std::string read_path(Reader& in, const char* field, const std::string& file) {
  const bool given = in.has(field);
  const auto out = in.text(field, "");
  if (given && (out.empty() || out.ends_with('/') || out.find('\0') != std::string::npos))
    in.add_problem(field, "is not the path of a file");
  return out.empty() ? out : (std::filesystem::path(file).parent_path() / out).string();
}

ControlNode read_node(Reader& in, const std::string& name, const std::string& file) {
  ControlNode out;
  out.name = name;
  if (const auto error = name_error(name)) in.add_problem("", "its name " + *error);
  out.address = in.text("address");
  const auto parsed = net::parse_address(out.address);
  if (!out.address.empty() && (!parsed || parsed->sin_port == 0))
    in.add_problem("address", "is not an address with a port");
  out.region = read_name(in, "region", "");
  out.store = read_path(in, "store", file);
  in.finish();
  return out;
}

std::uint64_t read_epoch(Reader& in) {
  const bool given = in.has("epoch");
  const auto out = in.integer("epoch", 1, {1, std::numeric_limits<std::int64_t>::max()});
  if (!given) in.add_problem("epoch", "is missing");
  return static_cast<std::uint64_t>(out);
}

std::vector<std::string> read_classes(Reader& in) {
  auto out = in.texts("classes");
  std::set<std::string> seen;
  for (const auto& name : out) {
    if (const auto error = name_error(name)) in.add_problem("classes", "'" + name + "' " + *error);
    if (!seen.insert(name).second) in.add_problem("classes", "'" + name + "' is listed twice");
  }
  return out;
}

// `own_node`: the control node that reads the file; it needs its store.
std::vector<ControlNode> read_nodes(Reader& in, const std::string& file,
                                    const std::optional<std::string>& own_node) {
  std::vector<ControlNode> out;
  std::set<std::string> names;
  std::map<std::string, std::string> names_by_address;
  for (auto& block : in.blocks("node", 1)) {
    auto node = read_node(block.reader, block.labels[0], file);
    if (!names.insert(node.name).second) block.reader.add_problem("", "is defined more than once");
    const auto [other, is_new] = names_by_address.try_emplace(node.address, node.name);
    if (!is_new && !node.address.empty())
      block.reader.add_problem("address",
                               node.address + " is also the address of node \"" + other->second + "\"");
    if (own_node == node.name && node.store.empty() && !block.reader.has("store"))
      block.reader.add_problem("store", "is missing: the node needs a file to store its versions in");
    out.push_back(std::move(node));
  }
  return out;
}

// The error for an unknown node, with the most similar known name as a suggestion.
std::string unknown_node(const std::string& name, const std::set<std::string>& known) {
  const auto suggestion = hcl::nearest_name(name, known);
  return "no node '" + name + "' is defined here" +
         (suggestion ? ": did you mean '" + *suggestion + "'?" : "");
}

void check_nodes(Reader& in, const Control& control, const std::optional<std::string>& own_node) {
  std::set<std::string> names;
  for (const auto& node : control.nodes) names.insert(node.name);
  if (control.nodes.empty()) in.add_problem("", "defines no node");
  if (control.nodes.size() > kMaxControlNodes)
    in.add_problem("node", "there are more than " + std::to_string(kMaxControlNodes));
  if (!control.leader.empty() && !control.nodes.empty() && !names.contains(control.leader))
    in.add_problem("writer", unknown_node(control.leader, names));
  if (own_node && !names.contains(*own_node)) in.add_problem("", unknown_node(*own_node, names));
}

}  // namespace

Control parse_control(Reader& in, const std::string& file, const std::optional<std::string>& node) {
  Control out;
  out.fleet = read_name(in, "fleet");
  out.epoch = read_epoch(in);
  out.leader = read_name(in, "writer");
  out.region = read_name(in, "region", "");
  out.last = read_path(in, "last", file);
  out.classes = read_classes(in);
  out.nodes = read_nodes(in, file, node);
  check_nodes(in, out, node);
  // Without classes, a node would reject every document that names one.
  if (node && out.classes.empty())
    in.add_problem("classes", "is empty: a control node needs the classes to validate documents");
  in.finish();
  return out;
}

Control read_control(std::string_view text, const std::string& file, const std::optional<std::string>& node) {
  const auto body = hcl::parse(text, file);
  std::vector<hcl::Problem> problems;
  Reader top(body, "", problems);
  Control out;
  if (auto control = top.block("control")) {
    out = parse_control(control->reader, file, node);
  } else if (problems.empty()) {
    top.add_problem("control", "the block is missing");
  }
  if (!problems.empty()) throw hcl::Invalid(file, std::move(problems));
  return out;
}

}  // namespace bellstair::config
