// Packets of the MySQL client/server protocol. Pure: bytes in, values out, and back; strict throughout.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "sql/value.hpp"

namespace bellstair::mysql {

struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Capabilities, commands, column types and flags, as the protocol numbers them.
inline constexpr std::uint16_t kTooManyConnections = 1040;  // an error, of engines and of the front
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

struct Packet {
  std::uint8_t sequence = 0;
  std::string payload;
};

// Cuts a stream into packets. A packet of over `most` bytes is malformed, so that none can take the memory.
class PacketReader {
 public:
  explicit PacketReader(std::size_t most) : most_(most) {}
  void feed(std::string_view bytes) { in_.append(bytes); }
  [[nodiscard]] std::optional<Packet> next();
  [[nodiscard]] std::size_t buffered() const { return in_.size(); }

 private:
  std::size_t most_;
  std::string in_;
};

class Cursor {
 public:
  explicit Cursor(std::string_view in) : in_(in) {}
  [[nodiscard]] std::uint64_t number(std::size_t bytes);  // low byte first
  std::uint8_t u8() { return static_cast<std::uint8_t>(number(1)); }
  std::uint16_t u16() { return static_cast<std::uint16_t>(number(2)); }
  std::uint32_t u32() { return static_cast<std::uint32_t>(number(4)); }
  [[nodiscard]] std::uint64_t lenenc();
  [[nodiscard]] std::string_view text(std::size_t bytes);
  [[nodiscard]] std::string_view lenenc_text();
  [[nodiscard]] std::string_view null_text();
  [[nodiscard]] std::string_view rest();
  [[nodiscard]] bool empty() const { return in_.empty(); }
  [[nodiscard]] std::size_t left() const { return in_.size(); }

 private:
  std::string_view in_;
};

class Writer {
 public:
  Writer& number(std::uint64_t value, std::size_t bytes);
  Writer& u8(std::uint8_t value) { return number(value, 1); }
  Writer& u16(std::uint16_t value) { return number(value, 2); }
  Writer& u32(std::uint32_t value) { return number(value, 4); }
  Writer& lenenc(std::uint64_t value);
  Writer& text(std::string_view value);
  Writer& lenenc_text(std::string_view value);
  Writer& null_text(std::string_view value);
  [[nodiscard]] std::string take() { return std::move(out_); }

 private:
  std::string out_;
};

[[nodiscard]] std::string frame(std::uint8_t sequence, std::string_view payload);

// ---- the handshake

struct Greeting {
  std::string version, nonce, plugin;  // the nonce: 20 bytes
  std::uint32_t connection = 0, capabilities = 0;
};
[[nodiscard]] std::string write_greeting(const Greeting& greeting);
[[nodiscard]] Greeting read_greeting(std::string_view payload);

struct Login {
  std::uint32_t capabilities = 0;
  std::string user, answer, plugin, database;
};
[[nodiscard]] std::string write_login(const Login& login);
[[nodiscard]] Login read_login(std::string_view payload);

[[nodiscard]] std::string native_answer(std::string_view password, std::string_view nonce);
[[nodiscard]] std::string sha2_answer(std::string_view password, std::string_view nonce);
[[nodiscard]] bool same_secret(std::string_view a, std::string_view b);  // in constant time

// ---- answers

struct Error {
  std::uint16_t code = 0;
  std::string state, message;
};
[[nodiscard]] std::string write_ok();
[[nodiscard]] std::string write_eof();
[[nodiscard]] std::string write_error(const Error& error);
[[nodiscard]] Error read_error(std::string_view payload);
[[nodiscard]] bool is_error(std::string_view payload);
[[nodiscard]] bool is_eof(std::string_view payload);
[[nodiscard]] std::string write_column(std::string_view name, std::uint8_t type);
[[nodiscard]] std::uint8_t read_column_type(std::string_view payload);

using Cell = std::optional<std::string>;  // none: NULL
[[nodiscard]] std::string write_text_row(const std::vector<Cell>& cells);
[[nodiscard]] std::string write_binary_row(const std::vector<Cell>& cells);  // all columns var_string
[[nodiscard]] std::vector<Cell> read_text_row(std::string_view payload, std::size_t columns);
[[nodiscard]] std::vector<Cell> read_binary_row(std::string_view payload,
                                                const std::vector<std::uint8_t>& types);

// ---- commands

struct Attribute {
  std::string name;
  sql::Value value;
};
struct ParameterTypes {  // a client sends them with the first execute only
  std::vector<std::uint16_t> types;
};
struct Execute {
  std::uint32_t statement = 0;
  std::vector<sql::Value> values;
  std::vector<Attribute> attributes;
};
// `types` keeps what an earlier execute of the statement has told.
[[nodiscard]] Execute read_execute(std::string_view payload, std::size_t parameters, bool attributes,
                                   ParameterTypes& types);
[[nodiscard]] std::uint32_t execute_statement(std::string_view payload);  // its id alone
[[nodiscard]] std::string write_execute(const Execute& execute, bool attributes);

struct Query {
  std::string text;
  std::vector<Attribute> attributes;
};
[[nodiscard]] Query read_query(std::string_view payload, bool attributes);
[[nodiscard]] std::string write_query(const Query& query, bool attributes);

struct Prepared {
  std::uint32_t statement = 0;
  std::uint16_t columns = 0, parameters = 0;
};
[[nodiscard]] std::string write_prepared(const Prepared& prepared);
[[nodiscard]] Prepared read_prepared(std::string_view payload);

}  // namespace bellstair::mysql
