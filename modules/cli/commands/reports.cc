#include "modules/cli/commands/reports.h"

#include <QString>
#include <QUrl>

namespace hemlockdoor::cli {

ExitCode ReportFailure(Console& console, const ApiFailure& failure) {
  core::Error error = failure.error;
  if (failure.in_doubt) {
    error.message += "; whether the request took effect is not known";
  }
  return ReportError(console, error, ExitCode::kFailed);
}

ExitCode ReportRefusal(Console& console, const wire::HttpResponse& response) {
  return ReportError(
      console,
      core::Error{core::ErrorCode::kUnavailable, DescribeRefusal(response), ""},
      ExitCode::kFailed);
}

void PrintJson(Console& console, const nlohmann::json& document) {
  constexpr int kIndent = 2;
  console.out << document.dump(kIndent, ' ', false,
                               nlohmann::json::error_handler_t::replace)
              << std::endl;
}

std::string PathSegment(const std::string& text) {
  return QUrl::toPercentEncoding(QString::fromStdString(text)).toStdString();
}

}  // namespace hemlockdoor::cli
