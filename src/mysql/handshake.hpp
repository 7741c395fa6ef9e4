// The handshake of the MySQL client/server protocol and its authentication methods.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "mysql/protocol.hpp"

namespace bellstair::mysql {

// The first packet that a server sends.
struct Greeting {
  std::string version, nonce, plugin;  // the nonce has 20 bytes
  std::uint32_t connection = 0, capabilities = 0;
};
[[nodiscard]] std::string write_greeting(const Greeting& greeting);
[[nodiscard]] Greeting read_greeting(std::string_view payload);

// The client's response to the greeting: its user name and the proof of its password.
struct Login {
  std::uint32_t capabilities = 0;
  std::string user, auth_response, plugin, database;
};
[[nodiscard]] std::string write_login(const Login& login);
[[nodiscard]] Login read_login(std::string_view payload);

// The proof of the password for each authentication method; empty for an empty password.
[[nodiscard]] std::string native_auth_response(std::string_view password, std::string_view nonce);
[[nodiscard]] std::string sha2_auth_response(std::string_view password, std::string_view nonce);
[[nodiscard]] bool equal_in_constant_time(std::string_view a, std::string_view b);

}  // namespace bellstair::mysql
