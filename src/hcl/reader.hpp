// Typed reading of a body. Callers ask for each name once; problems are gathered, so that all errors of a
// file are reported together, and a name that nobody has asked for is an error that suggests the nearest
// known one.
#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "hcl/value.hpp"

namespace bellstair::hcl {

using Time = std::chrono::nanoseconds;

// "2ms", "1.5s", "1m30s": numbers with units, from the largest to the smallest; ns us ms s m h d.
[[nodiscard]] std::optional<Time> parse_duration(std::string_view text);
// "64KB", "1.5MB": a number with a unit; B KB MB GB, also as KiB MiB GiB. A KB is 1,024 bytes.
[[nodiscard]] std::optional<std::uint64_t> parse_size(std::string_view text);
// The name of `known` that `name` was most likely meant to be by the fewest slips, or none.
[[nodiscard]] std::optional<std::string> nearest_name(std::string_view name,
                                                      const std::set<std::string>& known);

template <class T>
struct Range {
  T least, most;
};
using Durations = Range<Time>;
using Sizes = Range<std::uint64_t>;

class Reader {
 public:
  struct Section;
  // `what`: how the body is called in errors, as "hook \"tag\"". Body and problems outlive the reader.
  Reader(const Body& body, std::string what, std::vector<Problem>& problems)
      : body_(&body), what_(std::move(what)), problems_(&problems) {}

  [[nodiscard]] bool has(const std::string& name);
  // Missing or null: `fallback`, or else an error. What is wrong is noted, and gives `fallback` or an empty
  // one.
  std::string text(const std::string& name, const std::optional<std::string>& fallback = std::nullopt);
  bool flag(const std::string& name, bool fallback);
  std::int64_t integer(const std::string& name, std::int64_t fallback, Range<std::int64_t> range);
  double number(const std::string& name, double fallback, Range<double> range);
  // `old_name`: an older name of the same, whose value is a number in units of `unit`.
  Time duration(const std::string& name, Time fallback, Durations range, const char* old_name = nullptr,
                Time unit = std::chrono::milliseconds(1));
  std::uint64_t size(const std::string& name, std::uint64_t fallback, Sizes range,
                     const char* old_name = nullptr, std::uint64_t unit = 1024);
  std::vector<std::string> texts(const std::string& name);  // a text alone is a list of one
  // One of `words`, by its position.
  std::size_t choice(const std::string& name, const std::vector<std::string>& words, std::size_t fallback);

  // Blocks of the type; as attributes too: an object, by label if there are labels, or a list of objects.
  std::vector<Section> blocks(const std::string& type, std::size_t labels = 0);
  std::optional<Section> block(const std::string& type);  // at most one

  void add_problem(const std::string& name, const std::string& text);  // at the attribute, or at the body
  void finish();                                                       // what is left is unknown

  [[nodiscard]] Position at(const std::string& name) const;
  [[nodiscard]] Position at() const { return body_->at; }
  [[nodiscard]] const std::string& what() const { return what_; }

 private:
  const Value* find(const std::string& name);
  [[nodiscard]] std::string section_name(const std::string& type,
                                         const std::vector<std::string>& labels) const;
  void sections_of(const Value& value, const std::string& type, std::size_t labels,
                   const std::vector<std::string>& given, std::vector<Section>& out);
  const Value* need(const std::string& name, bool required);
  template <class T>
  T within(const std::string& name, std::optional<T> value, T fallback, Range<T> range, const char* expected,
           std::string (*show)(T));

  const Body* body_;
  std::string what_;
  std::vector<Problem>* problems_;
  std::set<std::string> known_;
  std::vector<std::shared_ptr<const Body>> object_bodies_;  // of objects read as blocks
};

struct Reader::Section {
  std::vector<std::string> labels;
  Reader reader;
};

[[nodiscard]] std::string format_duration(Time time);  // "1.5ms"
[[nodiscard]] std::string show_size(std::uint64_t bytes);

}  // namespace bellstair::hcl
