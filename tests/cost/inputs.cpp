#include "inputs.hpp"

#include <algorithm>
#include <string_view>

#include "config/config.hpp"
#include "control/message.hpp"
#include "hcl/parse.hpp"
#include "hcl/reader.hpp"
#include "link/frame.hpp"
#include "mysql/command.hpp"
#include "mysql/mapping.hpp"
#include "mysql/packet.hpp"
#include "mysql/payload.hpp"
#include "mysql/result.hpp"
#include "mysql/result_reader.hpp"
#include "platform/http.hpp"
#include "platform/jsonrpc.hpp"
#include "platform/result_pages.hpp"
#include "sql/statement.hpp"

namespace bellstair::cost {
namespace {

constexpr std::size_t kPieceBytes = 100;  // of a stream that arrives in small pieces

// `part` repeated between `begin` and `end`, up to about `bytes` in all.
std::string repeat(std::string_view begin, std::string_view part, std::string_view end, std::size_t bytes) {
  std::string out(begin);
  while (out.size() + end.size() + part.size() <= bytes) out += part;
  return out.append(end);
}

// ---- contents

constexpr std::string_view kCall =
    R"({"jsonrpc":"2.0","id":1,"method":"lookup","params":{"txn":"0123456789abcdef",)";
constexpr std::string_view kStatus = R"({"kind":"status","node":"a",)";

std::string call_with_list(std::string_view item, std::size_t bytes) {
  return repeat(std::string(kCall) + R"("data":[)", std::string(item) + ",", std::string(item) + "]}}",
                bytes);
}
std::string call_with_empty_objects(std::size_t bytes) { return call_with_list("{}", bytes); }
std::string call_with_objects(std::size_t bytes) { return call_with_list(R"({"a":{}})", bytes); }
std::string call_with_lists(std::size_t bytes) { return call_with_list("[[]]", bytes); }
std::string call_with_numbers(std::size_t bytes) { return call_with_list("1e5", bytes); }
std::string call_with_equal_names(std::size_t bytes) {
  return repeat(kCall, R"("a":{},)", R"("a":{}}})", bytes);
}
std::string call_with_names(std::size_t bytes) {
  std::string out(kCall);
  for (int n = 0; out.size() + 20 < bytes; ++n) out += "\"" + std::to_string(n) + "\":{},";
  return out + R"("a":{}}})";
}
std::string call_with_long_number(std::size_t bytes) {
  return repeat(std::string(kCall) + R"("limit":1)", "7", "}}", bytes);
}
std::string call_with_long_fraction(std::size_t bytes) {
  return repeat(std::string(kCall) + R"("limit":0.)", "7", "e-9}}", bytes);
}
std::string call_with_escapes(std::size_t bytes) {
  return repeat(std::string(kCall) + R"("team":")", R"(\u00e9)", "\"}}", bytes);
}
std::string call_with_control_characters(std::size_t bytes) {
  return repeat(std::string(kCall) + R"("team":")", "a", "\x01\"}}", bytes);
}
std::string call_with_open_lists(std::size_t bytes) {
  return repeat(std::string(kCall) + R"("data":)", "[", "", bytes);
}
std::string call_with_statement(std::size_t bytes) {
  return repeat(std::string(kCall) + R"("limit":1000,"data":")", "YV8xLmEg", R"("}})", bytes);  // "a_1.a "
}

std::string status_with_list(std::string_view item, std::size_t bytes) {
  return repeat(std::string(kStatus) + R"("brokers":[)", std::string(item) + ",", std::string(item) + "]}",
                bytes);
}
std::string status_with_empty_objects(std::size_t bytes) { return status_with_list("{}", bytes); }
std::string status_with_brokers(std::size_t bytes) {
  return status_with_list(R"({"name":"a","region":"","in_force":{},"refused":{},"digest":""})", bytes);
}
std::string status_with_names(std::size_t bytes) {
  std::string out(kStatus);
  for (int n = 0; out.size() + 20 < bytes; ++n) out += "\"" + std::to_string(n) + "\":{},";
  return out + R"("a":{}})";
}

