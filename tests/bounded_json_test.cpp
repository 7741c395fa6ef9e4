// Tests the parser of JSON texts that others send, and how the platform's client protocol uses it.
#include "common/bounded_json.hpp"

#include <gtest/gtest.h>

#include <random>

#include "platform/jsonrpc.hpp"

namespace bellstair {
namespace {
using nlohmann::json;

std::optional<JsonFault> fault_of(std::string_view text, const JsonLimits& limits) {
  try {
    static_cast<void>(parse_bounded_json(text, limits));
  } catch (const JsonError& error) {
    return error.code();
  }
  return std::nullopt;
}

// The JSON library's own parser is the reference, for texts that are valid and for changed ones.
TEST(BoundedJson, ParsesWhatTheLibraryParses) {
  const std::vector<std::string> texts{
      "null", " [ ] ",
      R"({"a":1,"b":-2,"c":1.5e3,"d":"\u00e9\n","e":[true,false,null,{}],"a":{"f":[[],{"g":[]}]}})",
      R"([{"a":{"b":[1,[2,{"c":3}]]}},[],{},"",0])"};
  std::mt19937_64 random(52);
  std::size_t accepted = 0, rejected = 0;
  for (int round = 0; round < 4000; ++round) {
    auto text = texts[random() % texts.size()];
    for (auto changes = random() % 3; changes > 0; --changes)
      text[random() % text.size()] = "{}[],:\"0a\\"[random() % 10];
    const auto expected = json::parse(text, nullptr, false);
    if (expected.is_discarded()) {
      EXPECT_EQ(fault_of(text, {}), JsonFault::syntax) << text;
      ++rejected;
    } else {
      EXPECT_EQ(parse_bounded_json(text, {}), expected) << text;
      ++accepted;
    }
  }
  EXPECT_GT(accepted, 1000U);
  EXPECT_GT(rejected, 1000U);
}

TEST(BoundedJson, LimitsDepthOfNamesAndValues) {
  const JsonLimits limits{.max_depth = 2};
  EXPECT_EQ(fault_of("[[1]]", limits), std::nullopt);
  EXPECT_EQ(fault_of("[[[]]]", limits), std::nullopt);
  EXPECT_EQ(fault_of("[[[1]]]", limits), JsonFault::too_deep);
  EXPECT_EQ(fault_of(R"({"a":{"b":{"c":1}}})", limits), JsonFault::too_deep);
  EXPECT_EQ(fault_of("[[[[", limits), JsonFault::too_deep);
  EXPECT_EQ(fault_of("[[", limits), JsonFault::syntax);
}

TEST(BoundedJson, LimitsNumberOfElements) {
  const std::string text = R"({"a":[1,2],"b":{}})";  // two names, two numbers, three times begin and end
  EXPECT_EQ(fault_of(text, {.max_elements = 10}), std::nullopt);
  EXPECT_EQ(fault_of(text, {.max_elements = 9}), JsonFault::too_many_elements);
}

TEST(BoundedJson, LeavesOutWhatIsNestedBelowTheKeptDepth) {
  const std::string text = R"({"a":{"b":[1,{"c":2}],"d":{"e":3},"f":4},"g":[5,[6]]})";
  EXPECT_EQ(parse_bounded_json(text, {.kept_depth = 2}),
            json::parse(R"({"a":{"b":[],"d":{},"f":4},"g":[5,[]]})"));
  EXPECT_EQ(parse_bounded_json(text, {.kept_depth = 1}), json::parse(R"({"a":{},"g":[]})"));
  EXPECT_EQ(parse_bounded_json(text, {.kept_depth = 0}), json::object());
  EXPECT_EQ(fault_of(R"({"a":{"b":[1,{"c":}]}})", {.kept_depth = 1}), JsonFault::syntax);
}

platform::RpcMessage parse_call(const std::string& params) {
  config::Names names;
  names.classes["load"] = 0;
  return platform::parse_rpc(R"({"jsonrpc":"2.0","id":7,"method":"load","params":)" + params + "}", names);
}

// Messages of empty objects held the broker for seconds. They are answered as before, by their id.
TEST(BoundedJson, CallsWithNestedValuesAreAnsweredByTheirId) {
  const std::string identity = R"("txn":"0123456789abcdef","limit":1000)";
  for (const auto* data : {"[{},{}]", R"({"a":{"b":[]}})", "7"}) {
    const auto answer = parse_call("{" + identity + R"(,"data":)" + data + "}");
    const auto* error = std::get_if<platform::RpcError>(&answer);
    ASSERT_NE(error, nullptr) << data;
    EXPECT_EQ(error->id, 7U) << data;
    EXPECT_EQ(error->code, platform::kRpcInvalidParams) << data;
    EXPECT_EQ(error->message, "data is not a text") << data;
  }
  const auto unknown_member = parse_call("{" + identity + R"(,"data":"YQ==","other":[{"a":[{}]}]})");
  ASSERT_TRUE(std::holds_alternative<platform::RpcRequest>(unknown_member));
  EXPECT_EQ(std::get<platform::RpcRequest>(unknown_member).submission.body, "a");
  const auto list = parse_call("[{}]");
  ASSERT_TRUE(std::holds_alternative<platform::RpcError>(list));
  EXPECT_EQ(std::get<platform::RpcError>(list).message, "params is not an object");
  const auto deep = parse_call(R"({"a":[[[[[[[[1]]]]]]]]})");
  ASSERT_TRUE(std::holds_alternative<platform::RpcError>(deep));
  EXPECT_EQ(std::get<platform::RpcError>(deep).message, "nested too deeply");
}

}  // namespace
}  // namespace bellstair
