// The terms of an attempt: the memory granted to it and its priority at the engine.
#pragma once

#include "policy/class_table.hpp"
#include "policy/context.hpp"

namespace bellstair::policy {

/// Chooses the terms by the estimates of the request and of its class.
class AttemptTermsPolicy {
 public:
  AttemptTermsPolicy(const Context& context, const ClassTable& classes)
      : context_(context), classes_(classes) {}

  [[nodiscard]] AttemptTerms terms(const Request& request) const;

 private:
  [[nodiscard]] double memory_grant_mb(const Request& request) const;
  [[nodiscard]] std::uint8_t priority(const Request& request) const;

  const Context& context_;
  const ClassTable& classes_;
};

}  // namespace bellstair::policy
