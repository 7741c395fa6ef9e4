// The platform's client protocol: JSON-RPC 2.0, one message per line. Pure: parses and formats, without I/O.
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
  core::Submission submission;  // its `client` is not set
};
struct RpcCancel {
  std::optional<std::uint64_t> id;         // of the cancel call itself; none: it is not answered
  std::optional<std::uint64_t> target_id;  // the id of the call to cancel
  std::string ticket;                      // the ticket of the request to cancel, if given
};
struct RpcHealth {
  std::uint64_t id = 0;
};
// A message that is none of the above. Holds the error to answer it with.
struct RpcError {
  std::optional<std::uint64_t> id;
  int code = 0;
  std::string message;
};
using RpcMessage = std::variant<RpcRequest, RpcCancel, RpcHealth, RpcError>;

// Error codes; those from -32700 to -32600 are defined by JSON-RPC.
inline constexpr int kRpcParseError = -32700;
inline constexpr int kRpcInvalidRequest = -32600;
inline constexpr int kRpcMethodNotFound = -32601;
inline constexpr int kRpcInvalidParams = -32602;
inline constexpr int kRpcRejected = -32066;  // a retry is harmless
inline constexpr int kRpcFailed = -32069;
inline constexpr int kRpcTimedOut = -32079;

[[nodiscard]] RpcMessage parse_rpc(std::string_view line, const config::Names& names);

// Each of these returns one line that ends with a line feed.
[[nodiscard]] std::string rpc_answer(std::uint64_t id, const core::Answer& answer);
[[nodiscard]] std::string rpc_cancelled(std::uint64_t id);
[[nodiscard]] std::string rpc_health(std::uint64_t id, bool healthy);
[[nodiscard]] std::string rpc_error(std::optional<std::uint64_t> id, int code, std::string_view message,
                                    core::Time retry_after = {});

}  // namespace bellstair::platform
