#include "common/bounded_json.hpp"

#include <string>
#include <utility>
#include <vector>

namespace bellstair {
namespace {

using nlohmann::json;

// Builds the document from the events of the JSON library's parser. Its own builder with a callback searches
// the enclosing list at the end of each object, which takes quadratic time.
class DocumentBuilder {
 public:
  explicit DocumentBuilder(const JsonLimits& limits) : limits_(limits) {}

  [[nodiscard]] json take_document() { return std::move(document_); }
  [[nodiscard]] JsonError error() const { return {fault_, message_}; }

  // The interface that json::sax_parse() calls; `false` stops the parser.
  bool null() { return add_scalar(nullptr); }
  bool boolean(bool value) { return add_scalar(value); }
  bool number_integer(json::number_integer_t value) { return add_scalar(value); }
  bool number_unsigned(json::number_unsigned_t value) { return add_scalar(value); }
  bool number_float(json::number_float_t value, const std::string& /*text*/) { return add_scalar(value); }
  bool string(std::string& value) { return add_scalar(std::move(value)); }
  bool binary(json::binary_t& /*value*/) { return false; }  // no part of JSON text
  bool start_object(std::size_t /*size*/) { return begin_container(json::object()); }
  bool end_object() { return end_container(); }
  bool start_array(std::size_t /*size*/) { return begin_container(json::array()); }
  bool end_array() { return end_container(); }

  bool key(std::string& name) {
    if (!is_within_limits(open_.size())) return false;
    if (open_.back() != nullptr) member_ = &(*open_.back())[std::move(name)];
    return true;
  }

  bool parse_error(std::size_t /*position*/, const std::string& /*token*/, const json::exception& error) {
    fault_ = JsonFault::syntax;
    message_ = error.what();
    return false;
  }

 private:
  template <class Value>
  bool add_scalar(Value&& value) {
    if (!is_within_limits(open_.size())) return false;
    if (is_kept()) insert(std::forward<Value>(value));
    return true;
  }

  bool begin_container(json&& empty) {
    if (!is_within_limits(open_.size())) return false;
    json* inserted = is_kept() ? &insert(std::move(empty)) : nullptr;
    open_.push_back(open_.size() < limits_.kept_depth ? inserted : nullptr);
    return true;
  }

  bool end_container() {
    open_.pop_back();
    return is_within_limits(open_.size());
  }

  [[nodiscard]] bool is_kept() const { return open_.empty() || open_.back() != nullptr; }

  json& insert(json&& value) {
    if (open_.empty()) return document_ = std::move(value);
    if (open_.back()->is_object()) return *member_ = std::move(value);
    return open_.back()->emplace_back(std::move(value));
  }

  bool is_within_limits(std::size_t depth) {
    if (depth > limits_.max_depth) return fail(JsonFault::too_deep, "nested too deeply");
    if (++elements_ > limits_.max_elements) return fail(JsonFault::too_many_elements, "too many elements");
    return true;
  }

  bool fail(JsonFault fault, const char* message) {
    fault_ = fault;
    message_ = message;
    return false;
  }

  const JsonLimits& limits_;
  json document_;
  std::vector<json*> open_;  // the enclosing arrays and objects; nullptr: its content is dropped
  json* member_ = nullptr;   // the value of the innermost kept object's last name
  std::size_t elements_ = 0;
  JsonFault fault_ = JsonFault::syntax;
  std::string message_;
};

}  // namespace

json parse_bounded_json(std::string_view text, const JsonLimits& limits) {
  DocumentBuilder builder(limits);
  if (!json::sax_parse(text, &builder)) throw builder.error();
  return builder.take_document();
}

}  // namespace bellstair
