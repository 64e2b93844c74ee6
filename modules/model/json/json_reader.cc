#include "modules/model/json/json_reader.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace hemlockdoor::model {

namespace {

/// Returns the Levenshtein distance of two strings.
std::size_t EditDistance(const std::string& left, const std::string& right) {
  std::vector<std::size_t> row(right.size() + 1);
  for (std::size_t j = 0; j < row.size(); ++j) {
    row[j] = j;
  }
  for (std::size_t i = 1; i <= left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= right.size(); ++j) {
      const std::size_t substitution =
          diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({substitution, row[j] + 1, row[j - 1] + 1});
    }
  }
  return row.back();
}

/// Returns a value as JSON text for an error message, truncated to 60 bytes.
std::string ValueForMessage(const nlohmann::json& value) {
  constexpr std::size_t kMaxShownBytes = 60;
  std::string text =
      value.is_structured() ? value.type_name() : DumpJson(value);
  if (text.size() > kMaxShownBytes) {
    text.resize(kMaxShownBytes);
    text += "...";
  }
  return text;
}

}  // namespace

core::Expected<nlohmann::json> ParseJson(std::string_view text,
                                         const JsonLimits& limits) {
  if (text.size() > limits.max_bytes) {
    return core::MakeError(core::ErrorCode::kTooLarge,
                           "JSON text is longer than " +
                               std::to_string(limits.max_bytes) + " bytes");
  }
  bool too_deep = false;
  const auto check_depth = [&too_deep, &limits](int depth,
                                                nlohmann::json::parse_event_t,
                                                nlohmann::json&) {
    too_deep = too_deep || depth > limits.max_depth;
    return !too_deep;
  };
  nlohmann::json document =
      nlohmann::json::parse(text.begin(), text.end(), check_depth,
                            /*allow_exceptions=*/false, limits.allow_comments);
  if (too_deep) {
    return core::MakeError(core::ErrorCode::kInvalidArgument,
                           "JSON is nested deeper than " +
                               std::to_string(limits.max_depth) + " levels");
  }
  if (document.is_discarded()) {
    return core::MakeError(core::ErrorCode::kInvalidArgument,
                           "text is not valid JSON");
  }
  return document;
}

