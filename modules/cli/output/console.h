// Where a command writes, and how it ends.
#pragma once

#include <ostream>
#include <string>

#include "modules/core/core.h"

namespace hemlockdoor::cli {

/// Exit codes of the binary.
enum class ExitCode {
  kDone = 0,    ///< Done as asked.
  kFailed = 1,  ///< The work failed or was refused.
  kUsage = 2,   ///< Wrong usage or settings.
};

/// Standard output and error of one command; string streams in tests.
struct Console {
  std::ostream& out;
  std::ostream& err;
  /// True when a person watches standard error, so progress is shown there.
  bool err_is_terminal = false;
};

/// Text with control characters escaped, so that text from a file or a server
/// can neither start a new line nor control the terminal.
std::string PrintableText(const std::string& text);

/// "PLACE: MESSAGE" as one printable line.
std::string ErrorLine(const core::Error& error);

/// Writes one line "hemlockdoor: ERROR" to standard error; returns `code`.
ExitCode ReportError(Console& console, const core::Error& error, ExitCode code);

}  // namespace hemlockdoor::cli
