// Odd variants of JSON messages, for tests of decoders.
#pragma once

#include <cstddef>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hemlockdoor::model::testing {

/// Odd values, as JSON text, for any field.
inline std::vector<std::string> OddValues() {
  constexpr std::size_t kNesting = 100'000;
  constexpr std::size_t kLongText = 1'000'000;
  return {std::string(kNesting, '[') + std::string(kNesting, ']'),
          std::string(kNesting, '['),
          "18446744073709551615",
          "9223372036854775808",
          "9007199254740993",
          "4294967297",
          "2147483648",
          "1e300",
          "-1e300",
          "1e999",
          "-1",
          "0",
          "0.5",
          "true",
          "null",
          "\"NaN\"",
          "\"\"",
          "\"127.0.0.1:0\"",
          "\"127.0.0.1:-1\"",
          "\"127.0.0.1:65536\"",
          "\"127.0.0.1:99999\"",
          "[]",
          "{}",
          "[[]]",
          "[null]",
          "[{}]",
          "[-1]",
          "[1e300]",
          "{\"a\":1}",
          "\"" + std::string(kLongText, 'x') + "\"",
          "\"\xff\xfe\""};
}

/// Calls `use` with each variant of the text in which one value, at any depth,
/// is replaced by an odd one or left out, and with truncated texts.
inline void ForEachVariant(const std::string& text,
                           const std::function<void(const std::string&)>& use) {
  constexpr std::size_t kTruncationStep = 7;
  const std::string mark = "\"@odd@\"";
  const nlohmann::json document = nlohmann::json::parse(text);
  const nlohmann::json flat = document.flatten();
  std::vector<nlohmann::json::json_pointer> places;
  for (const auto& item : flat.items()) {
    nlohmann::json::json_pointer place(item.key());
    while (!place.empty()) {
      places.push_back(place);
      place = place.parent_pointer();
    }
  }
  const std::vector<std::string> values = OddValues();
  for (const nlohmann::json::json_pointer& place : places) {
    nlohmann::json changed = document;
    changed[place] = "@odd@";
    const std::string pattern = changed.dump();
    const std::size_t at = pattern.find(mark);
    for (const std::string& value : values) {
      use(pattern.substr(0, at) + value + pattern.substr(at + mark.size()));
    }
    nlohmann::json without = document;
    nlohmann::json& parent = without[place.parent_pointer()];
    if (parent.is_object()) {
      parent.erase(place.back());
      use(without.dump());
    }
  }
  for (const std::string& value : values) {
    use(value);
  }
  for (std::size_t length = 0; length < text.size();
       length += kTruncationStep) {
    use(text.substr(0, length));
  }
}

}  // namespace hemlockdoor::model::testing
