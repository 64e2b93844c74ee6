#include "modules/entry/api/large_text.h"

#include <array>
#include <cstdio>
#include <utility>

#include "modules/model/model.h"

namespace hemlockdoor::entry {

namespace {

constexpr unsigned char kFirstUnescaped = 0x20;
/// Room for the punctuation around the field.
constexpr std::size_t kReserveSlackBytes = 64;

bool NeedsEscape(char c) {
  return c == '"' || c == '\\' ||
         static_cast<unsigned char>(c) < kFirstUnescaped;
}

std::size_t EscapedSize(const std::string& text) {
  constexpr std::size_t kControlEscape = 5;
  std::size_t size = text.size();
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      ++size;
    } else if (NeedsEscape(c)) {
      size += kControlEscape;
    }
  }
  return size;
}

void AppendEscaped(std::string& out, const std::string& text) {
  std::size_t from = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (!NeedsEscape(c)) {
      continue;
    }
    out.append(text, from, i - from);
    from = i + 1;
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
      continue;
    }
    std::array<char, 8> code = {};
    std::snprintf(code.data(), code.size(), "\\u%04x",
                  static_cast<unsigned>(static_cast<unsigned char>(c)));
    out += code.data();
  }
  out.append(text, from, std::string::npos);
}

}  // namespace

std::string DumpWithText(const nlohmann::json& object,
                         const std::string& field,
                         const std::string& text) {
  HD_ASSERT(object.is_object());
  nlohmann::json others = object;
  others.erase(field);
  const std::string head = model::DumpJson(others);
  std::string out;
  out.reserve(head.size() + field.size() + EscapedSize(text) +
              kReserveSlackBytes);
  out.append(head, 0, head.size() - 1);
  out += others.empty() ? "\"" : ",\"";
  out += field;
  out += "\":\"";
  AppendEscaped(out, text);
  out += "\"}";
  return out;
}

core::Expected<std::shared_ptr<const std::string>> TakeText(
    nlohmann::json& object,
    const std::string& field,
    std::size_t max_bytes) {
  std::string text;
  if (object.is_object() && object.contains(field) &&
      object[field].is_string()) {
    text = std::move(object[field].get_ref<std::string&>());
    object[field] = std::string();
  }
  if (text.size() > max_bytes) {
    return core::MakeError(core::ErrorCode::kTooLarge,
                           "the string has " + std::to_string(text.size()) +
                               " bytes; at most " + std::to_string(max_bytes) +
                               " are allowed",
                           "$." + field);
  }
  text.shrink_to_fit();
  return std::make_shared<const std::string>(std::move(text));
}

}  // namespace hemlockdoor::entry
