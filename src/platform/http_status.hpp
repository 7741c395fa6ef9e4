// Status codes of HTTP that engines and the change log answer with.
#pragma once

namespace bellstair::platform::http_status {

inline constexpr unsigned kOk = 200;
inline constexpr unsigned kAccepted = 202;  // an engine: the query is not over
inline constexpr unsigned kNoContent = 204;
inline constexpr unsigned kInternalServerError = 500;  // an engine: also for a query that it does not know
inline constexpr unsigned kServiceUnavailable = 503;
inline constexpr unsigned kGatewayTimeout = 504;

}  // namespace bellstair::platform::http_status
