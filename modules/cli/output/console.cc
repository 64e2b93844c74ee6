#include "modules/cli/output/console.h"

#include <array>

namespace hemlockdoor::cli {

namespace {

constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;
constexpr std::string_view kHexDigits = "0123456789abcdef";

}  // namespace

std::string PrintableText(const std::string& text) {
  constexpr unsigned kBitsPerDigit = 4;
  constexpr unsigned kDigitMask = 0xf;
  std::string printable;
  printable.reserve(text.size());
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte >= kFirstPrintable && byte != kDelete) {
      printable += c;
      continue;
    }
    printable += "\\x";
    printable += kHexDigits[byte >> kBitsPerDigit];
    printable += kHexDigits[byte & kDigitMask];
  }
  return printable;
}

std::string ErrorLine(const core::Error& error) {
  const std::string line =
      error.path.empty() ? error.message : error.path + ": " + error.message;
  return PrintableText(line);
}

ExitCode ReportError(Console& console,
                     const core::Error& error,
                     ExitCode code) {
  console.err << "hemlockdoor: " << ErrorLine(error) << std::endl;
  return code;
}

}  // namespace hemlockdoor::cli
