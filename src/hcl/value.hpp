// What a settings file in HCL holds, as plain values that know where they stand.
// After the HCL native syntax specification (attributes, labelled blocks, lists, objects); no expressions.
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
  std::string text;  // what was found, and what was expected
};

// The text is one line a problem, each `file:line:column: what`.
struct Invalid : std::runtime_error {
  Invalid(const std::string& file, std::vector<Problem> found);
  std::vector<Problem> problems;
};

struct Member;
struct Value {
  Position at;
  std::variant<std::nullptr_t, bool, std::int64_t, double, std::string, std::vector<Value>,
               std::vector<Member>>
      is;
  template <class T>
  [[nodiscard]] const T* as() const {
    return std::get_if<T>(&is);
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
