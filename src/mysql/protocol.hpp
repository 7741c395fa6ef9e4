// Constants of the MySQL client/server protocol, and the exception for malformed packets.
#pragma once

#include <cstdint>
#include <stdexcept>

namespace bellstair::mysql {

// Thrown for a packet that violates the protocol; the text names the violation.
struct MalformedPacket : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Numeric codes of the protocol: errors, capabilities, commands, column types and status flags.
inline constexpr std::uint16_t kTooManyConnections = 1040;  // an error of engines and of MysqlServer
inline constexpr std::uint32_t kLongPassword = 1, kConnectWithDb = 8, kProtocol41 = 1U << 9,
                               kTransactions = 1U << 13, kSecureConnection = 1U << 15, kPluginAuth = 1U << 19,
                               kConnectAttributes = 1U << 20, kLenencAuth = 1U << 21,
                               kQueryAttributes = 1U << 27;
inline constexpr std::uint8_t kQuit = 0x01, kQuery = 0x03, kPing = 0x0e, kPrepare = 0x16, kExecute = 0x17,
                              kCloseStatement = 0x19, kResetStatement = 0x1a;
inline constexpr std::uint8_t kTypeDouble = 0x05, kTypeNull = 0x06, kTypeLongLong = 0x08,
                              kTypeVarString = 0xfd, kTypeBlob = 0xfc;
inline constexpr std::uint16_t kAutocommit = 2;
inline constexpr std::uint8_t kUtf8 = 45;  // utf8mb4_general_ci
inline constexpr const char* kNativePassword = "mysql_native_password";
inline constexpr const char* kCachingSha2 = "caching_sha2_password";
inline constexpr const char* kClearPassword = "mysql_clear_password";

}  // namespace bellstair::mysql
