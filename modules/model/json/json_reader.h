// Validating reader for JSON documents; errors give the JSON path.
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

/// Limits on a JSON text.
struct JsonLimits {
  std::size_t max_bytes = 9U * 1024U * 1024U;
  int max_depth = 32;
  /// Whether `//` and `/* */` comments are accepted, as in settings and
  /// catalogue files.
  bool allow_comments = false;
};

/// Parses a text as one JSON document. Returns kTooLarge for a text longer than
/// `max_bytes`, and kInvalidArgument for invalid JSON, invalid UTF-8, a
/// truncated document, or nesting deeper than `max_depth`.
core::Expected<nlohmann::json> ParseJson(std::string_view text,
                                         const JsonLimits& limits = {});

/// Serialises a document on one line. Replaces invalid UTF-8 instead of
/// throwing.
std::string DumpJson(const nlohmann::json& document);

/// Range of an integer field; both ends are included.
struct IntegerRange {
  std::int64_t minimum = 0;
  std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
};

/// Range of a number field; both ends are included.
struct NumberRange {
  double minimum = 0;
  double maximum = std::numeric_limits<double>::max();
};

/// Reads the fields of one JSON object. A getter that finds an invalid field
/// records an error and returns a placeholder: an empty string, zero, the
/// minimum of the range, or the fallback of a bool. `Finish` or `FinishLenient`
/// then returns the first recorded error, so callers must use the values only
/// after one of these has succeeded.
class JsonReader {
 public:
  /// Reads from `object`, whose place in the document is `object_path`
  /// (for example `$.entries.north`). Keeps a reference to `object`.
  JsonReader(const nlohmann::json& object, std::string object_path);

  /// Returns a string field, which must be present and have at most `max_bytes`
  /// bytes.
  std::string RequiredString(const std::string& name,
                             std::size_t max_bytes = kMaxTextBytes);
  /// Returns a string field of at most `max_bytes` bytes, or `fallback` when
  /// the field is absent.
  std::string OptionalString(const std::string& name,
                             std::string fallback = {},
                             std::size_t max_bytes = kMaxTextBytes);
  /// Returns an integer field, which must be present and within `range`.
  std::int64_t RequiredInteger(const std::string& name,
                               IntegerRange range = {});
  /// Returns an integer field, which must be within `range`, or `fallback` when
  /// the field is absent. `fallback` may lie outside `range`.
  std::int64_t OptionalInteger(const std::string& name,
                               std::int64_t fallback,
                               IntegerRange range = {});
  /// Returns a number field, which must be within `range`, or `fallback` when
  /// the field is absent. `fallback` may lie outside `range`.
  double OptionalNumber(const std::string& name,
                        double fallback,
                        NumberRange range = {});
  /// Returns an unsigned 64-bit counter, which must be present. The field is a
  /// string of decimal digits, because some JSON parsers lose precision in
  /// numbers above 2^53.
  std::uint64_t RequiredCounter(const std::string& name);
  /// Returns a boolean field, or `fallback` when the field is absent.
  bool OptionalBool(const std::string& name, bool fallback);
  /// Calls `read` with each element of an array field and its JSON path, and
  /// records the first error that `read` returns. An absent field counts as an
  /// empty array.
  void EachElement(
      const std::string& name,
      const std::function<core::Expected<void>(const nlohmann::json& element,
                                               const std::string& path)>& read);
  /// Calls `read` with each key and value of an object field and the JSON path,
  /// and records the first error that `read` returns. An absent field counts as
  /// an empty object.
  void EachMember(
      const std::string& name,
      const std::function<core::Expected<void>(const std::string& key,
                                               const nlohmann::json& value,
                                               const std::string& path)>& read);
  /// Returns the unchecked field, or null when absent. Adds `name` to the known
  /// fields, which `Finish` accepts.
  const nlohmann::json* Raw(const std::string& name);

  /// Records a kInvalidArgument error for the field `name`, unless an error is
  /// already recorded.
  void Fail(const std::string& name, const std::string& message);
  /// Returns the first recorded error. Without one, returns kInvalidArgument
  /// when the object has a field that no getter asked for; the message suggests
  /// the known field with the most similar name.
  core::Expected<void> Finish() const;
  /// Like `Finish`, but accepts unknown fields, since messages from newer
  /// processes may have them.
  core::Expected<void> FinishLenient() const;

  /// Default maximum length of a string field, in bytes.
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

/// Returns the name in `known` with the smallest edit distance to `name`; empty
/// when every distance is above 3.
std::string NearestName(const std::string& name,
                        const std::vector<std::string>& known);

}  // namespace hemlockdoor::model
