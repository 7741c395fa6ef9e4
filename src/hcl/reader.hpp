// Typed access to the attributes and blocks of a body. Problems are collected, so that all errors of a file
// are reported together. A name in the body that the caller has not read is an error, and its message
// suggests the nearest known name.
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

// Parses "2ms", "1.5s" or "1m30s": numbers with units, from the largest to the smallest. The units are ns,
// us, ms, s, m, h and d.
[[nodiscard]] std::optional<Time> parse_duration(std::string_view text);
// Parses "64KB" or "1.5MB": a number with a unit. The units are B, KB, MB, GB, KiB, MiB and GiB; KB and KiB
// are both 1,024 bytes.
[[nodiscard]] std::optional<std::uint64_t> parse_size(std::string_view text);
// Returns the known name with the smallest edit distance to `name`, or none if all are too different.
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
  // `description` names the body in errors, such as "hook \"tag\"". Body and problems must outlive the
  // reader.
  Reader(const Body& body, std::string description, std::vector<Problem>& problems)
      : body_(&body), description_(std::move(description)), problems_(&problems) {}

  [[nodiscard]] bool has(const std::string& name);
  // Each returns the value of an attribute. A missing or null attribute gives `fallback`; without a
  // fallback it is an error. An invalid value is added to the problems and gives `fallback` or an empty
  // value.
  std::string text(const std::string& name, const std::optional<std::string>& fallback = std::nullopt);
  bool flag(const std::string& name, bool fallback);
  std::int64_t integer(const std::string& name, std::int64_t fallback, Range<std::int64_t> range);
  double number(const std::string& name, double fallback, Range<double> range);
  // `old_name` is an older name of the attribute, whose value is a number in units of `unit`.
  Time duration(const std::string& name, Time fallback, Durations range, const char* old_name = nullptr,
                Time unit = std::chrono::milliseconds(1));
  std::uint64_t size(const std::string& name, std::uint64_t fallback, Sizes range,
                     const char* old_name = nullptr, std::uint64_t unit = 1024);
  std::vector<std::string> texts(const std::string& name);  // a single text is read as a list of one
  // The value must be one of `words`. Returns its position.
  std::size_t choice(const std::string& name, const std::vector<std::string>& words, std::size_t fallback);

  // Returns the blocks of the type. They may also be written as an attribute: an object, nested by label if
  // there are labels, or a list of objects.
  std::vector<Section> blocks(const std::string& type, std::size_t labels = 0);
  std::optional<Section> block(const std::string& type);  // at most one

  // Adds a problem at the attribute, or at the body if there is no such attribute.
  void add_problem(const std::string& name, const std::string& text);
  void finish();  // reports names that were not read as unknown

  [[nodiscard]] Position at(const std::string& name) const;
  [[nodiscard]] Position at() const { return body_->at; }
  [[nodiscard]] const std::string& description() const { return description_; }

 private:
  const Value* find(const std::string& name);
  [[nodiscard]] std::string section_description(const std::string& type,
                                                const std::vector<std::string>& labels) const;
  void collect_sections(const Value& value, const std::string& type, std::size_t labels,
                        const std::vector<std::string>& outer_labels, std::vector<Section>& out);
  const Value* find_attribute(const std::string& name, bool required);
  template <class T>
  T check_range(const std::string& name, std::optional<T> value, T fallback, Range<T> range,
                const char* expected, std::string (*format)(T));

  const Body* body_;
  std::string description_;
  std::vector<Problem>* problems_;
  std::set<std::string> known_;
  std::vector<std::shared_ptr<const Body>> object_bodies_;  // of objects that are read as blocks
};

struct Reader::Section {
  std::vector<std::string> labels;
  Reader reader;
};

[[nodiscard]] std::string format_duration(Time time);  // "1.5ms"
[[nodiscard]] std::string format_size(std::uint64_t bytes);

}  // namespace bellstair::hcl
