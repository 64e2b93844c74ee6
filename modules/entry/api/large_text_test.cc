#include "modules/entry/api/large_text.h"

#include <boost/test/unit_test.hpp>

namespace hemlockdoor::entry {

BOOST_AUTO_TEST_SUITE(LargeTextTest)

// Guards against payloads and results that change on their way: the writer
// escapes by itself, so every byte class is read back by a JSON parser.
BOOST_AUTO_TEST_CASE(WrittenTextIsReadBackUnchanged) {
  std::string all;
  for (int code = 0; code < 128; ++code) {
    all += static_cast<char>(code);
  }
  const std::string texts[] = {"",
                               "plain",
                               "\"",
                               "\\",
                               "a\"b\\c",
                               all,
                               "\xc3\xa9 \xe2\x82\xac \xf0\x9f\x98\x80",
                               std::string(100'000, '"')};
  for (const nlohmann::json& object :
       {nlohmann::json::object(),
        nlohmann::json{{"id", "x"}, {"text", "old"}}}) {
    for (const std::string& text : texts) {
      const std::string written = DumpWithText(object, "text", text);
      nlohmann::json read = nlohmann::json::parse(written);
      BOOST_TEST(read["text"].get<std::string>() == text);
      BOOST_TEST(read.value("id", "") == object.value("id", ""));
      const auto taken = TakeText(read, "text", text.size());
      BOOST_REQUIRE(taken.has_value());
      BOOST_TEST(**taken == text);
      BOOST_TEST(read["text"].get<std::string>().empty());
    }
  }
}

// Guards against a text that changes when it is cut out of the JSON text
// instead of being read by the parser.
BOOST_AUTO_TEST_CASE(CutTextIsTheTextThatAParserReads) {
  const std::string texts[] = {
      R"({"text":"plain"})",
      R"({"a":{"text":"inner"},"b":["text","x"],"text" : "outer","c":1})",
      R"({"text":"\"\\\/\b\f\n\r\t\u0000\u0041\u00e9\u20AC","b":"\\"})",
      "{\"text\":\"\xc3\xa9 \xe2\x82\xac \xf0\x9f\x98\x80\"}",
      R"({"b":"{\"text\":\"no\"}","text":""})"};
  for (const std::string& text : texts) {
    const nlohmann::json whole = nlohmann::json::parse(text);
    std::string rest = text;
    const std::optional<std::string> cut = CutText(rest, "text");
    BOOST_REQUIRE(cut.has_value());
    BOOST_TEST(*cut == whole["text"].get<std::string>());
    nlohmann::json others = nlohmann::json::parse(rest);
    BOOST_TEST(others["text"].get<std::string>().empty());
    others["text"] = *cut;
    BOOST_TEST(others == whole);
  }
}

// Guards against input that the parser refuses, or reads in another way, being
// accepted because its text was cut out before.
BOOST_AUTO_TEST_CASE(OtherTextsAreLeftToTheParser) {
  const std::string texts[] = {"",
                               "[\"text\",\"x\"]",
                               R"({"text":1})",
                               R"({"other":"x"})",
                               R"({"text":"a","text":"b"})",
                               R"({"text":"a","te\u0078t":"b"})",
                               R"({"text":"\x"})",
                               R"({"text":"\u12g4"})",
                               R"({"text":"\ud83d\ude00"})",
                               R"({"text":"open)",
                               R"({"text":"open\)",
                               "{\"text\":\"line\nbreak\"}",
                               "{\"text\":\"\xc0\x80\"}",
                               "{\"text\":\"\xed\xa0\x80\"}",
                               "{\"text\":\"\xf4\x90\x80\x80\"}",
                               "{\"text\":\"\xe2\x82\"}"};
  for (const std::string& text : texts) {
    std::string rest = text;
    BOOST_TEST(!CutText(rest, "text").has_value(), text);
    BOOST_TEST(rest == text);
  }
}

// Guards against a text above the limit, and against a crash on other types.
BOOST_AUTO_TEST_CASE(TakeTextChecksSizeAndType) {
  nlohmann::json object = {{"text", "abc"}, {"number", 1}};
  const auto too_large = TakeText(object, "text", 2);
  BOOST_REQUIRE(!too_large.has_value());
  BOOST_TEST((too_large.error().code == core::ErrorCode::kTooLarge));
  BOOST_TEST((*TakeText(object, "number", 9))->empty());
  nlohmann::json list = nlohmann::json::array();
  BOOST_TEST((*TakeText(list, "text", 9))->empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::entry