std::string changes_with_empty_objects(std::size_t bytes) {
  return repeat(R"({"seq":3,"results":[)", "{},", "{}]}", bytes);
}
std::string changes_of_one_engine(std::size_t bytes) {
  constexpr std::string_view kEngine =
      R"({"id":"s-00000001","address":"127.0.0.1:1","state":"in_service","zone":"z","kind":"k"})";
  return repeat(R"({"seq":3,"full":true,"results":[)", std::string(kEngine) + ",",
                std::string(kEngine) + "]}", bytes);
}

std::string open_comments(std::size_t bytes) { return repeat("SELECT ", "/*a*/ ", "/* ", bytes); }
std::string stars(std::size_t bytes) { return repeat("/*", "*", "", bytes); }
std::string line_comments(std::size_t bytes) { return repeat("", "--\n", "", bytes); }
std::string qualified_names(std::size_t bytes) { return repeat("SELECT ", "a_x.b,", "c", bytes); }
std::string open_quotes(std::size_t bytes) { return repeat("SELECT ", "'a''", "", bytes); }
std::string one_long_name(std::size_t bytes) { return repeat("SELECT ", "a_", ".b", bytes); }
std::string placeholder_list(std::size_t bytes) { return repeat("SELECT ", "?,", "?", bytes); }
std::string brackets(std::size_t bytes) { return repeat("", "(", "", bytes); }

