// Reading a peer's bytes takes work in proportion to their number, whatever they are.
#include <gtest/gtest.h>

#include <cctype>

#include "inputs.hpp"
#include "step_counter.hpp"

namespace bellstair::cost {
namespace {

constexpr std::size_t kBytes = std::size_t{16} << 10;
// Twice the bytes may take twice the steps, and a little more: the depth of a sorted map grows with its size.
constexpr double kMaxGrowth = 2.5;

std::uint64_t steps_to_read(const Input& input, std::size_t bytes) {
  const auto text = input.make(bytes);
  const auto before = steps();
  input.read(text);
  return steps() - before;
}

class InputCost : public testing::TestWithParam<Input> {};

// Messages of empty objects took quadratic time to parse, so that one client held the broker for seconds.
TEST_P(InputCost, GrowsNoFasterThanInput) {
  static_cast<void>(steps_to_read(GetParam(), kBytes));  // whatever is done once
  const auto single = steps_to_read(GetParam(), kBytes);
  const auto twice = steps_to_read(GetParam(), 2 * kBytes);
  EXPECT_LE(static_cast<double>(twice), kMaxGrowth * static_cast<double>(single)) << single << " steps";
}

std::string test_name(const testing::TestParamInfo<Input>& info) {
  std::string out;
  bool capital = true;
  for (const char c : info.param.name) {
    const bool letter = std::isalpha(static_cast<unsigned char>(c)) != 0;
    if (letter) out += capital ? static_cast<char>(std::toupper(static_cast<unsigned char>(c))) : c;
    capital = !letter;
  }
  return out;
}
INSTANTIATE_TEST_SUITE_P(Readers, InputCost, testing::ValuesIn(inputs()), test_name);

// A count that misses the readers' work would let every growth pass.
TEST(StepCounter, CountsReadersWork) {
  for (const auto& input : inputs()) {
    if (input.name != "call/empty objects" && input.name != "packets/one in pieces") continue;
    EXPECT_GT(steps_to_read(input, kBytes), kBytes / 16) << input.name;
  }
}

}  // namespace
}  // namespace bellstair::cost
