#include "platform/jsonrpc.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>

#include "common/bounded_json.hpp"
#include "platform/base64.hpp"
#include "platform/wire_names.hpp"
#include "sql/statement.hpp"

namespace bellstair::platform {
namespace {
using nlohmann::json;

constexpr double kMaxTimeLimitMs = 3'600'000;
// Larger estimates are rejected: they are not plausible and would distort the scheduling of other requests.
constexpr double kMaxCpuMs = 1e7;
constexpr double kMaxMemoryMb = 1e7;
constexpr double kNanosecondsPerMillisecond = 1e6;
// A call's members and those of its params are read; what is in them is never looked into.
constexpr JsonLimits kCallLimits{.max_depth = 8, .kept_depth = 2};
constexpr std::size_t kMaxKeyBytes = 128;
constexpr std::size_t kRequestIdDigits = 16;

// Thrown for a parameter that is missing or invalid.
struct InvalidParameter {
  InvalidParameter(const std::string& name, const char* reason) : message(name + " " + reason) {}
  std::string message;
};

std::string optional_text(const json& params, const char* key) {
  const auto found = params.find(key);
  if (found == params.end() || found->is_null()) return {};
  if (!found->is_string()) throw InvalidParameter(key, "is not a text");
  return found->get<std::string>();
}

std::string required_text(const json& params, const char* key) {
  const auto found = params.find(key);
  if (found == params.end() || found->is_null()) throw InvalidParameter(key, "is missing");
  return optional_text(params, key);
}

std::optional<double> optional_number(const json& params, const char* key, double max) {
  const auto found = params.find(key);
  if (found == params.end() || found->is_null()) return std::nullopt;
  if (!found->is_number()) throw InvalidParameter(key, "is not a number");
  const double value = found->get<double>();
  if (!(value >= 0 && value <= max)) throw InvalidParameter(key, "is out of range");
  return value;
}

core::Time from_milliseconds(double milliseconds) {
  return core::Time(static_cast<std::int64_t>(milliseconds * kNanosecondsPerMillisecond));
}

// The value is forwarded to engines in an HTTP header, which it must not be able to end.
void check_printable(const std::string& value, const char* key) {
  const auto printable = [](unsigned char c) { return c > 0x20 && c < 0x7f; };
  if (value.size() > kMaxKeyBytes || !std::ranges::all_of(value, printable))
    throw InvalidParameter(key, "holds what no id may hold");
}

std::uint64_t parse_hex(const std::string& digits, const char* key) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
  if (error != std::errc() || end != digits.data() + digits.size())
    throw InvalidParameter(key, "is not 16 hex digits");
  return value;
}

// The id also becomes part of a path in the engines' protocol.
std::string parse_request_id(const json& params) {
  auto id = required_text(params, wire::kRequestId);
  if (id.size() != kRequestIdDigits) throw InvalidParameter(wire::kRequestId, "is not 16 hex digits");
  parse_hex(id, wire::kRequestId);
  return id;
}

std::uint32_t parse_tenant(const json& params, const config::Names& names) {
  const auto name = optional_text(params, wire::kTenant);
  if (name.empty()) return names.no_tenant;
  const auto found = names.tenants.find(name);
  if (found == names.tenants.end()) throw InvalidParameter(wire::kTenant, "is in no settings");
  return found->second;
}

bool parse_is_retry(const json& params) {
  const auto found = params.find(wire::kIsRetry);
  if (found == params.end() || found->is_null()) return false;
  return found->is_boolean() ? found->get<bool>() : !(found->is_number() && *found == 0);
}

core::Submission parse_submission(const json& params, core::ClassIndex cls, const config::Names& names) {
  core::Submission out;
  out.cls = cls;
  out.ticket = parse_request_id(params);
  const auto time_limit_ms = optional_number(params, wire::kTimeLimit, kMaxTimeLimitMs);
  if (!time_limit_ms) throw InvalidParameter(wire::kTimeLimit, "is missing");
  out.time_limit = from_milliseconds(*time_limit_ms);
  out.tenant = parse_tenant(params, names);
  out.is_client_retry = parse_is_retry(params);
  out.idempotency_key = optional_text(params, wire::kIdempotencyKey);
  check_printable(out.idempotency_key, wire::kIdempotencyKey);
  if (const auto cpu_ms = optional_number(params, wire::kEstimatedCpu, kMaxCpuMs))
    out.estimated_work = from_milliseconds(*cpu_ms);
  out.estimated_memory_mb = optional_number(params, wire::kEstimatedMemoryMb, kMaxMemoryMb).value_or(0);
  if (const auto key = optional_text(params, wire::kOrderingKey); !key.empty())
    out.ordering_key = parse_hex(key, wire::kOrderingKey);
  auto statement = from_base64(required_text(params, wire::kStatement));
  if (!statement) throw InvalidParameter(wire::kStatement, "is not base64");
  out.body = std::move(*statement);
  out.data_group = sql::table_group(out.body);
  return out;
}

RpcCancel parse_cancel(const json& params, std::optional<std::uint64_t> id) {
  RpcCancel out;
  out.id = id;
  const auto target = params.find(wire::kCancelledRpcId);
  if (target != params.end() && target->is_number_unsigned()) out.target_id = target->get<std::uint64_t>();
  out.ticket = optional_text(params, wire::kRequestId);
  return out;
}

// `params` may be any JSON value; one that is not an object is rejected.
RpcMessage parse_call(std::optional<std::uint64_t> id, const std::string& method, const json& params,
                      const config::Names& names) {
  if (!params.is_object()) throw InvalidParameter("params", "is not an object");
  if (method == wire::kCancelMethod) return parse_cancel(params, id);
  if (!id) return RpcError{std::nullopt, kRpcInvalidRequest, "id is missing"};
  if (method == wire::kHealthMethod) return RpcHealth{*id};
  const auto cls = names.classes.find(method);
  if (cls == names.classes.end()) return RpcError{id, kRpcMethodNotFound, "no class of this name"};
  return RpcRequest{*id, parse_submission(params, cls->second, names)};
}

std::string to_line(json message) {
  message["jsonrpc"] = "2.0";
  return message.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

json id_of(std::optional<std::uint64_t> id) { return id ? json(*id) : json(nullptr); }

// Formatted without the JSON library: nothing needs escaping, and results are by far the longest messages.
std::string rpc_result(std::uint64_t id, std::string_view body) {
  return R"({"jsonrpc":"2.0","id":)" + std::to_string(id) + R"(,"result":{")" + wire::kResultBody + R"(":")" +
         to_base64(body) + "\"}}\n";
}

RpcMessage parse_message(const json& message, const config::Names& names) {
  if (!message.is_object()) return RpcError{std::nullopt, kRpcInvalidRequest, "no call"};
  std::optional<std::uint64_t> id;
  if (const auto found = message.find("id"); found != message.end() && !found->is_null()) {
    if (!found->is_number_unsigned())
      return RpcError{std::nullopt, kRpcInvalidRequest, "id is not a whole number from 1 up"};
    id = found->get<std::uint64_t>();
  }
  const auto method = message.find("method");
  const auto version = message.find("jsonrpc");
  if (method == message.end() || !method->is_string() || version == message.end() || *version != "2.0")
    return RpcError{id, kRpcInvalidRequest, "no call of JSON-RPC 2.0"};
  static const json no_params = json::object();
  const auto params = message.find("params");
  try {
    return parse_call(id, method->get<std::string>(), params == message.end() ? no_params : *params, names);
  } catch (const InvalidParameter& invalid) {
    return RpcError{id, kRpcInvalidParams, invalid.message};
  }
}
}  // namespace

