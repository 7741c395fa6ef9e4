// The statement and the tickets of requests in the fault tests.
#pragma once

#include <cstdio>
#include <string>

namespace bellstair::test {

inline const std::string kSelect = "SELECT a FROM sales_17.orders";

// The ticket of the n-th request.
inline std::string ticket(int n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016x", static_cast<unsigned>(n));
  return text;
}

}  // namespace bellstair::test
