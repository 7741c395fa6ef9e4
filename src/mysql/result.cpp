#include "mysql/result.hpp"

#include "sql/value.hpp"

namespace bellstair::mysql {
namespace {

std::string escape(std::string_view text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '\t':
        out += "\\t";
        break;
      case '\n':
        out += "\\n";
        break;
      case '\\':
        out += "\\\\";
        break;
      case '\0':
        out += "\\0";
        break;
      default:
        out += c;
    }
  }
  return out;
}

Cell unescape(std::string_view text) {
  if (text == "\\N") return std::nullopt;
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '\\' || i + 1 == text.size()) {
      out += text[i];
      continue;
    }
    const char c = text[++i];
    out += c == 't' ? '\t' : c == 'n' ? '\n' : c == '0' ? '\0' : c;
  }
  return out;
}

}  // namespace

std::string pack(const Shape& shape) {
  std::vector<sql::Value> values{static_cast<std::uint64_t>(shape.has_rows ? 1 : 0)};
  if (!shape.has_rows) {
    values.emplace_back(shape.affected);
    values.emplace_back(shape.insert_id);
  }
  for (const auto& name : shape.names) values.emplace_back(name);
  return sql::pack(values);
}

std::optional<Shape> unpack(std::string_view packed) {
  if (packed.empty()) return std::nullopt;
  const auto values = sql::unpack(packed);
  if (!values || values->empty()) return std::nullopt;
  const auto number = [&](std::size_t i) {
    const auto* value = i < values->size() ? std::get_if<std::uint64_t>(&(*values)[i]) : nullptr;
    return value == nullptr ? 0 : *value;
  };
  Shape out;
  out.has_rows = number(0) == 1;
  if (!out.has_rows) {
    out.affected = number(1);
    out.insert_id = number(2);
    return out;
  }
  for (std::size_t i = 1; i < values->size(); ++i)
    out.names.push_back(sql::as_text((*values)[i]).value_or(""));
  return out;
}

void append_row(std::string& body, const std::vector<Cell>& cells) {
  for (std::size_t i = 0; i < cells.size(); ++i) {
    if (i > 0) body += '\t';
    body += cells[i] ? escape(*cells[i]) : "\\N";
  }
  body += '\n';
}

std::vector<std::vector<Cell>> read_rows(std::string_view body, bool escaped) {
  std::vector<std::vector<Cell>> out;
  while (!body.empty()) {
    const auto end = std::min(body.find('\n'), body.size());
    auto line = body.substr(0, end);
    body.remove_prefix(std::min(end + 1, body.size()));
    auto& row = out.emplace_back();
    for (bool more = true; more;) {
      const auto tab = line.find('\t');
      const auto cell = line.substr(0, tab);
      row.push_back(escaped ? unescape(cell) : Cell(std::string(cell)));
      more = tab != std::string_view::npos;
      if (more) line.remove_prefix(tab + 1);
    }
  }
  return out;
}

}  // namespace bellstair::mysql
