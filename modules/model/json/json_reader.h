// Checked reading of JSON documents, with errors that name the JSON path.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "modules/core/core.h"

namespace hemlockdoor::model {

/// Bounds on a JSON text.
struct JsonLimits {
  std::size_t max_bytes = 9U * 1024U * 1024U;
  int max_depth = 32;
  /// Accepts `//` and `/* */` comments (settings and catalogue files).
  bool allow_comments = false;
};

/// Parses a text; kInvalidArgument for anything that is not one JSON document
/// within the limits (too deep, invalid UTF-8, truncated), kTooLarge above
/// `max_bytes`.
core::Expected<nlohmann::json> ParseJson(std::string_view text,
                                         const JsonLimits& limits = {});

/// Writes a document on one line; invalid UTF-8 is replaced, never thrown on.
std::string DumpJson(const nlohmann::json& document);

/// Range of an integer field.
struct IntegerRange {
  std::int64_t minimum = 0;
  std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
};

/// Reads the fields of one JSON object. Getters return a fallback after an
/// error; `Finish` tells the first error, or that a field is unknown.
class JsonReader {
 public:
  /// Reads from `object`, whose place in the document is `object_path`
  /// (for example `$.entries.north`). Keeps a reference to `object`.
  JsonReader(const nlohmann::json& object, std::string object_path);

  /// A text field that must be present and at most `max_bytes` long.
  std::string RequiredString(const std::string& name,
                             std::size_t max_bytes = kMaxTextBytes);
  /// A text field, or `fallback` when absent.
  std::string OptionalString(const std::string& name,
                             std::string fallback = {},
                             std::size_t max_bytes = kMaxTextBytes);
  /// An integer field that must be present and in range.
  std::int64_t RequiredInteger(const std::string& name,
                               IntegerRange range = {});
  /// An integer field in range, or `fallback` when absent.
  std::int64_t OptionalInteger(const std::string& name,
                               std::int64_t fallback,
                               IntegerRange range = {});
  /// A 64-bit counter, written as a decimal text because JSON numbers lose
  /// precision above 2^53 in other readers.
  std::uint64_t RequiredCounter(const std::string& name);
  /// A truth value, or `fallback` when absent.
  bool OptionalBool(const std::string& name, bool fallback);
  /// Calls `read` for each element of an array field; absent means empty.
  void EachElement(
      const std::string& name,
      const std::function<core::Expected<void>(const nlohmann::json& element,
                                               const std::string& path)>& read);
  /// Calls `read` for each member of an object field; absent means empty.
  void EachMember(
      const std::string& name,
      const std::function<core::Expected<void>(const std::string& key,
                                               const nlohmann::json& value,
                                               const std::string& path)>& read);
  /// The raw field, or null when absent; marks it as known.
  const nlohmann::json* Raw(const std::string& name);

  /// Records an error unless there is one already.
  void Fail(const std::string& name, const std::string& message);
  /// The first error; else kInvalidArgument for an unknown field, with the
  /// nearest known name.
  core::Expected<void> Finish() const;
  /// As `Finish`, but accepts unknown fields (messages of newer processes).
  core::Expected<void> FinishLenient() const;

  /// Longest text that is accepted unless the call says otherwise.
  static constexpr std::size_t kMaxTextBytes = 1024;

 private:
  const nlohmann::json* FindRequired(const std::string& name);
  std::int64_t ReadInteger(const std::string& name,
                           const nlohmann::json& field,
                           IntegerRange range);
  std::string ReadString(const std::string& name,
                         const nlohmann::json& field,
                         std::size_t max_bytes);

  const nlohmann::json& node;
  std::string path;
  std::vector<std::string> known;
  core::Expected<void> outcome;
};

/// The known name that differs least from `name`, or empty when none is near.
std::string NearestName(const std::string& name,
                        const std::vector<std::string>& known);

}  // namespace hemlockdoor::model