constexpr std::string_view kHead = "HTTP/1.1 200 OK\r\n";
std::string headers(std::size_t bytes) {
  std::string out(kHead);
  for (int n = 0; out.size() + 20 < bytes; ++n) out += "a" + std::to_string(n) + ": b\r\n";
  return out + "\r\n";
}
std::string interim_responses(std::size_t bytes) { return repeat("", "HTTP/1.1 100 C\r\n\r\n", "", bytes); }
std::string small_chunks(std::size_t bytes) {
  return repeat(std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", "0\r\n\r\n", bytes);
}
std::string load_report(std::size_t bytes) { return repeat("", "x:1;", "x:", bytes); }
std::string rows(std::size_t bytes) { return repeat("", "a\tb\tc\n", "", bytes); }

std::string small_packets(std::size_t bytes) {
  return repeat("", mysql::frame(0, std::string(1, '\x0e')), "", bytes);
}
std::string one_packet(std::size_t bytes) { return mysql::frame(0, std::string(bytes, 'a')); }
std::string attributes(std::size_t bytes) {
  const std::size_t count = bytes / 8;
  mysql::Query query{"SELECT 1", {}};
  for (std::size_t i = 0; i < count; ++i) query.attributes.push_back({"a", sql::Null{}});
  return mysql::write_query(query, true);
}
std::string result_rows(std::size_t bytes) {
  std::string out = mysql::frame(1, std::string(1, '\x01'));
  out += mysql::frame(2, std::string("\x03"
                                     "def\0\0\0\x01"
                                     "a\x01"
                                     "a\x0c\x2d\0\xff\0\0\0\xfd\0\0\0\0\0",
                                     25));
  out += mysql::frame(3, std::string("\xfe\0\0\x02\0", 5));
  return repeat(out,
                mysql::frame(4,
                             "\x01"
                             "a"),
                "", bytes);
}

std::string references(std::size_t bytes) {
  return repeat("/* bellstair: ", "limit=?1 ", "*/ SELECT ?", bytes);
}
std::string repeated_options(std::size_t bytes) {
  return repeat("/* bellstair: ", "limit=1 ", "*/ SELECT 1", bytes);
}

std::string small_frames(std::size_t bytes) { return repeat("", link::encode_frame("a"), "", bytes); }
std::string one_frame(std::size_t bytes) { return link::encode_frame(std::string(bytes, 'a')); }

// Each item is a line with a name of its own.
std::string document_of_values(std::string_view value, std::size_t bytes) {
  std::string out;
  for (int n = 0; out.size() + 20 + value.size() < bytes; ++n)
    out.append("a" + std::to_string(n) + " = ").append(value).append("\n");
  return out;
}
std::string document_of_names(std::size_t bytes) { return document_of_values("1", bytes); }
std::string document_of_lists(std::size_t bytes) {
  return document_of_values("[[[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]]]", bytes);
}
std::string document_of_heredocs(std::size_t bytes) { return document_of_values("<<E\nb\nE", bytes); }
std::string document_of_object_names(std::size_t bytes) {
  return "a = {\n" + document_of_names(bytes) + "}\n";
}
std::string document_of_blocks(std::size_t bytes) {
  return repeat("", "a \"b\" {\n c = {d = {e = 1}}\n}\n", "", bytes);
}
std::string document_of_templates(std::size_t bytes) { return repeat("a = <<E\n", "$${", "\nE\n", bytes); }
std::string document_of_open_heredocs(std::size_t bytes) {
  return repeat("a = <<E\n", "b = <<E\n", "", bytes);
}
std::string document_of_spaces(std::size_t bytes) { return repeat("a = [", " ", "1]\n", bytes); }
std::string document_of_comments(std::size_t bytes) { return repeat("a = {b = 1 ", "/* */", "\n}\n", bytes); }
std::string document_of_one_name(std::size_t bytes) { return repeat("", "a", " = 1\n", bytes); }
std::string json_document(std::size_t bytes) { return repeat(R"({"a":[)", "{},", "{}]}", bytes); }

// ---- readers

const config::Names& names() {
  static const config::Names known = [] {
    config::Names out;
    out.classes["lookup"] = 0;
    out.class_names = {"lookup"};
    return out;
  }();
  return known;
}

void read_call(const std::string& bytes) { static_cast<void>(platform::parse_rpc(bytes, names())); }
void read_message(const std::string& bytes) {
  try {
    static_cast<void>(control::decode(bytes));
  } catch (const control::MalformedMessage&) {
    return;
  }
}
void read_changes(const std::string& bytes) {
  try {
    static_cast<void>(config::parse_changes(bytes, names()));
  } catch (const config::Invalid&) {
    return;
  }
}
void read_statement(const std::string& bytes) {
  static_cast<void>(sql::table_group(bytes));
  static_cast<void>(sql::first_word(bytes));
  static_cast<void>(sql::placeholders(bytes));
}

// Calls `take` for each piece of the bytes, until it returns false.
template <class Take>
void read_in_pieces(const std::string& bytes, std::size_t piece_bytes, Take take) {
  for (std::string_view left = bytes; !left.empty(); left.remove_prefix(std::min(piece_bytes, left.size()))) {
    if (!take(left.substr(0, piece_bytes))) return;
  }
}
void read_response_in_pieces(const std::string& bytes, std::size_t piece_bytes) {
  platform::HttpReader reader(bytes.size());
  read_in_pieces(bytes, piece_bytes, [&](std::string_view piece) { return reader.feed(piece); });
}
void read_response(const std::string& bytes) { read_response_in_pieces(bytes, bytes.size()); }
void read_slow_response(const std::string& bytes) { read_response_in_pieces(bytes, kPieceBytes); }
void read_load_report(const std::string& bytes) { static_cast<void>(platform::parse_load_report(bytes)); }
void read_result_page(const std::string& bytes) {
  platform::HttpResponse response;
  response.headers["result-pages"] = "1";
  response.body = bytes;
  platform::ResultPages pages;
  core::AttemptEnded result;
  static_cast<void>(pages.append(response, result));
}

void read_packets_in_pieces(const std::string& bytes, std::size_t piece_bytes) {
  mysql::PacketReader reader(bytes.size());
  read_in_pieces(bytes, piece_bytes, [&](std::string_view piece) {
    reader.feed(piece);
    while (reader.next()) continue;
    return true;
  });
}
void read_packets(const std::string& bytes) { read_packets_in_pieces(bytes, bytes.size()); }
void read_slow_packets(const std::string& bytes) { read_packets_in_pieces(bytes, kPieceBytes); }
void read_query(const std::string& bytes) {
  try {
    static_cast<void>(mysql::read_query(bytes, true));
  } catch (const mysql::MalformedPacket&) {
    return;
  }
}
// The statement has one bound value, as long as the statement.
void read_options(const std::string& bytes) {
  static const policy::Settings settings = [] {
    policy::Settings out;
    out.classes.emplace_back();
    return out;
  }();
  try {
    static_cast<void>(
        mysql::map_statement(bytes, {std::string(bytes.size(), '1')}, {}, 0, names(), settings));
  } catch (const mysql::InvalidStatement&) {
    return;
  }
}
void read_result(const std::string& bytes) {
  mysql::PacketReader packets(bytes.size());
  mysql::ResultReader result;
  packets.feed(bytes);
  for (auto packet = packets.next(); packet; packet = packets.next())
    static_cast<void>(result.read(packet->payload, false));
}
void read_result_body(const std::string& bytes) { static_cast<void>(mysql::read_rows(bytes, true)); }

void read_frames_in_pieces(const std::string& bytes, std::size_t piece_bytes) {
  link::FrameDecoder decoder(bytes.size());
  read_in_pieces(bytes, piece_bytes, [&](std::string_view piece) {
    return !decoder.feed(piece, [](std::string_view) { return true; });
  });
}
void read_frames(const std::string& bytes) { read_frames_in_pieces(bytes, bytes.size()); }
void read_slow_frames(const std::string& bytes) { read_frames_in_pieces(bytes, kPieceBytes); }

void read_document(const std::string& bytes) {
  try {
    const auto body = hcl::parse(bytes, "document");
    std::vector<hcl::Problem> problems;
    hcl::Reader reader(body, "", problems);
    for (const char* name : {"fleet", "region", "classes", "tenants", "hooks"})
      static_cast<void>(reader.has(name));
    static_cast<void>(reader.blocks("a", 1));
    reader.finish();
  } catch (const hcl::Invalid&) {
    return;
  }
}

}  // namespace

