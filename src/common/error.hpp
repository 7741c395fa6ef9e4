// Base classes of the errors that one module reports to another.
#pragma once

#include <stdexcept>
#include <string>

namespace bellstair {

// An error whose what() names the place and the reason in words for operators. Modules derive their own
// types. An operation whose failure is expected returns std::optional<ItsError>; others throw.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// An error that callers distinguish by a code, an enum of the module that reports it.
template <class Code>
class CodedError : public Error {
 public:
  CodedError(Code code, const std::string& message) : Error(message), code_(code) {}

  [[nodiscard]] Code code() const { return code_; }

 private:
  Code code_;
};

}  // namespace bellstair
