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

// Takes a number and its unit off the front. Returns the amount and the unit's position in the list.
template <std::size_t N>
std::optional<std::pair<double, std::size_t>> take_amount(std::string_view& text,
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

std::string show_whole(std::int64_t value) { return std::to_string(value); }
std::string show_number(double value) {
  char out[32];
  std::snprintf(out, sizeof out, "%g", value);
  return out;
}

}  // namespace

std::optional<Time> parse_duration(std::string_view text) {
  double sum = 0;
  std::size_t last = 0;
  for (bool first = true; first || !text.empty(); first = false) {
    const auto part = take_amount(text, kTimeUnits);
    if (!part || (!first && part->second <= last)) return std::nullopt;
    last = part->second;
    sum += part->first;
  }
  if (!(sum <= 9e18)) return std::nullopt;
  return Time(std::llround(sum));
}

std::optional<std::uint64_t> parse_size(std::string_view text) {
  const auto part = take_amount(text, kSizeUnits);
  if (!part || !text.empty() || !(part->first <= 9e18)) return std::nullopt;
  return static_cast<std::uint64_t>(std::llround(part->first));
}

std::string format_duration(Time time) {
  for (const auto& unit : {kTimeUnits[3], kTimeUnits[4], kTimeUnits[5]}) {
    if (static_cast<double>(time.count()) >= unit.factor)
      return show_number(static_cast<double>(time.count()) / unit.factor) + std::string(unit.name);
  }
  return std::to_string(time.count()) + "ns";
}

std::string show_size(std::uint64_t bytes) {
  for (const auto& unit : {kSizeUnits[0], kSizeUnits[2], kSizeUnits[4]}) {
    if (static_cast<double>(bytes) >= unit.factor)
      return show_number(static_cast<double>(bytes) / unit.factor) + std::string(unit.name);
  }
  return std::to_string(bytes) + "B";
}

