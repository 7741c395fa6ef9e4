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

// They stand in log lines, tables and messages.
std::string fault_of(const std::string& name) {
  if (name.empty()) return "is empty";
  if (name.size() > control::kMaxNameBytes)
    return "is longer than " + std::to_string(control::kMaxNameBytes) + " bytes";
  const auto plain = [](unsigned char c) { return c > 0x20 && c != 0x7F; };
  return std::ranges::all_of(name, plain) ? "" : "holds a space or a control character";
}

std::string name_at(Reader& in, const char* field, std::optional<std::string> otherwise = std::nullopt) {
  const bool given = in.has(field);
  auto out = in.text(field, std::move(otherwise));
  if (const auto fault = fault_of(out); given && !fault.empty()) in.wrong(field, fault);
  return out;
}

std::string path_at(Reader& in, const char* field, const std::string& file) {
  const bool given = in.has(field);
  const auto out = in.text(field, "");
  if (given && (out.empty() || out.ends_with('/') || out.find('\0') != std::string::npos))
    in.wrong(field, "is not the path of a file");
  return out.empty() ? out : (std::filesystem::path(file).parent_path() / out).string();
}

ControlNode parse_node(Reader& in, const std::string& name, const std::string& file) {
  ControlNode out;
  out.name = name;
  if (const auto fault = fault_of(name); !fault.empty()) in.wrong("", "its name " + fault);
  out.address = in.text("address");
  const auto at = net::parse_address(out.address);
  if (!out.address.empty() && (!at || at->sin_port == 0))
    in.wrong("address", "is not an address with a port");
  out.region = name_at(in, "region", "");
  out.store = path_at(in, "store", file);
  in.finish();
  return out;
}

// The names that stand, and the one that was most likely meant.
std::string no_node(const std::string& name, const std::vector<ControlNode>& nodes) {
  std::set<std::string> known;
  for (const auto& node : nodes) known.insert(node.name);
  const auto meant = hcl::nearest(name, known);
  return "no node '" + name + "' stands here" + (meant ? ": did you mean '" + *meant + "'?" : "");
}

}  // namespace

Control parse_control(Reader& in, const std::string& file, const std::optional<std::string>& node) {
  Control out;
  out.fleet = name_at(in, "fleet");
  const bool epoch = in.has("epoch");
  out.epoch = static_cast<std::uint64_t>(in.whole("epoch", 1, {1, std::numeric_limits<std::int64_t>::max()}));
  if (!epoch) in.wrong("epoch", "is missing");
  out.writer = name_at(in, "writer");
  out.region = name_at(in, "region", "");
  out.last = path_at(in, "last", file);
  out.classes = in.texts("classes");
  std::set<std::string> classes;
  for (const auto& name : out.classes) {
    if (const auto fault = fault_of(name); !fault.empty()) in.wrong("classes", "'" + name + "' " + fault);
    if (!classes.insert(name).second) in.wrong("classes", "'" + name + "' stands twice");
  }
  std::set<std::string> names;
  std::map<std::string, std::string> addresses;
  for (auto& section : in.blocks("node", 1)) {
    auto& reader = section.reader;
    auto next = parse_node(reader, section.labels[0], file);
    if (!names.insert(next.name).second) reader.wrong("", "stands a second time");
    const auto [other, fresh] = addresses.try_emplace(next.address, next.name);
    if (!fresh && !next.address.empty())
      reader.wrong("address", next.address + " is that of node \"" + other->second + "\" too");
    if (node == next.name && next.store.empty() && !reader.has("store"))
      reader.wrong("store", "is missing: a node keeps its versions there");
    out.nodes.push_back(std::move(next));
  }
  if (out.nodes.empty()) in.wrong("", "names no node");
  if (out.nodes.size() > kMaxControlNodes)
    in.wrong("node", "there are more than " + std::to_string(kMaxControlNodes));
  if (!out.writer.empty() && !out.nodes.empty() && !names.contains(out.writer))
    in.wrong("writer", no_node(out.writer, out.nodes));
  if (node && !names.contains(*node)) in.wrong("", no_node(*node, out.nodes));
  // Without them a document would be refused for each class that it names, or taken with none.
  if (node && out.classes.empty())
    in.wrong("classes", "names none: a node checks by them what documents may name");
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
    top.wrong("control", "the block is missing");
  }
  if (!problems.empty()) throw hcl::Invalid(file, std::move(problems));
  return out;
}

}  // namespace bellstair::config
