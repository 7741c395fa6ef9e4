// What the parser builds while it reads: finished values and names on stacks, and the open blocks.
#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "hcl/parse.hpp"
#include "hcl/value.hpp"

namespace bellstair::hcl {

// Ends the parse; parse() turns it into Invalid, which names the file too.
struct ParseFailure {
  Problem problem;
};

struct ParseState {
  // Sizes of the stacks where a list or an object began.
  struct NestedStart {
    std::size_t values, names;
  };

  bool json = false;
  std::vector<Block> open_blocks;  // the file's own body first, in a block without a type
  std::vector<Member> names;
  std::vector<Value> values;
  std::vector<NestedStart> nested;  // the lists and objects that are open
  Position text_at;
  std::string text;
  std::string heredoc_delimiter;

  // Throws ParseFailure at a depth over kMaxDepth.
  void enter_nested(Position at) {
    if (open_blocks.size() + nested.size() > kMaxDepth)
      throw ParseFailure{{at, "is nested more than " + std::to_string(kMaxDepth) + " deep"}};
  }
  void push(Position at, decltype(Value::is) value) { values.push_back({at, std::move(value)}); }
};

}  // namespace bellstair::hcl