// The optimal string alignment distance: Levenshtein's, where a transposition of neighbours counts once.
std::optional<std::string> nearest_name(std::string_view name, const std::set<std::string>& known) {
  std::optional<std::string> out;
  auto best = std::max<std::size_t>(name.size() / 3, 1) + 1;  // farther away is another word
  for (const auto& candidate : known) {
    std::vector<std::size_t> before, last, row(candidate.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < name.size(); ++i) {
      before = std::exchange(last, row);
      row[0] = i + 1;
      for (std::size_t j = 0; j < candidate.size(); ++j) {
        row[j + 1] = std::min({last[j] + (name[i] == candidate[j] ? 0 : 1), last[j + 1] + 1, row[j] + 1});
        if (i > 0 && j > 0 && name[i] == candidate[j - 1] && name[i - 1] == candidate[j])
          row[j + 1] = std::min(row[j + 1], before[j - 1] + 1);
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
  const auto whole = name.empty() ? what_ : what_.empty() ? name : what_ + '.' + name;
  problems_->push_back({at(name), whole + ": " + text});
}

const Value* Reader::need(const std::string& name, bool required) {
  const auto* value = find(name);
  if (value == nullptr && required) add_problem(name, "is missing");
  return value;
}

std::string Reader::text(const std::string& name, const std::optional<std::string>& fallback) {
  const auto* value = need(name, !fallback);
  if (value == nullptr) return fallback.value_or("");
  if (const auto* text = value->as<std::string>()) return *text;
  add_problem(name, std::string("expected a text, not ") + kind_of(*value));
  return fallback.value_or("");
}

bool Reader::flag(const std::string& name, bool fallback) {
  const auto* value = find(name);
  if (value == nullptr) return fallback;
  if (const auto* is = value->as<bool>()) return *is;
  add_problem(name, std::string("expected true or false, not ") + kind_of(*value));
  return fallback;
}

template <class T>
T Reader::within(const std::string& name, std::optional<T> value, T fallback, Range<T> range,
                 const char* expected, std::string (*show)(T)) {
  if (!value) {
    add_problem(name, expected);
    return fallback;
  }
  if (*value >= range.least && *value <= range.most) return *value;
  add_problem(name,
              show(*value) + " is out of range: expected " + show(range.least) + " to " + show(range.most));
  return fallback;
}

std::int64_t Reader::integer(const std::string& name, std::int64_t fallback, Range<std::int64_t> range) {
  const auto* value = find(name);
  if (value == nullptr) return fallback;
  const auto* number = value->as<std::int64_t>();
  return within<std::int64_t>(name, number == nullptr ? std::nullopt : std::optional(*number), fallback,
                              range, "expected a whole number", show_whole);
}

double Reader::number(const std::string& name, double fallback, Range<double> range) {
  const auto* value = find(name);
  if (value == nullptr) return fallback;
  std::optional<double> number;
  if (const auto* whole = value->as<std::int64_t>()) number = static_cast<double>(*whole);
  if (const auto* real = value->as<double>()) number = *real;
  return within<double>(name, number, fallback, range, "expected a number", show_number);
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
  return within<Time>(name, text == nullptr ? std::nullopt : parse_duration(*text), fallback, range,
                      R"(expected a duration, as "2ms" or "1m30s")", format_duration);
}

std::uint64_t Reader::size(const std::string& name, std::uint64_t fallback, Sizes range, const char* old_name,
                           std::uint64_t unit) {
  if (old_name != nullptr && find(old_name) != nullptr && find(name) == nullptr)
    return unit * static_cast<std::uint64_t>(
                      integer(old_name, 0, {1, static_cast<std::int64_t>(range.most / unit)}));
  const auto* value = find(name);
  if (value == nullptr) return fallback;
  const auto* text = value->as<std::string>();
  return within<std::uint64_t>(name, text == nullptr ? std::nullopt : parse_size(*text), fallback, range,
                               R"(expected a size, as "64KB" or "1MB")", show_size);
}

std::vector<std::string> Reader::texts(const std::string& name) {
  std::vector<std::string> out;
  const auto* value = find(name);
  if (value == nullptr) return out;
  if (const auto* alone = value->as<std::string>()) return {*alone};
  const auto* list = value->as<std::vector<Value>>();
  if (list == nullptr) {
    add_problem(name, std::string("expected a list of texts, not ") + kind_of(*value));
    return out;
  }
  for (const auto& item : *list) {
    if (const auto* text = item.as<std::string>()) {
      out.push_back(*text);
    } else {
      problems_->push_back({item.at, what_ + '.' + name + ": expected a text, not " + kind_of(item)});
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

std::string Reader::section_name(const std::string& type, const std::vector<std::string>& labels) const {
  auto name = what_.empty() ? type : what_ + '.' + type;
  for (const auto& label : labels) name += " \"" + label + '"';
  return name;
}

std::vector<Reader::Section> Reader::blocks(const std::string& type, std::size_t labels) {
  known_.insert(type);
  std::vector<Section> out;
  for (const auto& block : body_->blocks) {
    if (block.type != type) continue;
    const auto name = section_name(type, block.labels);
    if (block.labels.size() == labels) {
      out.push_back({block.labels, Reader(block.body, name, *problems_)});
    } else {
      problems_->push_back({block.at, name + ": expected " + std::to_string(labels) + " labels, not " +
                                          std::to_string(block.labels.size())});
    }
  }
  if (const auto* value = find(type)) sections_of(*value, type, labels, {}, out);
  return out;
}

// A list holds sections; an object is one, or holds them by their next label.
void Reader::sections_of(const Value& value, const std::string& type, std::size_t labels,
                         const std::vector<std::string>& given, std::vector<Section>& out) {
  if (const auto* list = value.as<std::vector<Value>>()) {
    for (const auto& item : *list) sections_of(item, type, labels, given, out);
    return;
  }
  const auto* object = value.as<std::vector<Member>>();
  if (object == nullptr) {
    problems_->push_back({value.at, section_name(type, given) + ": expected a block, not " + kind_of(value)});
    return;
  }
  if (given.size() < labels) {
    for (const auto& member : *object) {
      auto more = given;
      more.push_back(member.name);
      sections_of(member.value, type, labels, more, out);
    }
    return;
  }
  object_bodies_.push_back(std::make_shared<const Body>(Body{value.at, *object, {}}));
  out.push_back({given, Reader(*object_bodies_.back(), section_name(type, given), *problems_)});
}

std::optional<Reader::Section> Reader::block(const std::string& type) {
  auto all = blocks(type);
  if (all.empty()) return std::nullopt;
  for (std::size_t i = 1; i < all.size(); ++i) all[i].reader.add_problem("", "stands a second time");
  return std::move(all.front());
}

void Reader::finish() {
  const auto unknown = [&](Position at, const std::string& name, const char* what) {
    auto text = (what_.empty() ? std::string() : what_ + ": ") + "unknown " + what + " '" + name + "'";
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
