// How commands report answers of an entry.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "modules/cli/client/api_client.h"
#include "modules/cli/output/console.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::cli {

/// Reports a call without an answer, and whether it may have taken effect.
ExitCode ReportFailure(Console& console, const ApiFailure& failure);
/// Reports an answer that refuses.
ExitCode ReportRefusal(Console& console, const wire::HttpResponse& response);
/// Prints an indented document to standard output.
void PrintJson(Console& console, const nlohmann::json& document);
/// A path segment, percent-encoded.
std::string PathSegment(const std::string& text);

}  // namespace hemlockdoor::cli
