// The handshake of the MySQL client/server protocol and its methods of authentication.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "mysql/protocol.hpp"

namespace bellstair::mysql {

// The first packet of a server.
struct Greeting {
  std::string version, nonce, plugin;  // the nonce: 20 bytes
  std::uint32_t connection = 0, capabilities = 0;
};
[[nodiscard]] std::string write_greeting(const Greeting& greeting);
[[nodiscard]] Greeting read_greeting(std::string_view payload);

// The answer of a client: who it is, and its proof.
struct Login {
  std::uint32_t capabilities = 0;
  std::string user, answer, plugin, database;
};
[[nodiscard]] std::string write_login(const Login& login);
[[nodiscard]] Login read_login(std::string_view payload);

// Proofs of the password by the two methods of authentication; empty for an empty password.
[[nodiscard]] std::string native_auth_response(std::string_view password, std::string_view nonce);
[[nodiscard]] std::string sha2_answer(std::string_view password, std::string_view nonce);
[[nodiscard]] bool same_secret(std::string_view a, std::string_view b);  // in constant time

}  // namespace bellstair::mysql
