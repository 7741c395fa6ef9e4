#include "hcl/reader.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <memory>
#include <numeric>
#include <utility>

namespace bellstair::hcl {
namespace {

struct Unit {
  std::string_view name;
  double factor;  // to nanoseconds or bytes
};
constexpr std::array<Unit, 7> kTimeUnits{
    {{"d", 86400e9}, {"h", 3600e9}, {"m", 60e9}, {"s", 1e9}, {"ms", 1e6}, {"us", 1e3}, {"ns", 1}}};
constexpr std::array<Unit, 7> kSizeUnits{{{"GB", 1 << 30},
                                          {"GiB", 1 << 30},
                                          {"MB", 1 << 20},
                                          {"MiB", 1 << 20},
                                          {"KB", 1024},
                                          {"KiB", 1024},
                                          {"B", 1}}};

// Parses a number and its unit and removes them from the front of `text`. Returns the amount in the smallest
// unit and the position of the unit in the list.
template <std::size_t N>
std::optional<std::pair<double, std::size_t>> parse_amount(std::string_view& text,
                                                           const std::array<Unit, N>& units) {
  double value = 0;
  if (text.empty() || text[0] < '0' || text[0] > '9') return std::nullopt;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
  if (error != std::errc()) return std::nullopt;
  text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  const auto letters = std::min(text.find_first_of("0123456789."), text.size());
  const auto found = std::ranges::find(units, text.substr(0, letters), &Unit::name);
  if (found == units.end()) return std::nullopt;
  text.remove_prefix(letters);
  return std::pair(value * found->factor, static_cast<std::size_t>(found - units.begin()));
}

std::string format_integer(std::int64_t value) { return std::to_string(value); }
std::string format_number(double value) {
  char out[32];
  std::snprintf(out, sizeof out, "%g", value);
  return out;
}

}  // namespace

std::optional<Time> parse_duration(std::string_view text) {
  double sum = 0;
  std::size_t last = 0;
  for (bool first = true; first || !text.empty(); first = false) {
    const auto part = parse_amount(text, kTimeUnits);
    if (!part || (!first && part->second <= last)) return std::nullopt;
    last = part->second;
    sum += part->first;
  }
  if (!(sum <= 9e18)) return std::nullopt;
  return Time(std::llround(sum));
}

std::optional<std::uint64_t> parse_size(std::string_view text) {
  const auto part = parse_amount(text, kSizeUnits);
  if (!part || !text.empty() || !(part->first <= 9e18)) return std::nullopt;
  return static_cast<std::uint64_t>(std::llround(part->first));
}

std::string format_duration(Time time) {
  for (const auto& unit : {kTimeUnits[3], kTimeUnits[4], kTimeUnits[5]}) {
    if (static_cast<double>(time.count()) >= unit.factor)
      return format_number(static_cast<double>(time.count()) / unit.factor) + std::string(unit.name);
  }
  return std::to_string(time.count()) + "ns";
}

std::string format_size(std::uint64_t bytes) {
  for (const auto& unit : {kSizeUnits[0], kSizeUnits[2], kSizeUnits[4]}) {
    if (static_cast<double>(bytes) >= unit.factor)
      return format_number(static_cast<double>(bytes) / unit.factor) + std::string(unit.name);
  }
  return std::to_string(bytes) + "B";
}

// Uses the optimal string alignment distance: the Levenshtein distance, but a transposition of neighbours
// counts once.
std::optional<std::string> nearest_name(std::string_view name, const std::set<std::string>& known) {
  std::optional<std::string> out;
  auto best = std::max<std::size_t>(name.size() / 3, 1) + 1;  // names at a greater distance are not suggested
  for (const auto& candidate : known) {
    std::vector<std::size_t> second_last_row, last_row, row(candidate.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < name.size(); ++i) {
      second_last_row = std::exchange(last_row, row);
      row[0] = i + 1;
      for (std::size_t j = 0; j < candidate.size(); ++j) {
        row[j + 1] =
            std::min({last_row[j] + (name[i] == candidate[j] ? 0 : 1), last_row[j + 1] + 1, row[j] + 1});
        if (i > 0 && j > 0 && name[i] == candidate[j - 1] && name[i - 1] == candidate[j])
          row[j + 1] = std::min(row[j + 1], second_last_row[j - 1] + 1);
      }
    }
    if (row.back() < best) {
      best = row.back();
      out = candidate;
    }
  }
  return out;
}

const Value* Reader::find(const std::string& name) {
  known_.insert(name);
  const auto found = std::ranges::find(body_->attributes, name, &Member::name);
  return found == body_->attributes.end() || found->value.as<std::nullptr_t>() != nullptr ? nullptr
                                                                                          : &found->value;
}

bool Reader::has(const std::string& name) {
  return find(name) != nullptr || std::ranges::find(body_->blocks, name, &Block::type) != body_->blocks.end();
}

Position Reader::at(const std::string& name) const {
  const auto found = std::ranges::find(body_->attributes, name, &Member::name);
  return found == body_->attributes.end() ? body_->at : found->value.at;
}

void Reader::add_problem(const std::string& name, const std::string& text) {
  const auto full_name = name.empty()           ? description_
                         : description_.empty() ? name
                                                : description_ + '.' + name;
  problems_->push_back({at(name), full_name + ": " + text});
}

const Value* Reader::find_attribute(const std::string& name, bool required) {
  const auto* value = find(name);
  if (value == nullptr && required) add_problem(name, "is missing");
  return value;
}

std::string Reader::text(const std::string& name, const std::optional<std::string>& fallback) {
  const auto* value = find_attribute(name, !fallback);
  if (value == nullptr) return fallback.value_or("");
  if (const auto* text = value->as<std::string>()) return *text;
  add_problem(name, std::string("expected a text, not ") + kind_of(*value));
  return fallback.value_or("");
}

bool Reader::flag(const std::string& name, bool fallback) {
  const auto* value = find(name);
  if (value == nullptr) return fallback;
  if (const auto* boolean = value->as<bool>()) return *boolean;
  add_problem(name, std::string("expected true or false, not ") + kind_of(*value));
  return fallback;
}

template <class T>
T Reader::check_range(const std::string& name, std::optional<T> value, T fallback, Range<T> range,
                      const char* expected, std::string (*format)(T)) {
  if (!value) {
    add_problem(name, expected);
    return fallback;
  }
  if (*value >= range.least && *value <= range.most) return *value;
  add_problem(name, format(*value) + " is out of range: expected " + format(range.least) + " to " +
                        format(range.most));
  return fallback;
}

std::int64_t Reader::integer(const std::string& name, std::int64_t fallback, Range<std::int64_t> range) {
  const auto* value = find(name);
  if (value == nullptr) return fallback;
  const auto* number = value->as<std::int64_t>();
  return check_range<std::int64_t>(name, number == nullptr ? std::nullopt : std::optional(*number), fallback,
                                   range, "expected a whole number", format_integer);
}

double Reader::number(const std::string& name, double fallback, Range<double> range) {
  const auto* value = find(name);
  if (value == nullptr) return fallback;
  std::optional<double> number;
  if (const auto* whole = value->as<std::int64_t>()) number = static_cast<double>(*whole);
  if (const auto* real = value->as<double>()) number = *real;
  return check_range<double>(name, number, fallback, range, "expected a number", format_number);
}

Time Reader::duration(const std::string& name, Time fallback, Durations range, const char* old_name,
                      Time unit) {
  if (old_name != nullptr && find(old_name) != nullptr && find(name) == nullptr) {
    const auto most = range.most / unit;
    return unit * integer(old_name, 0, {std::min<std::int64_t>(1, most), most});
  }
  const auto* value = find(name);
  if (value == nullptr) return fallback;
  const auto* text = value->as<std::string>();
  return check_range<Time>(name, text == nullptr ? std::nullopt : parse_duration(*text), fallback, range,
                           R"(expected a duration, such as "2ms" or "1m30s")", format_duration);
}

std::uint64_t Reader::size(const std::string& name, std::uint64_t fallback, Sizes range, const char* old_name,
                           std::uint64_t unit) {
  if (old_name != nullptr && find(old_name) != nullptr && find(name) == nullptr)
    return unit * static_cast<std::uint64_t>(
                      integer(old_name, 0, {1, static_cast<std::int64_t>(range.most / unit)}));
  const auto* value = find(name);
  if (value == nullptr) return fallback;
  const auto* text = value->as<std::string>();
  return check_range<std::uint64_t>(name, text == nullptr ? std::nullopt : parse_size(*text), fallback, range,
                                    R"(expected a size, such as "64KB" or "1MB")", format_size);
}

std::vector<std::string> Reader::texts(const std::string& name) {
  std::vector<std::string> out;
  const auto* value = find(name);
  if (value == nullptr) return out;
  if (const auto* single = value->as<std::string>()) return {*single};
  const auto* list = value->as<std::vector<Value>>();
  if (list == nullptr) {
    add_problem(name, std::string("expected a list of texts, not ") + kind_of(*value));
    return out;
  }
  for (const auto& item : *list) {
    if (const auto* text = item.as<std::string>()) {
      out.push_back(*text);
    } else {
      problems_->push_back({item.at, description_ + '.' + name + ": expected a text, not " + kind_of(item)});
    }
  }
  return out;
}

std::size_t Reader::choice(const std::string& name, const std::vector<std::string>& words,
                           std::size_t fallback) {
  const auto* value = find(name);
  if (value == nullptr) return fallback;
  const auto* text = value->as<std::string>();
  const auto found = text == nullptr ? words.end() : std::ranges::find(words, *text);
  if (found != words.end()) return static_cast<std::size_t>(found - words.begin());
  std::string expected;
  for (const auto& word : words) expected += (expected.empty() ? "expected \"" : " or \"") + word + '"';
  add_problem(name, expected);
  return fallback;
}

std::string Reader::section_description(const std::string& type,
                                        const std::vector<std::string>& labels) const {
  auto name = description_.empty() ? type : description_ + '.' + type;
  for (const auto& label : labels) name += " \"" + label + '"';
  return name;
}

std::vector<Reader::Section> Reader::blocks(const std::string& type, std::size_t labels) {
  known_.insert(type);
  std::vector<Section> out;
  for (const auto& block : body_->blocks) {
    if (block.type != type) continue;
    const auto name = section_description(type, block.labels);
    if (block.labels.size() == labels) {
      out.push_back({block.labels, Reader(block.body, name, *problems_)});
    } else {
      problems_->push_back({block.at, name + ": expected " + std::to_string(labels) + " labels, not " +
                                          std::to_string(block.labels.size())});
    }
  }
  if (const auto* value = find(type)) collect_sections(*value, type, labels, {}, out);
  return out;
}

// A list contains sections. An object is a section, or contains sections by their next label.
void Reader::collect_sections(const Value& value, const std::string& type, std::size_t labels,
                              const std::vector<std::string>& outer_labels, std::vector<Section>& out) {
  if (const auto* list = value.as<std::vector<Value>>()) {
    for (const auto& item : *list) collect_sections(item, type, labels, outer_labels, out);
    return;
  }
  const auto* object = value.as<std::vector<Member>>();
  if (object == nullptr) {
    problems_->push_back(
        {value.at, section_description(type, outer_labels) + ": expected a block, not " + kind_of(value)});
    return;
  }
  if (outer_labels.size() < labels) {
    for (const auto& member : *object) {
      auto extended_labels = outer_labels;
      extended_labels.push_back(member.name);
      collect_sections(member.value, type, labels, extended_labels, out);
    }
    return;
  }
  object_bodies_.push_back(std::make_shared<const Body>(Body{value.at, *object, {}}));
  out.push_back(
      {outer_labels, Reader(*object_bodies_.back(), section_description(type, outer_labels), *problems_)});
}

std::optional<Reader::Section> Reader::block(const std::string& type) {
  auto all = blocks(type);
  if (all.empty()) return std::nullopt;
  for (std::size_t i = 1; i < all.size(); ++i) all[i].reader.add_problem("", "is defined more than once");
  return std::move(all.front());
}

void Reader::finish() {
  const auto unknown = [&](Position at, const std::string& name, const char* what) {
    auto text =
        (description_.empty() ? std::string() : description_ + ": ") + "unknown " + what + " '" + name + "'";
    if (const auto meant = nearest_name(name, known_)) text += ": did you mean '" + *meant + "'?";
    problems_->push_back({at, std::move(text)});
  };
  for (const auto& attribute : body_->attributes) {
    if (!known_.contains(attribute.name)) unknown(attribute.at, attribute.name, "attribute");
  }
  for (const auto& block : body_->blocks) {
    if (!known_.contains(block.type)) unknown(block.at, block.type, "block");
  }
}

}  // namespace bellstair::hcl
