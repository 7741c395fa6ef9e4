// Inputs that peers may send and that are expensive to read for their length, for each reader of such bytes.
#pragma once

#include <cstddef>
#include <ostream>
#include <string>
#include <vector>

namespace bellstair::cost {

struct Input {
  std::string name;  // READER/CONTENT
  std::string (*make)(std::size_t bytes);
  void (*read)(const std::string& bytes);

  friend std::ostream& operator<<(std::ostream& out, const Input& input) { return out << input.name; }
};

[[nodiscard]] const std::vector<Input>& inputs();

}  // namespace bellstair::cost
