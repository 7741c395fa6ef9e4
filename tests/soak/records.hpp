// What the stand-ins of the soak test tell its judge: a line each on standard output, in words apart by
// spaces.
#pragma once

#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <sstream>
#include <string>
#include <vector>

namespace bellstair::soak {

// Milliseconds of the steady clock, which all processes of a machine share.
[[nodiscard]] inline double now_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// One write, so that lines of several threads do not mix.
template <class... Words>
void record(const Words&... words) {
  std::ostringstream line;
  line.precision(15);
  ((line << words << ' '), ...);
  auto text = std::move(line).str();
  text.back() = '\n';
  [[maybe_unused]] const auto put = ::write(STDOUT_FILENO, text.data(), text.size());
}

[[nodiscard]] inline std::vector<std::string> names_of(const std::string& line) {
  std::istringstream in(line);
  std::vector<std::string> out;
  for (std::string word; in >> word;) out.push_back(word);
  return out;
}

// Engines tell:  post ENGINE TICKET CLASS MAX_MS AT   shed ENGINE TICKET AT   end ENGINE TICKET AT
// Clients tell:  ask TICKET CLASS KEY LIMIT_MS BROKER FIRST_ON_CONNECTION AT   left TICKET AT   half TICKET
// AT
//                answer TICKET KIND BODY_IS_ITS_OWN AT   unanswered TICKET AT
int run_engine(const std::string& name, const std::string& address, std::uint64_t seed);
int run_client(const std::vector<std::string>& brokers, std::uint64_t seed, double seconds);

}  // namespace bellstair::soak
