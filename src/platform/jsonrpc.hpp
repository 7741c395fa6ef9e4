// The platform's client protocol: JSON-RPC 2.0, one message a line. Pure: text in, values out, and back.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "config/config.hpp"
#include "core/events.hpp"

namespace bellstair::platform {

struct RpcRequest {
  std::uint64_t id = 0;
  core::Submission submission;  // without its client
};
struct RpcCancel {
  std::optional<std::uint64_t> id;       // of the call itself, if it wants an answer
  std::optional<std::uint64_t> request;  // the call that it means
  std::string ticket;                    // or the client's id of the request
};
struct RpcHealth {
  std::uint64_t id = 0;
};
// The error that answers a message which is none of these.
struct RpcError {
  std::optional<std::uint64_t> id;
  int code = 0;
  std::string message;
};
using RpcMessage = std::variant<RpcRequest, RpcCancel, RpcHealth, RpcError>;

// Error codes; those from -32700 to -32600 are JSON-RPC's own.
inline constexpr int kRpcParseError = -32700;
inline constexpr int kRpcInvalidRequest = -32600;
inline constexpr int kRpcMethodNotFound = -32601;
inline constexpr int kRpcInvalidParams = -32602;
inline constexpr int kRpcRejected = -32066;  // a retry is harmless
inline constexpr int kRpcFailed = -32069;
inline constexpr int kRpcTimedOut = -32079;

[[nodiscard]] RpcMessage parse_rpc(std::string_view line, const config::Names& names);

// Each of these returns one line with its line feed.
[[nodiscard]] std::string rpc_answer(std::uint64_t id, const core::Answer& answer);
[[nodiscard]] std::string rpc_cancelled(std::uint64_t id);
[[nodiscard]] std::string rpc_health(std::uint64_t id, bool healthy);
[[nodiscard]] std::string rpc_error(std::optional<std::uint64_t> id, int code, std::string_view message,
                                    core::Time retry_after = {});

}  // namespace bellstair::platform
