#include "platform/http_client.hpp"

#include <utility>

namespace bellstair::platform {
namespace {
constexpr std::size_t kMaxResponseBody = std::size_t{64} * 1024;
constexpr std::size_t kMaxPeekedBytes = std::size_t{8} * 1024;  // more than a page of a result

struct HttpSession : net::Session {
  HttpReader reader{kMaxResponseBody};
};

HttpReader& reader_of(const HttpClient::Connection& connection) {
  return static_cast<HttpSession&>(*connection.session).reader;
}

// The stream hands its input over in pieces, so that the last one may end with the response although more
// bytes have arrived.
HttpResponse take_response(const HttpClient::Connection& connection) {
  auto response = reader_of(connection).take();
  if (!connection.stream.open() || !connection.stream.stale()) return response;
  response.excess += connection.stream.peek(kMaxPeekedBytes);
  response.keep_alive = false;
  return response;
}
}  // namespace

HttpClient::CallId HttpClient::call(Connection& connection, const std::string& request, core::Time timeout,
                                    CallHandler handler) {
  const auto id = ++last_id_;
  if (!connection.session) connection.session = std::make_unique<HttpSession>();
  auto& reader = reader_of(connection);
  reader.begin_response();
  calls_[id] = {&connection, connection.stream.written(), std::move(handler)};
  connection.on_data = [this, id, &reader](std::string_view bytes) {
    if (!reader.feed(bytes)) return finish(id, Outcome::broken);
    if (reader.complete()) finish(id, Outcome::answered);
  };
  connection.on_lost = [this, id, &reader](bool clean) {
    finish(id, clean && reader.finish() ? Outcome::answered : Outcome::broken);
  };
  timeouts_.arm(now_ + timeout, id);
  connection.stream.write(request);  // if it fails, `on_lost` is called later
  return id;
}

void HttpClient::call_engine(core::EngineId engine, std::string request, core::Time timeout,
                             ResponseHandler handler) {
  auto on_checkout = [this, request = std::move(request), timeout,
                      handler = std::move(handler)](Connection* connection) {
    HttpResponse no_response;
    if (connection == nullptr) return handler(Outcome::not_connected, no_response);
    call(*connection, request, timeout,
         [this, handler](Outcome outcome, HttpResponse& response, Connection* reusable) {
           if (reusable != nullptr) pool_.release(*reusable);
           handler(outcome, response);
         });
  };
  pool_.acquire(engine, std::move(on_checkout), timeout);
}

std::size_t HttpClient::buffered_bytes(const Connection& connection) {
  const auto response = connection.session ? reader_of(connection).memory() : 0;
  return response + connection.stream.output_buffer_bytes();
}

bool HttpClient::release_after(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return false;
  found->second.handler = [this](Outcome, HttpResponse&, Connection* reusable) {
    if (reusable != nullptr) pool_.release(*reusable);
  };
  return true;
}

void HttpClient::finish(CallId id, Outcome outcome) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const auto call = std::move(found->second);
  calls_.erase(found);
  auto& connection = *call.connection;
  HttpResponse response;
  if (outcome == Outcome::answered) response = take_response(connection);
  if (outcome == Outcome::broken && connection.stream.written() == call.written_before)
    outcome = Outcome::unsent;
  const bool reusable = outcome == Outcome::answered && response.keep_alive && connection.stream.open();
  connection.on_data = nullptr;
  connection.on_lost = nullptr;
  if (!reusable) pool_.discard(connection);
  call.handler(outcome, response, reusable ? &connection : nullptr);
}

void HttpClient::tick(core::Time now) {
  now_ = now;
  timeouts_.advance(now, [this](CallId id) { finish(id, Outcome::timed_out); });
}

}  // namespace bellstair::platform
