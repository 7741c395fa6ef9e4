#include "step_counter.hpp"

#include <cstddef>

namespace {
constexpr std::size_t kBytesPerStep = 16;  // about what one basic block copies or compares
std::uint64_t step_count = 0;

void count_bytes(std::size_t size) { step_count += size / kBytesPerStep; }
}  // namespace

std::uint64_t bellstair::cost::steps() { return step_count; }

extern "C" {

// The compiler calls it at the start of each basic block.
void __sanitizer_cov_trace_pc() {
  ++step_count;
}  // NOLINT(bugprone-reserved-identifier): the compiler's name

// These take the place of the C library's functions, also for its callers in the C++ library.
void* memmove(void* to, const void* from, std::size_t size) {
  count_bytes(size);
  auto* out = static_cast<unsigned char*>(to);
  const auto* in = static_cast<const unsigned char*>(from);
  if (out <= in) {
    for (std::size_t i = 0; i < size; ++i) out[i] = in[i];
  } else {
    for (std::size_t i = size; i > 0; --i) out[i - 1] = in[i - 1];
  }
  return to;
}

void* memcpy(void* to, const void* from, std::size_t size) { return memmove(to, from, size); }

const void* memchr(const void* bytes, int wanted, std::size_t size) {
  const auto* in = static_cast<const unsigned char*>(bytes);
  std::size_t i = 0;
  while (i < size && in[i] != static_cast<unsigned char>(wanted)) ++i;
  count_bytes(i);
  return i < size ? in + i : nullptr;
}

int memcmp(const void* left, const void* right, std::size_t size) {
  const auto* a = static_cast<const unsigned char*>(left);
  const auto* b = static_cast<const unsigned char*>(right);
  std::size_t i = 0;
  while (i < size && a[i] == b[i]) ++i;
  count_bytes(i);
  return i < size ? static_cast<int>(a[i]) - static_cast<int>(b[i]) : 0;
}

}  // extern "C"