RpcMessage parse_rpc(std::string_view text, const config::Names& names) {
  try {
    return parse_message(parse_bounded_json(text, kCallLimits), names);
  } catch (const JsonError& error) {
    if (error.code() == JsonFault::too_deep)
      return RpcError{std::nullopt, kRpcInvalidRequest, "nested too deeply"};
    return RpcError{std::nullopt, kRpcParseError, "no JSON"};
  }
}

std::string rpc_answer(std::uint64_t id, const core::Answer& answer) {
  switch (answer.kind) {
    case core::AnswerKind::served:
      return rpc_result(id, answer.body);
    case core::AnswerKind::rejected:
      return rpc_error(id, kRpcRejected, "refused", answer.retry_after);
    case core::AnswerKind::failed:
      return rpc_error(id, kRpcFailed, "failed", answer.retry_after);
    case core::AnswerKind::timed_out:
      break;
  }
  return rpc_error(id, kRpcTimedOut, "timed out", answer.retry_after);
}

std::string rpc_cancelled(std::uint64_t id) {
  return R"({"jsonrpc":"2.0","id":)" + std::to_string(id) + R"(,"result":true})" + "\n";
}

std::string rpc_health(std::uint64_t id, bool healthy) {
  return to_line({{"id", id}, {"result", {{wire::kHealthy, healthy}}}});
}

std::string rpc_error(std::optional<std::uint64_t> id, int code, std::string_view message,
                      core::Time retry_after) {
  json error = {{"code", code}, {"message", message}};
  if (retry_after > core::Time::zero()) {
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(retry_after);
    error["data"] = {{wire::kRetryAfter, milliseconds.count()}};
  }
  return to_line({{"id", id_of(id)}, {"error", std::move(error)}});
}

}  // namespace bellstair::platform