const std::vector<Input>& inputs() {
  static const std::vector<Input> all{
      {"call/empty objects", call_with_empty_objects, read_call},
      {"call/objects", call_with_objects, read_call},
      {"call/lists", call_with_lists, read_call},
      {"call/numbers", call_with_numbers, read_call},
      {"call/equal names", call_with_equal_names, read_call},
      {"call/names", call_with_names, read_call},
      {"call/long number", call_with_long_number, read_call},
      {"call/long fraction", call_with_long_fraction, read_call},
      {"call/escapes", call_with_escapes, read_call},
      {"call/control characters", call_with_control_characters, read_call},
      {"call/open lists", call_with_open_lists, read_call},
      {"call/statement", call_with_statement, read_call},
      {"control message/empty objects", status_with_empty_objects, read_message},
      {"control message/brokers", status_with_brokers, read_message},
      {"control message/names", status_with_names, read_message},
      {"change log/empty objects", changes_with_empty_objects, read_changes},
      {"change log/one engine", changes_of_one_engine, read_changes},
      {"statement/open comments", open_comments, read_statement},
      {"statement/stars", stars, read_statement},
      {"statement/line comments", line_comments, read_statement},
      {"statement/qualified names", qualified_names, read_statement},
      {"statement/open quotes", open_quotes, read_statement},
      {"statement/one long name", one_long_name, read_statement},
      {"statement/placeholders", placeholder_list, read_statement},
      {"statement/brackets", brackets, read_statement},
      {"response/headers", headers, read_response},
      {"response/interim responses", interim_responses, read_response},
      {"response/small chunks", small_chunks, read_response},
      {"response/small chunks in pieces", small_chunks, read_slow_response},
      {"response/load report", load_report, read_load_report},
      {"response/rows", rows, read_result_page},
      {"packets/small", small_packets, read_packets},
      {"packets/small in pieces", small_packets, read_slow_packets},
      {"packets/one in pieces", one_packet, read_slow_packets},
      {"packets/attributes", attributes, read_query},
      {"packets/references to a long value", references, read_options},
      {"packets/repeated options", repeated_options, read_options},
      {"packets/result rows", result_rows, read_result},
      {"packets/result body", rows, read_result_body},
      {"frames/small", small_frames, read_frames},
      {"frames/small in pieces", small_frames, read_slow_frames},
      {"frames/one in pieces", one_frame, read_slow_frames},
      {"document/names", document_of_names, read_document},
      {"document/names of an object", document_of_object_names, read_document},
      {"document/one long name", document_of_one_name, read_document},
      {"document/lists", document_of_lists, read_document},
      {"document/blocks", document_of_blocks, read_document},
      {"document/heredocs", document_of_heredocs, read_document},
      {"document/open heredocs", document_of_open_heredocs, read_document},
      {"document/templates", document_of_templates, read_document},
      {"document/spaces", document_of_spaces, read_document},
      {"document/comments", document_of_comments, read_document},
      {"document/JSON", json_document, read_document},
  };
  return all;
}

}  // namespace bellstair::cost
