// Base of the errors that one part of the program reports to another.
#pragma once

#include <stdexcept>
#include <string>

namespace bellstair {

// An error whose what() names the place and the reason, as an operator may read it. Parts derive their own
// types; an operation that fails in the ordinary course returns std::optional<ItsError>, others throw.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// An error that callers tell apart by a code, an enum of the part that reports it.
template <class Code>
class CodedError : public Error {
 public:
  CodedError(Code code, const std::string& message) : Error(message), code_(code) {}

  [[nodiscard]] Code code() const { return code_; }

 private:
  Code code_;
};

}  // namespace bellstair
