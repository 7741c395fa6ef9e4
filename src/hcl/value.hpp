// The contents of an HCL file as plain values with their positions in the file. Follows the HCL native syntax
// specification (attributes, labelled blocks, lists, objects) without expressions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

namespace bellstair::hcl {

struct Position {
  std::size_t line = 1, column = 1;  // both from 1; columns count bytes
};

struct Problem {
  Position at;
  std::string text;  // the problem, and what was expected
};

// The message has one line for each problem, in the form `file:line:column: problem`.
struct Invalid : std::runtime_error {
  Invalid(const std::string& file, std::vector<Problem> found);
  std::vector<Problem> problems;
};

struct Member;
struct Value {
  Position at;
  std::variant<std::nullptr_t, bool, std::int64_t, double, std::string, std::vector<Value>,
               std::vector<Member>>
      content;
  template <class T>
  [[nodiscard]] const T* as() const {
    return std::get_if<T>(&content);
  }
};
struct Member {  // of an object
  Position at;
  std::string name;
  Value value;
};

struct Block;
struct Body {
  Position at;
  std::vector<Member> attributes;
  std::vector<Block> blocks;
};
struct Block {
  Position at;
  std::string type;
  std::vector<std::string> labels;
  Body body;
};

[[nodiscard]] const char* kind_of(const Value& value);  // "a text", "a list", ...

}  // namespace bellstair::hcl
