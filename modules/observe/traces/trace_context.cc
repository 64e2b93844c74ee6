#include "modules/observe/traces/trace_context.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace hemlockdoor::observe {

namespace {

constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;
constexpr std::size_t kVersionEnd = 2;
constexpr std::size_t kTraceIdStart = 3;
constexpr std::size_t kSpanIdStart = kTraceIdStart + kTraceIdDigits + 1;
constexpr std::size_t kFlagsStart = kSpanIdStart + kSpanIdDigits + 1;
constexpr std::size_t kFlagsDigits = 2;
constexpr std::size_t kLength = kFlagsStart + kFlagsDigits;
constexpr std::string_view kHexDigits = "0123456789abcdef";

bool IsLowerHex(std::string_view text) {
  return text.find_first_not_of(kHexDigits) == std::string_view::npos;
}

bool IsZero(std::string_view text) {
  return text.find_first_not_of('0') == std::string_view::npos;
}

/// Random digits, not all zero.
std::string RandomHex(std::size_t digits) {
  constexpr unsigned kBitsPerDigit = 4;
  constexpr std::size_t kDigitsPerNumber = 16;
  constexpr std::uint64_t kDigitMask = 0xf;
  static thread_local std::mt19937_64 engine{std::random_device{}()};
  std::string text;
  do {
    text.clear();
    while (text.size() < digits) {
      std::uint64_t number = engine();
      for (std::size_t i = 0; i < kDigitsPerNumber; ++i) {
        text += kHexDigits[number & kDigitMask];
        number >>= kBitsPerDigit;
      }
    }
    text.resize(digits);
  } while (IsZero(text));
  return text;
}

bool HasTraceparentShape(std::string_view text) {
  if (text.size() < kLength || text[kVersionEnd] != '-' ||
      text[kSpanIdStart - 1] != '-' || text[kFlagsStart - 1] != '-') {
    return false;
  }
  const std::string_view version = text.substr(0, kVersionEnd);
  const bool length_is_valid =
      text.size() == kLength || (version != "00" && text[kLength] == '-');
  return IsLowerHex(version) && version != "ff" && length_is_valid;
}

}  // namespace

std::optional<TraceContext> ParseTraceparent(std::string_view text) {
  if (!HasTraceparentShape(text)) {
    return std::nullopt;
  }
  const std::string_view trace_id = text.substr(kTraceIdStart, kTraceIdDigits);
  const std::string_view span_id = text.substr(kSpanIdStart, kSpanIdDigits);
  const std::string_view flags = text.substr(kFlagsStart, kFlagsDigits);
  if (!IsLowerHex(trace_id) || !IsLowerHex(span_id) || !IsLowerHex(flags) ||
      IsZero(trace_id) || IsZero(span_id)) {
    return std::nullopt;
  }
  const std::size_t low_digit = kHexDigits.find(flags.back());
  TraceContext context;
  context.trace_id = std::string(trace_id);
  context.span_id = std::string(span_id);
  context.sampled = (low_digit & 1U) != 0;
  return context;
}

TraceContext StartTrace() {
  TraceContext context;
  context.trace_id = RandomHex(kTraceIdDigits);
  context.span_id = RandomHex(kSpanIdDigits);
  return context;
}

TraceContext ContinueTrace(std::string_view traceparent) {
  const std::optional<TraceContext> caller = ParseTraceparent(traceparent);
  return caller ? ChildOf(*caller) : StartTrace();
}

TraceContext ChildOf(const TraceContext& parent) {
  TraceContext child = parent;
  child.span_id = RandomHex(kSpanIdDigits);
  return child;
}

std::string ToTraceparent(const TraceContext& context) {
  return "00-" + context.trace_id + "-" + context.span_id +
         (context.sampled ? "-01" : "-00");
}

}  // namespace hemlockdoor::observe
