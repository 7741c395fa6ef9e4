#include "platform/jsonrpc.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>

#include "platform/base64.hpp"
#include "sql/statement.hpp"

namespace bellstair::platform {
namespace {
using nlohmann::json;

constexpr int kParseError = -32700, kInvalidRequest = -32600, kUnknownMethod = -32601,
              kInvalidParams = -32602;
constexpr double kMaxLimitMs = 3'600'000;
// Estimates beyond these are no estimates, and would mislead the module about all other requests.
constexpr double kMaxCpuMs = 1e7, kMaxRamMb = 1e7;
constexpr int kMaxDepth = 8;  // of brackets
constexpr std::size_t kMaxKey = 128;

struct Bad {
  std::string what;
};

std::string text(const json& params, const char* key, bool needed) {
  const auto found = params.find(key);
  if (found == params.end() || found->is_null()) {
    if (needed) throw Bad{std::string(key) + " is missing"};
    return {};
  }
  if (!found->is_string()) throw Bad{std::string(key) + " is not a text"};
  return found->get<std::string>();
}

std::optional<double> number(const json& params, const char* key, double most) {
  const auto found = params.find(key);
  if (found == params.end() || found->is_null()) return std::nullopt;
  if (!found->is_number()) throw Bad{std::string(key) + " is not a number"};
  const double value = found->get<double>();
  if (!(value >= 0 && value <= most)) throw Bad{std::string(key) + " is out of range"};
  return value;
}

// Passed on in a header: nothing that could end one.
void printable(const std::string& value, const char* key) {
  const auto fine = [](unsigned char c) { return c > 0x20 && c < 0x7f; };
  if (value.size() > kMaxKey || !std::ranges::all_of(value, fine))
    throw Bad{std::string(key) + " holds what no id may hold"};
}

std::uint64_t hex(const std::string& digits, const char* key) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
  if (error != std::errc() || end != digits.data() + digits.size())
    throw Bad{std::string(key) + " is not 16 hex digits"};
  return value;
}

core::Submission submission(const json& params, core::ClassIndex cls, const config::Names& names) {
  core::Submission out;
  out.cls = cls;
  out.ticket = text(params, "txn", true);
  // It is part of a path too.
  if (out.ticket.size() != 16) throw Bad{"txn is not 16 hex digits"};
  hex(out.ticket, "txn");
  const auto limit = number(params, "limit", kMaxLimitMs);
  if (!limit) throw Bad{"limit is missing"};
  out.time_limit = core::Time(static_cast<std::int64_t>(*limit * 1e6));
  out.tenant = names.no_tenant;
  if (const auto team = text(params, "team", false); !team.empty()) {
    const auto found = names.tenants.find(team);
    if (found == names.tenants.end()) throw Bad{"team is in no settings"};
    out.tenant = found->second;
  }
  if (const auto second = params.find("second"); second != params.end() && !second->is_null())
    out.is_client_retry = second->is_boolean() ? second->get<bool>() : !(second->is_number() && *second == 0);
  out.idempotency_key = text(params, "unique", false);
  printable(out.idempotency_key, "unique");
  if (const auto cpu = number(params, "cpu", kMaxCpuMs))
    out.estimated_work = core::Time(static_cast<std::int64_t>(*cpu * 1e6));
  out.estimated_memory_mb = number(params, "ram", kMaxRamMb).value_or(0);
  if (const auto item = text(params, "item", false); !item.empty()) out.ordering_key = hex(item, "item");
  auto body = from_base64(text(params, "data", true));
  if (!body) throw Bad{"data is not base64"};
  out.body = std::move(*body);
  out.data_group = sql::table_group(out.body);
  return out;
}

std::string line(json message) {
  message["jsonrpc"] = "2.0";
  return message.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

json id_of(std::optional<std::uint64_t> id) { return id ? json(*id) : json(nullptr); }
}  // namespace

RpcMessage parse_rpc(std::string_view in, const config::Names& names) {
  bool deep = false;  // what nests without end is dropped as it is read
  const auto shallow = [&deep](int depth, json::parse_event_t, json&) {
    deep = deep || depth > kMaxDepth;
    return !deep;
  };
  const json message = json::parse(in, shallow, false);
  if (deep) return RpcError{std::nullopt, kInvalidRequest, "nested too deeply"};
  if (message.is_discarded()) return RpcError{std::nullopt, kParseError, "no JSON"};
  if (!message.is_object()) return RpcError{std::nullopt, kInvalidRequest, "no call"};
  std::optional<std::uint64_t> id;
  if (const auto found = message.find("id"); found != message.end() && !found->is_null()) {
    if (!found->is_number_unsigned())
      return RpcError{std::nullopt, kInvalidRequest, "id is not a whole number from 1 up"};
    id = found->get<std::uint64_t>();
  }
  const auto method = message.find("method");
  const auto version = message.find("jsonrpc");
  if (method == message.end() || !method->is_string() || version == message.end() || *version != "2.0")
    return RpcError{id, kInvalidRequest, "no call of JSON-RPC 2.0"};
  const auto name = method->get<std::string>();
  const auto given = message.find("params");
  static const json kNone = json::object();
  const json& params = given == message.end() ? kNone : *given;
  try {
    if (!params.is_object()) throw Bad{"params is not an object"};
    if (name == "cancel") {
      RpcCancel out;
      out.id = id;
      if (const auto request = params.find("id"); request != params.end() && request->is_number_unsigned())
        out.request = request->get<std::uint64_t>();
      out.ticket = text(params, "txn", false);
      return out;
    }
    if (!id) return RpcError{std::nullopt, kInvalidRequest, "id is missing"};
    if (name == "health") return RpcHealth{*id};
    const auto cls = names.classes.find(name);
    if (cls == names.classes.end()) return RpcError{id, kUnknownMethod, "no class of this name"};
    return RpcRequest{*id, submission(params, cls->second, names)};
  } catch (const Bad& bad) {
    return RpcError{id, kInvalidParams, bad.what};
  }
}

std::string rpc_result(std::uint64_t id, std::string_view body) {
  // Nothing in it needs escaping, and results are by far the longest that is written.
  return "{\"jsonrpc\":\"2.0\",\"id\":" + std::to_string(id) + ",\"result\":{\"data\":\"" + to_base64(body) +
         "\"}}\n";
}

std::string rpc_health(std::uint64_t id, bool green) {
  return line({{"id", id}, {"result", {{"green", green}}}});
}

std::string rpc_error(std::optional<std::uint64_t> id, int code, std::string_view message, core::Time later) {
  json error = {{"code", code}, {"message", message}};
  if (later > core::Time::zero())
    error["data"] = {{"later", std::chrono::duration_cast<std::chrono::milliseconds>(later).count()}};
  return line({{"id", id_of(id)}, {"error", std::move(error)}});
}

}  // namespace bellstair::platform
