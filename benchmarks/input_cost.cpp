// The time to read inputs that are expensive for their length, by their length; the same inputs as in the
// test of growth. "_BigO" gives the time per byte, and "_RMS" how far the times are from a straight line.
#include <benchmark/benchmark.h>

#include "cost/inputs.hpp"

namespace bellstair::cost {
namespace {

constexpr std::int64_t kSmallest = 16 << 10, kLargest = 256 << 10;  // bytes; a client's line has up to 256 KB

void read_input(benchmark::State& state, const Input& input) {
  const auto text = input.make(static_cast<std::size_t>(state.range(0)));
  for ([[maybe_unused]] const auto& iteration : state) input.read(text);
  const auto size = static_cast<std::int64_t>(text.size());
  state.SetBytesProcessed(state.iterations() * size);
  state.SetComplexityN(size);
}

}  // namespace
}  // namespace bellstair::cost

int main(int argc, char** argv) {
  using namespace bellstair::cost;
  benchmark::Initialize(&argc, argv);
  for (const auto& input : inputs()) {
    benchmark::RegisterBenchmark(input.name.c_str(), read_input, input)
        ->RangeMultiplier(4)
        ->Range(kSmallest, kLargest)
        ->Unit(benchmark::kMicrosecond)
        ->Complexity(benchmark::oN);
  }
  benchmark::RunSpecifiedBenchmarks();
}
