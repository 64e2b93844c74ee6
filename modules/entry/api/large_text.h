// Large texts in JSON documents, without copies of the document.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "modules/core/core.h"

namespace hemlockdoor::entry {

/// Writes an object with one more text field. The text is escaped straight into
/// the output: as a value of the document it would exist three times while the
/// document is written. `text` must be valid UTF-8.
std::string DumpWithText(const nlohmann::json& object,
                         const std::string& field,
                         const std::string& text);

/// Moves a text field out of a parsed object and leaves an empty text there;
/// an empty text when the field is absent or not a text. kTooLarge above
/// `max_bytes`.
core::Expected<std::shared_ptr<const std::string>> TakeText(
    nlohmann::json& object,
    const std::string& field,
    std::size_t max_bytes);

}  // namespace hemlockdoor::entry
