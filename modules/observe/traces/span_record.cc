#include "modules/observe/traces/span_record.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace hemlockdoor::observe {

namespace {

constexpr int kSpanKindInternal = 1;
constexpr int kStatusUnset = 0;
constexpr int kStatusError = 2;

nlohmann::json Attribute(const std::string& key, const std::string& value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

nlohmann::json SpanToJson(const SpanRecord& span) {
  nlohmann::json document;
  document["traceId"] = span.trace_id;
  document["spanId"] = span.span_id;
  document["parentSpanId"] = span.parent_span_id;
  document["name"] = span.name;
  document["kind"] = kSpanKindInternal;
  // OTLP writes 64-bit integers as decimal text.
  document["startTimeUnixNano"] = std::to_string(span.start_ns);
  document["endTimeUnixNano"] = std::to_string(span.end_ns);
  document["status"]["code"] = span.failed ? kStatusError : kStatusUnset;
  document["attributes"] = nlohmann::json::array();
  for (const SpanAttribute& attribute : span.attributes) {
    document["attributes"].push_back(Attribute(attribute.key, attribute.value));
  }
  return document;
}

}  // namespace

std::string ToOtlpJson(const std::vector<SpanRecord>& spans,
                       const std::string& process) {
  nlohmann::json scope_spans;
  scope_spans["scope"]["name"] = "hemlockdoor";
  scope_spans["scope"]["version"] = HEMLOCKDOOR_VERSION;
  scope_spans["spans"] = nlohmann::json::array();
  for (const SpanRecord& span : spans) {
    scope_spans["spans"].push_back(SpanToJson(span));
  }
  nlohmann::json resource_spans;
  resource_spans["resource"]["attributes"] =
      nlohmann::json::array({Attribute("service.name", "hemlockdoor"),
                             Attribute("service.instance.id", process)});
  resource_spans["scopeSpans"] =
      nlohmann::json::array({std::move(scope_spans)});
  nlohmann::json document;
  document["resourceSpans"] =
      nlohmann::json::array({std::move(resource_spans)});
  return document.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

}  // namespace hemlockdoor::observe
