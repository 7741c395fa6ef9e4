#include "mysql/command.hpp"

#include <utility>

#include "mysql/binary_value.hpp"
#include "mysql/payload.hpp"

namespace bellstair::mysql {
namespace {

constexpr std::uint8_t kCursorFlags = 7, kParameterCountSent = 8;  // flags of an execute
constexpr std::uint32_t kIterations = 1;  // of an execute; the protocol defines no other value

std::string null_bitmap(const std::vector<sql::Value>& values) {
  std::string bitmap(bitmap_bytes(values.size()), '\0');
  for (std::size_t i = 0; i < values.size(); ++i) {
    if (std::holds_alternative<sql::Null>(values[i])) set_bit(bitmap, i);
  }
  return bitmap;
}

}  // namespace

std::uint32_t read_statement_id(std::string_view payload) {
  Cursor in(payload);
  static_cast<void>(in.u8());
  return in.u32();
}

Execute read_execute(std::string_view payload, std::size_t parameters, bool with_attributes,
                     ParameterTypes& types) {
  Cursor in(payload);
  Execute out;
  static_cast<void>(in.u8());
  out.statement = in.u32();
  const auto flags = in.u8();
  if ((flags & kCursorFlags) != 0) throw MalformedPacket("cursors are not offered");
  static_cast<void>(in.u32());  // iterations
  const bool count_sent = with_attributes && (flags & kParameterCountSent) != 0;
  std::size_t count = parameters;
  if (count_sent) count = in.lenenc();
  if (count < parameters || count > kMaxParameters) throw MalformedPacket("a wrong number of parameters");
  if (count == 0) {
    if (!in.empty()) throw MalformedPacket("the statement has no parameters, but the execute sends values");
    return out;
  }
  const auto nulls = in.text(bitmap_bytes(count));
  std::vector<std::string> names(count);
  if (in.u8() != 0) {
    types.types.clear();
    for (std::size_t i = 0; i < count; ++i) {
      types.types.push_back(in.u16());
      if (count_sent) names[i] = in.lenenc_text();
    }
  }
  if (types.types.size() != count) throw MalformedPacket("parameters without types");
  for (std::size_t i = 0; i < count; ++i) {
    auto value = has_bit(nulls, i) ? sql::Value(sql::Null{}) : read_binary_value(in, types.types[i]);
    if (i < parameters) {
      out.values.push_back(std::move(value));
    } else {
      out.attributes.push_back({names[i], std::move(value)});
    }
  }
  if (!in.empty()) throw MalformedPacket("bytes after the last parameter");
  return out;
}

std::string write_execute(const Execute& execute, bool with_attributes) {
  auto all = execute.values;
  if (with_attributes) {
    for (const auto& attribute : execute.attributes) all.push_back(attribute.value);
  }
  Writer out;
  out.u8(kExecute).u32(execute.statement).u8(with_attributes ? kParameterCountSent : 0).u32(kIterations);
  if (with_attributes) out.lenenc(all.size());
  if (all.empty()) return out.take();
  out.text(null_bitmap(all)).u8(1);
  for (std::size_t i = 0; i < all.size(); ++i) {
    out.u16(binary_type_of(all[i]));
    if (!with_attributes) continue;
    const bool named = i >= execute.values.size();
    out.lenenc_text(named ? execute.attributes[i - execute.values.size()].name : std::string());
  }
  for (const auto& value : all) write_binary_value(out, value);
  return out.take();
}

Query read_query(std::string_view payload, bool with_attributes) {
  Cursor in(payload);
  Query out;
  static_cast<void>(in.u8());
  if (with_attributes) {
    const auto count = in.lenenc();
    if (in.lenenc() != 1) throw MalformedPacket("more than one set of attributes");
    if (count > kMaxParameters) throw MalformedPacket("too many attributes");
    if (count > 0) {
      const auto nulls = in.text(bitmap_bytes(count));
      if (in.u8() != 1) throw MalformedPacket("attributes without types");
      std::vector<std::uint16_t> types;
      for (std::uint64_t i = 0; i < count; ++i) {
        types.push_back(in.u16());
        out.attributes.push_back({std::string(in.lenenc_text()), sql::Null{}});
      }
      for (std::size_t i = 0; i < count; ++i) {
        if (!has_bit(nulls, i)) out.attributes[i].value = read_binary_value(in, types[i]);
      }
    }
  }
  out.text = in.rest();
  return out;
}

std::string write_query(const Query& query, bool with_attributes) {
  Writer out;
  out.u8(kQuery);
  if (with_attributes) {
    out.lenenc(query.attributes.size()).lenenc(1);
    if (!query.attributes.empty()) {
      std::vector<sql::Value> values;
      for (const auto& attribute : query.attributes) values.push_back(attribute.value);
      out.text(null_bitmap(values)).u8(1);
      for (const auto& attribute : query.attributes)
        out.u16(binary_type_of(attribute.value)).lenenc_text(attribute.name);
      for (const auto& value : values) write_binary_value(out, value);
    }
  }
  return out.text(query.text).take();
}

std::string write_prepared(const Prepared& prepared) {
  return Writer()
      .u8(0)
      .u32(prepared.statement)
      .u16(prepared.columns)
      .u16(prepared.parameters)
      .u8(0)
      .u16(0)
      .take();
}

Prepared read_prepared(std::string_view payload) {
  Cursor in(payload);
  if (in.u8() != 0) throw MalformedPacket("unexpected response to a prepare");
  Prepared out;
  out.statement = in.u32();
  out.columns = in.u16();
  out.parameters = in.u16();
  return out;
}

}  // namespace bellstair::mysql
