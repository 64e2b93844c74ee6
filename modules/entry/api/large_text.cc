#include "modules/entry/api/large_text.h"

#include <algorithm>
#include <array>
#include <charconv>
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

/// Range of bytes between two quotation marks.
struct TextRange {
  std::size_t begin = 0;
  std::size_t end = 0;
};

/// Returns the range of the string whose opening quotation mark is at `quote`,
/// or nothing when the string does not end.
std::optional<TextRange> StringAt(std::string_view json, std::size_t quote) {
  for (std::size_t i = quote + 1; i < json.size(); ++i) {
    if (json[i] == '\\') {
      ++i;
    } else if (json[i] == '"') {
      return TextRange{quote + 1, i};
    }
  }
  return std::nullopt;
}

std::size_t SkipSpace(std::string_view json, std::size_t from) {
  return std::min(json.find_first_not_of(" \t\r\n", from), json.size());
}

bool HasAt(std::string_view json, std::size_t place, char wanted) {
  return place < json.size() && json[place] == wanted;
}

/// Returns the value of the field when it occurs exactly once at the top level
/// and is a string.
std::optional<TextRange> FindText(std::string_view json,
                                  std::string_view field) {
  std::optional<TextRange> value;
  int depth = 0;
  bool key_expected = false;
  for (std::size_t i = 0; i < json.size(); ++i) {
    const char c = json[i];
    if (c == '{' || c == '[') {
      key_expected = ++depth == 1 && c == '{';
    } else if (c == '}' || c == ']') {
      --depth;
    } else if (c == ',') {
      key_expected = depth == 1;
    } else if (c == '"') {
      const std::optional<TextRange> text = StringAt(json, i);
      if (!text) {
        return std::nullopt;
      }
      i = text->end;
      if (!std::exchange(key_expected, false)) {
        continue;
      }
      const std::string_view key =
          json.substr(text->begin, text->end - text->begin);
      // An escaped key may be the same field.
      if (key.find('\\') != std::string_view::npos || (key == field && value)) {
        return std::nullopt;
      }
      if (key == field) {
        const std::size_t colon = SkipSpace(json, text->end + 1);
        const std::size_t quote = SkipSpace(json, colon + 1);
        if (!HasAt(json, colon, ':') || !HasAt(json, quote, '"')) {
          return std::nullopt;
        }
        value = StringAt(json, quote);
        if (!value) {
          return std::nullopt;
        }
        i = value->end;
      }
    }
  }
  return value;
}

/// Returns the code of the escape "\\uXXXX" whose digits are at the start of
/// `digits`; nothing when it is malformed or one half of a surrogate pair.
std::optional<char32_t> EscapedCode(std::string_view digits) {
  constexpr std::size_t kDigits = 4;
  constexpr int kHexBase = 16;
  unsigned code = 0;
  const std::string_view four = digits.substr(0, kDigits);
  const auto [end, failure] =
      std::from_chars(four.data(), four.data() + four.size(), code, kHexBase);
  const bool complete = failure == std::errc() && four.size() == kDigits &&
                        end == four.data() + kDigits;
  if (!complete || (code >= 0xd800 && code <= 0xdfff)) {
    return std::nullopt;
  }
  return code;
}

/// Returns the length of the valid UTF-8 sequence at the start of `text`, or 0.
std::size_t Utf8Length(std::string_view text) {
  const auto byte = [text](std::size_t i) {
    return i < text.size() ? static_cast<unsigned char>(text[i]) : 0U;
  };
  const unsigned first = byte(0);
  if (first < 0x80) {
    return 1;
  }
  const std::size_t length = first >= 0xf0 ? 4 : first >= 0xe0 ? 3 : 2;
  if (first < 0xc2 || first > 0xf4) {
    return 0;
  }
  // The second byte is limited further: no overlong forms, no surrogates, and
  // nothing above U+10FFFF.
  const unsigned low = first == 0xe0 ? 0xa0 : first == 0xf0 ? 0x90 : 0x80;
  const unsigned high = first == 0xed ? 0x9f : first == 0xf4 ? 0x8f : 0xbf;
  if (byte(1) < low || byte(1) > high) {
    return 0;
  }
  for (std::size_t i = 2; i < length; ++i) {
    if (byte(i) < 0x80 || byte(i) > 0xbf) {
      return 0;
    }
  }
  return length;
}

void AppendUtf8(char*& out, char32_t code) {
  const auto put = [&out](unsigned value) {
    *out++ = static_cast<char>(static_cast<unsigned char>(value));
  };
  if (code < 0x80) {
    put(code);
  } else if (code < 0x800) {
    put(0xc0 | (code >> 6U));
    put(0x80 | (code & 0x3fU));
  } else {
    put(0xe0 | (code >> 12U));
    put(0x80 | ((code >> 6U) & 0x3fU));
    put(0x80 | (code & 0x3fU));
  }
}

constexpr std::string_view kEscapes = "\"\\/bfnrt";
constexpr std::string_view kEscaped = "\"\\/\b\f\n\r\t";

/// Returns true if `text` is the content of a JSON string that `Unescape` can
/// read.
bool IsPlainString(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    if (static_cast<unsigned char>(text[i]) < kFirstUnescaped) {
      return false;
    }
    if (text[i] != '\\') {
      const std::size_t length = Utf8Length(text.substr(i));
      if (length == 0) {
        return false;
      }
      i += length;
    } else if (HasAt(text, i + 1, 'u')) {
      if (!EscapedCode(text.substr(i + 2))) {
        return false;
      }
      i += 6;
    } else {
      if (i + 1 >= text.size() ||
          kEscapes.find(text[i + 1]) == std::string_view::npos) {
        return false;
      }
      i += 2;
    }
  }
  return true;
}

/// Unescapes the content of a JSON string in place, which never makes it
/// longer. Returns the new end.
char* Unescape(char* begin, const char* end) {
  char* out = begin;
  for (const char* in = begin; in < end;) {
    if (*in != '\\') {
      *out++ = *in++;
    } else if (in[1] == 'u') {
      const std::string_view digits(in + 2, 4);
      in += 6;
      AppendUtf8(out, EscapedCode(digits).value_or(0));
    } else {
      *out++ = kEscaped.at(kEscapes.find(in[1]));
      in += 2;
    }
  }
  return out;
}

}  // namespace

std::optional<std::string> CutText(std::string& json, std::string_view field) {
  const std::optional<TextRange> range = FindText(json, field);
  if (!range || !IsPlainString(std::string_view(json).substr(
                    range->begin, range->end - range->begin))) {
    return std::nullopt;
  }
  std::string others = json.substr(0, range->begin);
  others.append(json, range->end, std::string::npos);
  char* const begin = json.data() + range->begin;
  const char* const end = Unescape(begin, json.data() + range->end);
  json.resize(static_cast<std::size_t>(end - json.data()));
  json.erase(0, range->begin);
  return std::exchange(json, std::move(others));
}

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
