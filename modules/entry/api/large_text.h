// Writes and extracts large strings in JSON documents without extra copies.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "modules/core/core.h"

namespace hemlockdoor::entry {

/// Serialises `object` with the string `text` as the value of `field`. The text
/// is escaped directly into the output: as a value of the document it would
/// exist three times during serialisation. `text` must be valid UTF-8.
std::string DumpWithText(const nlohmann::json& object,
                         const std::string& field,
                         const std::string& text);

/// Moves a string field out of a parsed object and leaves an empty string
/// there. Returns an empty string when the field is absent or not a string;
/// kTooLarge when it has more than `max_bytes`.
core::Expected<std::shared_ptr<const std::string>> TakeText(
    nlohmann::json& object,
    const std::string& field,
    std::size_t max_bytes);

}  // namespace hemlockdoor::entry
