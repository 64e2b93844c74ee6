// Writes and extracts large strings in JSON documents without extra copies.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "modules/core/core.h"

namespace hemlockdoor::entry {

/// Serialises `object` with the string `text` as the value of `field`. The text
/// is escaped directly into the output: as a value of the document it would
/// exist three times during serialisation. `text` must be valid UTF-8.
std::string DumpWithText(const nlohmann::json& object,
                         const std::string& field,
                         const std::string& text);

/// Cuts the string value of the top-level field `field` out of the JSON text of
/// an object, leaves an empty string there, and returns the value unescaped. It
/// needs no memory beyond the text: the JSON parser needs three further copies
/// of a large string. Returns nothing, and leaves the text unchanged, unless
/// the field occurs exactly once and is a valid string without surrogate pairs;
/// the parser then has to read the whole text.
std::optional<std::string> CutText(std::string& json, std::string_view field);

/// Moves a string field out of a parsed object and leaves an empty string
/// there. Returns an empty string when the field is absent or not a string;
/// kTooLarge when it has more than `max_bytes`.
core::Expected<std::shared_ptr<const std::string>> TakeText(
    nlohmann::json& object,
    const std::string& field,
    std::size_t max_bytes);

}  // namespace hemlockdoor::entry
