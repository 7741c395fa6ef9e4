// Names of the platform's wire protocol. Each constant is named by the usual term for what it carries; the
// other files of this folder use the constants only.
#pragma once

namespace bellstair::platform::wire {

// ---- JSON-RPC between clients and brokers

inline constexpr const char* kCancelMethod = "cancel";
inline constexpr const char* kHealthMethod = "health";

// Parameters of a request. Times are in milliseconds.
inline constexpr const char* kRequestId = "txn";    // 16 hex digits, new in every attempt of the client
inline constexpr const char* kTimeLimit = "limit";  // counted from when the client sent the request
inline constexpr const char* kTenant = "team";      // a tenant's name in the settings
inline constexpr const char* kIsRetry = "second";   // present, and neither false nor 0, on a client's retry
inline constexpr const char* kIdempotencyKey = "unique";  // the same in all attempts of one request
inline constexpr const char* kEstimatedCpu = "cpu";       // CPU time on one core
inline constexpr const char* kEstimatedMemoryMb = "ram";
inline constexpr const char* kOrderingKey = "item";   // requests with the same key run in order
inline constexpr const char* kStatement = "data";     // base64
inline constexpr const char* kCancelledRpcId = "id";  // in a cancel call: the id of the request to cancel

// Members of an answer.
inline constexpr const char* kResultBody = "data";   // base64
inline constexpr const char* kRetryAfter = "later";  // milliseconds, in the data of an error
inline constexpr const char* kHealthy = "green";

// ---- HTTP between brokers and engines

inline constexpr const char* kQueriesPath = "/v1/store";  // POST; /ID below it is a query, /ID/PAGE a page
inline constexpr const char* kHealthCheckPath = "/-/gauges";  // answers 200 or 503, with a load report

// Headers of a request that starts a query.
inline constexpr const char* kRequestIdHeader = "X-Ticket";
inline constexpr const char* kRequestClassHeader = "X-Queue";
inline constexpr const char* kTimeoutMsHeader = "X-Max-Ms";
inline constexpr const char* kIdempotencyKeyHeader = "X-Nonce";
inline constexpr const char* kMemoryGrantMbHeader = "Query-Memory";
inline constexpr const char* kPriorityHeader = "Query-Priority";

// Headers of an answer, in lower case as HttpResponse stores them.
inline constexpr const char* kNeverRanHeader = "x-shed";  // "1": no part of the query has run
inline constexpr const char* kPageCountHeader = "result-pages";
inline constexpr const char* kPageNumberHeader = "result-page";
inline constexpr const char* kCpuCostMsHeader = "query-cost";
inline constexpr const char* kMemoryUsedMbHeader = "query-need";
inline constexpr const char* kLoadReportHeader = "x-meter";  // "name:value;name:value"

// ---- HTTP between brokers and the change log

inline constexpr const char* kChangesPath = "/changes";
inline constexpr const char* kSinceParameter = "since";          // number of the last event received
inline constexpr const char* kPollTimeoutParameter = "timeout";  // milliseconds

}  // namespace bellstair::platform::wire
