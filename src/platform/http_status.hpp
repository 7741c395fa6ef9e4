// The HTTP status codes used by engines and by the change log.
#pragma once

namespace bellstair::platform::http_status {

inline constexpr unsigned kOk = 200;
inline constexpr unsigned kAccepted = 202;  // from an engine: the query has not ended
inline constexpr unsigned kNoContent = 204;
inline constexpr unsigned kInternalServerError = 500;  // from an engine: also the answer for an unknown query
inline constexpr unsigned kServiceUnavailable = 503;
inline constexpr unsigned kGatewayTimeout = 504;

}  // namespace bellstair::platform::http_status
