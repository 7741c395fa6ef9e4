// Maps a statement of a MySQL client to a request, as documented in the README ("MySQL clients").
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/config.hpp"
#include "core/events.hpp"
#include "mysql/command.hpp"
#include "mysql/response.hpp"
#include "sql/value.hpp"

namespace bellstair::mysql {

// Error codes from 50000 up are reserved by MySQL for third parties.
inline constexpr std::uint16_t kRejected = 50001, kFailed = 50002, kTimedOut = 50003;
inline constexpr std::uint16_t kAccessDenied = 1045, kUnknownCommand = 1047, kEmptyQuery = 1065,
                               kTooLarge = 1153, kWrongArguments = 1210, kUnknownStatement = 1243,
                               kDirectoryUnavailable = 1429, kMalformedPacket = 1835;

struct InvalidStatement {  // thrown if a statement cannot be mapped to a request
  Error error;
};

// Throws InvalidStatement. The caller sets the front, the client handle and the ticket.
[[nodiscard]] core::Submission map_statement(std::string_view statement,
                                             const std::vector<sql::Value>& values,
                                             const std::vector<Attribute>& attributes, std::uint32_t tenant,
                                             const config::Names& names, const policy::Settings& settings);

[[nodiscard]] Error error_of(const core::Answer& answer);

}  // namespace bellstair::mysql
