// The state of the parser: stacks of the finished values and names, and the open blocks.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "hcl/parse.hpp"
#include "hcl/value.hpp"

namespace bellstair::hcl {

// Aborts the parse. parse() converts it to Invalid, which also names the file.
struct ParseFailure {
  Problem problem;
};

// The line of each name's first use in an object or a body.
using FirstLines = std::map<std::string, std::size_t>;

struct OpenBlock {
  Block block;
  FirstLines first_lines;  // of its attributes
};

struct ParseState {
  // Sizes of the stacks at the start of a list or an object.
  struct NestedStart {
    std::size_t values, names;
  };

  bool json = false;
  std::vector<OpenBlock> open_blocks;  // the first has no type and contains the body of the file
  std::vector<Member> names;
  std::vector<Value> values;
  std::vector<NestedStart> nested;  // one for each open list or object
  Position text_at;
  std::string text;
  std::string heredoc_delimiter;

  // Throws ParseFailure if the depth exceeds kMaxDepth.
  void enter_nested(Position at) {
    if (open_blocks.size() + nested.size() > kMaxDepth)
      throw ParseFailure{
          {at, "lists, objects and blocks are nested more than " + std::to_string(kMaxDepth) + " deep"}};
  }
  void push(Position at, decltype(Value::content) value) { values.push_back({at, std::move(value)}); }
};

}  // namespace bellstair::hcl