std::string DumpJson(const nlohmann::json& document) {
  return document.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

JsonReader::JsonReader(const nlohmann::json& object, std::string object_path)
    : node(object), path(std::move(object_path)) {
  if (!this->node.is_object()) {
    this->outcome = core::MakeError(
        core::ErrorCode::kInvalidArgument,
        "expected an object, got " + ValueForMessage(object), this->path);
  }
}

const nlohmann::json* JsonReader::Raw(const std::string& name) {
  this->known.push_back(name);
  if (!this->node.is_object()) {
    return nullptr;
  }
  const auto found = this->node.find(name);
  return found == this->node.end() ? nullptr : &*found;
}

const nlohmann::json* JsonReader::FindRequired(const std::string& name) {
  const nlohmann::json* field = this->Raw(name);
  if (field == nullptr) {
    this->Fail(name, "required field is missing");
  }
  return field;
}

void JsonReader::Fail(const std::string& name, const std::string& message) {
  if (this->outcome) {
    this->outcome = core::MakeError(core::ErrorCode::kInvalidArgument, message,
                                    this->path + "." + name);
  }
}

std::string JsonReader::ReadString(const std::string& name,
                                   const nlohmann::json& field,
                                   std::size_t max_bytes) {
  if (!field.is_string()) {
    this->Fail(name, "expected a text, got " + ValueForMessage(field));
    return {};
  }
  const auto& text = field.get_ref<const std::string&>();
  if (text.size() > max_bytes) {
    this->Fail(name,
               "text is longer than " + std::to_string(max_bytes) + " bytes");
    return {};
  }
  return text;
}

std::string JsonReader::RequiredString(const std::string& name,
                                       std::size_t max_bytes) {
  const nlohmann::json* field = this->FindRequired(name);
  return field == nullptr ? std::string()
                          : this->ReadString(name, *field, max_bytes);
}

std::string JsonReader::OptionalString(const std::string& name,
                                       std::string fallback,
                                       std::size_t max_bytes) {
  const nlohmann::json* field = this->Raw(name);
  return field == nullptr ? std::move(fallback)
                          : this->ReadString(name, *field, max_bytes);
}

std::int64_t JsonReader::ReadInteger(const std::string& name,
                                     const nlohmann::json& field,
                                     IntegerRange range) {
  const bool too_large =
      field.is_number_unsigned() &&
      field.get<std::uint64_t>() >
          static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  const bool valid = field.is_number_integer() && !too_large;
  const std::int64_t number = valid ? field.get<std::int64_t>() : 0;
  if (!valid || number < range.minimum || number > range.maximum) {
    this->Fail(name, "expected an integer from " +
                         std::to_string(range.minimum) + " to " +
                         std::to_string(range.maximum) + ", got " +
                         ValueForMessage(field));
    return range.minimum;
  }
  return number;
}

std::int64_t JsonReader::RequiredInteger(const std::string& name,
                                         IntegerRange range) {
  const nlohmann::json* field = this->FindRequired(name);
  return field == nullptr ? range.minimum
                          : this->ReadInteger(name, *field, range);
}

std::int64_t JsonReader::OptionalInteger(const std::string& name,
                                         std::int64_t fallback,
                                         IntegerRange range) {
  const nlohmann::json* field = this->Raw(name);
  return field == nullptr ? fallback : this->ReadInteger(name, *field, range);
}

double JsonReader::OptionalNumber(const std::string& name,
                                  double fallback,
                                  NumberRange range) {
  const nlohmann::json* field = this->Raw(name);
  if (field == nullptr) {
    return fallback;
  }
  const bool valid = field->is_number() &&
                     field->get<double>() >= range.minimum &&
                     field->get<double>() <= range.maximum;
  if (!valid) {
    this->Fail(name, "expected a number from " + std::to_string(range.minimum) +
                         " to " + std::to_string(range.maximum) + ", got " +
                         ValueForMessage(*field));
    return range.minimum;
  }
  return field->get<double>();
}

std::uint64_t JsonReader::RequiredCounter(const std::string& name) {
  const std::string text = this->RequiredString(name);
  std::uint64_t number = 0;
  const char* last = text.data() + text.size();
  const auto [end, failure] = std::from_chars(text.data(), last, number);
  if (failure != std::errc() || end != last) {
    this->Fail(
        name,
        "expected an unsigned 64-bit counter as a string of decimal digits");
    return 0;
  }
  return number;
}

bool JsonReader::OptionalBool(const std::string& name, bool fallback) {
  const nlohmann::json* field = this->Raw(name);
  if (field == nullptr) {
    return fallback;
  }
  if (!field->is_boolean()) {
    this->Fail(name, "expected true or false, got " + ValueForMessage(*field));
    return fallback;
  }
  return field->get<bool>();
}

void JsonReader::EachElement(
    const std::string& name,
    const std::function<core::Expected<void>(const nlohmann::json& element,
                                             const std::string& path)>& read) {
  const nlohmann::json* field = this->Raw(name);
  if (field == nullptr) {
    return;
  }
  if (!field->is_array()) {
    this->Fail(name, "expected an array, got " + ValueForMessage(*field));
    return;
  }
  std::size_t index = 0;
  for (const nlohmann::json& element : *field) {
    const core::Expected<void> read_outcome = read(
        element, this->path + "." + name + "[" + std::to_string(index) + "]");
    if (!read_outcome && this->outcome) {
      this->outcome = read_outcome;
    }
    ++index;
  }
}

void JsonReader::EachMember(
    const std::string& name,
    const std::function<core::Expected<void>(const std::string& key,
                                             const nlohmann::json& value,
                                             const std::string& path)>& read) {
  const nlohmann::json* field = this->Raw(name);
  if (field == nullptr) {
    return;
  }
  if (!field->is_object()) {
    this->Fail(name, "expected an object, got " + ValueForMessage(*field));
    return;
  }
  for (const auto& [key, value] : field->items()) {
    const core::Expected<void> read_outcome =
        read(key, value, this->path + "." + name + "." + key);
    if (!read_outcome && this->outcome) {
      this->outcome = read_outcome;
    }
  }
}

core::Expected<void> JsonReader::FinishLenient() const {
  return this->outcome;
}

core::Expected<void> JsonReader::Finish() const {
  if (!this->outcome) {
    return this->outcome;
  }
  for (const auto& [key, value] : this->node.items()) {
    if (std::find(this->known.begin(), this->known.end(), key) !=
        this->known.end()) {
      continue;
    }
    const std::string nearest = NearestName(key, this->known);
    std::string message = "unknown field \"" + key + "\"";
    if (!nearest.empty()) {
      message += ", did you mean \"" + nearest + "\"?";
    }
    return core::MakeError(core::ErrorCode::kInvalidArgument, message,
                           this->path + "." + key);
  }
  return {};
}

std::string NearestName(const std::string& name,
                        const std::vector<std::string>& known) {
  constexpr std::size_t kMaxDistance = 3;
  std::string nearest;
  std::size_t best = kMaxDistance + 1;
  for (const std::string& candidate : known) {
    const std::size_t distance = EditDistance(name, candidate);
    if (distance < best) {
      best = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

}  // namespace hemlockdoor::model
