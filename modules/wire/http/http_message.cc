#include "modules/wire/http/http_message.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <utility>

namespace hemlockdoor::wire {

namespace {

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

}  // namespace

void HttpHeaders::Add(std::string name, std::string value) {
  this->fields.push_back(HttpHeader{std::move(name), std::move(value)});
}

std::optional<std::string> HttpHeaders::Find(std::string_view name) const {
  for (const HttpHeader& field : this->fields) {
    if (EqualsIgnoringCase(field.name, name)) {
      return field.value;
    }
  }
  return std::nullopt;
}

HttpResponse MakeProblem(int status, std::string type, std::string detail) {
  nlohmann::json document;
  document["type"] = "urn:hemlockdoor:problem:" + type;
  document["title"] = std::move(type);
  document["status"] = status;
  document["detail"] = std::move(detail);
  HttpResponse response;
  response.status = status;
  response.content_type = "application/problem+json";
  response.body =
      document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

}  // namespace hemlockdoor::wire
