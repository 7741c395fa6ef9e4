#include "mysql/engine_session.hpp"

#include <openssl/sha.h>

namespace bellstair::mysql {
namespace {
constexpr std::size_t kNonceBytes = 20;
constexpr std::uint32_t kWantedCapabilities = kLongPassword | kProtocol41 | kTransactions |
                                              kSecureConnection | kPluginAuth | kLenencAuth |
                                              kQueryAttributes;
constexpr std::uint8_t kOk = 0x00;
constexpr std::uint8_t kMoreAuthData = 0x01;
constexpr std::uint8_t kAuthSwitch = 0xfe;
constexpr std::uint8_t kFastAuthSucceeded = 3;  // else the engine asks for the password, which needs TLS

std::string auth_response(const std::string& plugin, const std::string& password, const std::string& nonce) {
  return plugin == kCachingSha2 ? sha2_auth_response(password, nonce) : native_auth_response(password, nonce);
}

LoginStep failed() { return {LoginStep::State::failed, {}}; }

LoginStep reply_to_greeting(EngineSession& session, const config::MysqlEngines& account,
                            const std::string& payload) {
  const auto greeting = read_greeting(payload);
  session.greeting_received = true;
  session.connection_id = greeting.connection;
  session.capabilities = greeting.capabilities & kWantedCapabilities;
  session.nonce = greeting.nonce;
  if ((session.capabilities & kProtocol41) == 0) return failed();
  const auto* plugin = greeting.plugin == kCachingSha2 ? kCachingSha2 : kNativePassword;
  return {LoginStep::State::in_progress, write_login({session.capabilities | kLenencAuth,
                                                      account.user,
                                                      auth_response(plugin, account.password, session.nonce),
                                                      plugin,
                                                      {}})};
}

LoginStep reply_to_auth_switch(EngineSession& session, const config::MysqlEngines& account, Cursor& in) {
  const std::string plugin(in.zero_terminated_text());
  if (plugin != kNativePassword && plugin != kCachingSha2) return failed();
  session.nonce = std::string(in.rest().substr(0, kNonceBytes));
  return {LoginStep::State::in_progress, auth_response(plugin, account.password, session.nonce)};
}
}  // namespace

StatementDigest digest_of(std::string_view text) {
  StatementDigest digest{};
  ::SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
  return digest;
}

const Prepared* PreparedStatements::find(const StatementDigest& digest) const {
  const auto found = by_digest_.find(digest);
  return found == by_digest_.end() ? nullptr : &found->second;
}

std::optional<Prepared> PreparedStatements::evict() {
  if (order_.size() < kMaxStatements) return std::nullopt;
  const auto oldest = by_digest_.find(order_.front());
  const auto evicted = oldest->second;
  by_digest_.erase(oldest);
  order_.pop_front();
  return evicted;
}

void PreparedStatements::add(const StatementDigest& digest, const Prepared& prepared) {
  if (by_digest_.insert_or_assign(digest, prepared).second) order_.push_back(digest);
}

LoginStep continue_login(EngineSession& session, const config::MysqlEngines& account,
                         const std::string& payload) {
  if (payload.empty() || is_error(payload)) return failed();
  if (!session.greeting_received) return reply_to_greeting(session, account, payload);
  Cursor in(payload);
  switch (in.u8()) {
    case kOk:
      return {LoginStep::State::succeeded, {}};
    case kMoreAuthData:
      return in.u8() == kFastAuthSucceeded ? LoginStep{} : failed();
    case kAuthSwitch:
      return reply_to_auth_switch(session, account, in);
    default:
      return failed();
  }
}

}  // namespace bellstair::mysql
