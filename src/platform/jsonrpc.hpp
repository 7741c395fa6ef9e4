// JSON-RPC 2.0, a message a line, as the platform's clients speak it. Pure: text in, values out, and back.
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
  core::Submission asked;  // without its client
};
struct RpcCancel {
  std::optional<std::uint64_t> id;  // of the call itself, if it wants an answer
  std::optional<std::uint64_t> request;
  std::string ticket;
};
struct RpcHealth {
  std::uint64_t id = 0;
};
struct RpcError {
  std::optional<std::uint64_t> id;
  int code = 0;
  std::string message;
};
using RpcMessage = std::variant<RpcRequest, RpcCancel, RpcHealth, RpcError>;

inline constexpr int kRpcRefused = -32066;
inline constexpr int kRpcFailed = -32069;
inline constexpr int kRpcTimedOut = -32079;

[[nodiscard]] RpcMessage parse_rpc(std::string_view line, const config::Names& names);
[[nodiscard]] std::string rpc_result(std::uint64_t id, std::string_view body);
[[nodiscard]] std::string rpc_health(std::uint64_t id, bool green);
[[nodiscard]] std::string rpc_error(std::optional<std::uint64_t> id, int code, std::string_view message,
                                    core::Time later = {});

}  // namespace bellstair::platform
