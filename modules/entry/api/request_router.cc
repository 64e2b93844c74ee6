#include "modules/entry/api/request_router.h"

#include <charconv>
#include <optional>
#include <utility>
#include <vector>

#include "modules/entry/api/answers.h"
#include "modules/entry/api/large_text.h"
#include "modules/entry/core/job_id.h"
#include "modules/model/model.h"

namespace hemlockdoor::entry {

namespace {

namespace status = wire::http_status;
using wire::HttpMethod;

constexpr std::size_t kMaxIdempotencyKeyBytes = 256;
constexpr std::size_t kMaxTraceparentBytes = 128;

/// The parts of a path between slashes, without the empty first one.
std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> parts;
  std::size_t from = 1;
  while (from <= path.size()) {
    const std::size_t to = std::min(path.find('/', from), path.size());
    parts.push_back(path.substr(from, to - from));
    from = to + 1;
  }
  return parts;
}

std::string BearerToken(const wire::HttpRequest& request) {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string field =
      request.headers.Find("Authorization").value_or(std::string());
  return field.starts_with(kScheme) ? field.substr(kScheme.size())
                                    : std::string();
}

std::string QueryValue(const std::string& query, const std::string& name) {
  std::size_t from = 0;
  while (from < query.size()) {
    const std::size_t to = std::min(query.find('&', from), query.size());
    const std::string part = query.substr(from, to - from);
    if (part.starts_with(name + "=")) {
      return part.substr(name.size() + 1);
    }
    from = to + 1;
  }
  return {};
}

wire::HttpResponse Refusal(int code, std::string type, std::string detail) {
  return MakeProblemResponse(
      {code, std::move(type), std::move(detail), {}, std::nullopt, {}});
}

wire::HttpResponse NoRoute(const wire::HttpRequest& request) {
  return Refusal(status::kNotFound, "no-route",
                 "There is nothing at " + request.path + ".");
}

wire::HttpResponse WrongMethod() {
  return Refusal(status::kMethodNotAllowed, "method-not-allowed",
                 "This path does not take this method.");
}

wire::HttpResponse Unauthorized() {
  wire::HttpResponse response =
      Refusal(status::kUnauthorized, "unauthorized",
              "Send a valid token as \"Authorization: Bearer TOKEN\".");
  response.headers.Add("WWW-Authenticate", "Bearer");
  return response;
}

wire::HttpResponse BadBody(const core::Error& error,
                           int usual_code = status::kBadRequest) {
  const int code = error.code == core::ErrorCode::kTooLarge
                       ? status::kPayloadTooLarge
                       : usual_code;
  std::string place = error.path.empty() ? "" : error.path + ": ";
  wire::HttpResponse response = MakeProblemResponse(
      {code,
       "invalid-request",
       place + error.message + ". Correct the request and send it again.",
       {},
       std::nullopt,
       {}});
  return response;
}

/// Parses the body and frees its memory.
core::Expected<nlohmann::json> ParseBody(wire::HttpRequest& request) {
  // Assigning an empty string would keep the buffer of a large body.
  const std::string body = std::exchange(request.body, {});
  return model::ParseJson(body);
}

/// Like `ParseBody`, for a body with a large string in `field`.
core::Expected<nlohmann::json> ParseBodyWithText(wire::HttpRequest& request,
                                                 const std::string& field) {
  constexpr std::size_t kMinCutBytes = 64U * 1024U;
  if (request.body.size() < kMinCutBytes) {
    return ParseBody(request);
  }
  std::optional<std::string> text = CutText(request.body, field);
  core::Expected<nlohmann::json> doc = ParseBody(request);
  if (doc && text) {
    (*doc)[field] = std::move(*text);
  }
  return doc;
}

/// Reads the `Prefer` field (RFC 7240): the time to wait, zero for
/// `respond-async`, nothing when it has neither.
std::optional<core::Duration> ReadPrefer(const wire::HttpRequest& request) {
  const std::string prefer =
      request.headers.Find("Prefer").value_or(std::string());
  constexpr std::string_view kWait = "wait=";
  const std::size_t place = prefer.find(kWait);
  if (place != std::string::npos) {
    int seconds = 0;
    const char* first = prefer.data() + place + kWait.size();
    const std::from_chars_result read =
        std::from_chars(first, prefer.data() + prefer.size(), seconds);
    if (read.ec == std::errc() && seconds >= 0) {
      return core::Duration::Seconds(seconds);
    }
  }
  if (prefer.find("respond-async") != std::string::npos) {
    return core::Duration();
  }
  return std::nullopt;
}

Routed RouteSubmit(wire::HttpRequest& request,
                   RequestId id,
                   const core::OrganisationId& organisation) {
  SubmitJob event;
  event.body_hash = HashText(request.body);
  core::Expected<nlohmann::json> doc = ParseBodyWithText(request, "payload");
  if (!doc) {
    return BadBody(doc.error());
  }
  const bool is_text = !doc->is_object() || !doc->contains("payload") ||
                       (*doc)["payload"].is_string();
  core::Expected<SharedBody> payload =
      TakeText(*doc, "payload", model::kMaxPayloadBytes);
  if (!payload || !is_text) {
    return BadBody(payload ? core::Error{core::ErrorCode::kInvalidArgument,
                                         "expected a string", "$.payload"}
                           : payload.error());
  }
  core::Expected<model::JobSubmission> submission =
      model::JobSubmissionFromJson(*doc);
  if (!submission) {
    return BadBody(submission.error());
  }
  event.request = id;
  event.organisation = organisation;
  event.description = std::move(submission->description);
  event.payload = std::move(*payload);
  event.idempotency_key = request.headers.Find("Idempotency-Key");
  const bool bad_key =
      event.idempotency_key &&
      (event.idempotency_key->empty() ||
       event.idempotency_key->size() > kMaxIdempotencyKeyBytes);
  if (bad_key) {
    return Refusal(status::kBadRequest, "invalid-idempotency-key",
                   "The Idempotency-Key must have 1 to 256 bytes.");
  }
  event.wait = ReadPrefer(request);
  event.traceparent =
      request.headers.Find("traceparent").value_or(std::string());
  if (event.traceparent.size() > kMaxTraceparentBytes) {
    event.traceparent.clear();
  }
  return event;
}

Routed RouteJobs(wire::HttpRequest& request,
                 RequestId id,
                 const std::vector<std::string>& parts,
                 const RoutingState& state) {
  const core::Expected<CallerIdentity> caller =
      state.tokens.Identify(BearerToken(request));
  if (!caller) {
    return Unauthorized();
  }
  const std::optional<core::OrganisationId>& organisation =
      caller->organisation;
  if (!organisation) {
    return Refusal(status::kForbidden, "forbidden",
                   "This path needs an organisation's token.");
  }
  if (parts.size() == 2) {
    if (request.method == HttpMethod::kPost) {
      return RouteSubmit(request, id, *organisation);
    }
    if (request.method == HttpMethod::kGet) {
      return ListJobs{id, *organisation};
    }
    return WrongMethod();
  }
  const core::JobId job(parts.at(2));
  const bool result = parts.size() == 4 && parts.at(3) == "result";
  if (parts.size() > 3 && !result) {
    return NoRoute(request);
  }
  if (request.method == HttpMethod::kGet) {
    return QueryJob{id, *organisation, job,
                    result ? JobQueryKind::kResult : JobQueryKind::kStatus,
                    false};
  }
  if (request.method == HttpMethod::kDelete && !result) {
    return CancelJob{id, *organisation, job, false};
  }
  return WrongMethod();
}

/// Compares in a time that depends only on the length of `expected`.
bool EqualsInConstantTime(std::string_view given, std::string_view expected) {
  unsigned difference = given.size() == expected.size() ? 0U : 1U;
  for (std::size_t i = 0; i < expected.size(); ++i) {
    const char other = given.empty() ? '\0' : given[i % given.size()];
    difference |= static_cast<unsigned char>(expected[i]) ^
                  static_cast<unsigned char>(other);
  }
  return difference == 0U;
}

/// The revision in `If-Match`, with or without quotes.
std::optional<core::CatalogueRevision> ReadIfMatch(
    const wire::HttpRequest& request) {
  std::string tag = request.headers.Find("If-Match").value_or(std::string());
  std::erase(tag, '"');
  std::uint64_t number = 0;
  const std::from_chars_result read =
      std::from_chars(tag.data(), tag.data() + tag.size(), number);
  if (tag.empty() || read.ec != std::errc() ||
      read.ptr != tag.data() + tag.size()) {
    return std::nullopt;
  }
  return core::CatalogueRevision(number);
}

/// Reads the catalogue change of a request: of the entry `name`, or of the
/// whole catalogue without it.
core::Expected<CatalogueChange> ReadChange(
    wire::HttpRequest& request,
    const std::optional<core::CatalogueEntryName>& name) {
  if (request.method == HttpMethod::kDelete && name) {
    return CatalogueChange(DeleteCatalogueEntry{*name});
  }
  if (!name) {
    core::Expected<model::Catalogue> catalogue =
        model::CatalogueFromText(request.body);
    if (!catalogue) {
      return tl::unexpected<core::Error>(catalogue.error());
    }
    return CatalogueChange(ReplaceCatalogue{std::move(*catalogue)});
  }
  const core::Expected<nlohmann::json> doc = ParseBody(request);
  if (!doc) {
    return tl::unexpected<core::Error>(doc.error());
  }
  core::Expected<model::CatalogueEntry> entry =
      model::CatalogueEntryFromJson(*name, *doc, "$.entries." + name->Text());
  if (!entry) {
    return tl::unexpected<core::Error>(entry.error());
  }
  return CatalogueChange(PutCatalogueEntry{std::move(*entry)});
}

Routed RouteCatalogue(wire::HttpRequest& request,
                      RequestId id,
                      const std::vector<std::string>& parts) {
  std::optional<core::CatalogueEntryName> name;
  if (parts.size() == 3) {
    name = core::CatalogueEntryName(parts.at(2));
  }
  if (request.method == HttpMethod::kGet) {
    return ReadCatalogue{id, name};
  }
  const bool check_only = parts.at(1) == "catalogue:check";
  const bool is_supported =
      check_only ? request.method == HttpMethod::kPost
                 : request.method == HttpMethod::kPut ||
                       (request.method == HttpMethod::kDelete && name);
  if (!is_supported) {
    return WrongMethod();
  }
  const std::optional<core::CatalogueRevision> if_match = ReadIfMatch(request);
  if (!check_only && !if_match) {
    return Refusal(status::kPreconditionRequired, "if-match-required",
                   "Read the catalogue and send its ETag as If-Match.");
  }
  core::Expected<CatalogueChange> change = ReadChange(request, name);
  if (!change) {
    // Valid JSON that fails the catalogue's checks is answered like a guarantee
    // that cannot be packed.
    const bool is_json = !change.error().path.empty();
    return BadBody(change.error(),
                   is_json ? status::kUnprocessable : status::kBadRequest);
  }
  return EditCatalogue{id, std::move(*change),
                       if_match.value_or(core::CatalogueRevision()),
                       check_only};
}

Routed RouteOperator(wire::HttpRequest& request,
                     RequestId id,
                     const std::vector<std::string>& parts,
                     const RoutingState& state) {
  const core::Expected<CallerIdentity> caller =
      state.tokens.Identify(BearerToken(request));
  if (!caller) {
    return Unauthorized();
  }
  if (!caller->is_operator) {
    return Refusal(status::kForbidden, "forbidden",
                   "This path needs an operator's token.");
  }
  const bool is_get = request.method == HttpMethod::kGet;
  const bool is_post = request.method == HttpMethod::kPost;
  const std::string& resource = parts.at(1);
  const bool is_catalogue_path =
      (resource == "catalogue" && parts.size() <= 3) ||
      (resource == "catalogue:check" && parts.size() == 2);
  if (is_catalogue_path) {
    return RouteCatalogue(request, id, parts);
  }
  if (parts.size() == 4 && resource == "workers" && parts.at(3) == "drain") {
    return is_post ? Routed(DrainWorker{id, core::AgentId(parts.at(2))})
                   : Routed(WrongMethod());
  }
  if (parts.size() != 2) {
    return NoRoute(request);
  }
  if (resource == "drain") {
    return is_post ? Routed(DrainRequested{id}) : Routed(WrongMethod());
  }
  std::optional<OperatorQueryKind> kind;
  if (resource == "workers") {
    kind = OperatorQueryKind::kWorkers;
  } else if (resource == "reservations") {
    kind = OperatorQueryKind::kReservations;
  } else if (resource == "quarantine") {
    kind = OperatorQueryKind::kQuarantine;
  }
  if (!kind) {
    return NoRoute(request);
  }
  return is_get ? Routed(OperatorQuery{id, *kind}) : Routed(WrongMethod());
}

Routed RouteHandover(wire::HttpRequest& request, RequestId id) {
  core::Expected<nlohmann::json> doc = ParseBodyWithText(request, "payload");
  if (!doc) {
    return BadBody(doc.error());
  }
  core::Expected<SharedBody> payload =
      TakeText(*doc, "payload", model::kMaxPayloadBytes);
  if (!payload) {
    return BadBody(payload.error());
  }
  model::JsonReader reader(*doc, "$");
  JobHandedOver event;
  event.request = id;
  event.payload = std::move(*payload);
  if (const nlohmann::json* job = reader.Raw("job")) {
    core::Expected<model::JobDescription> read =
        model::JobDescriptionFromJson(*job, "$.job");
    if (!read) {
      return BadBody(read.error());
    }
    event.description = std::move(*read);
  } else {
    reader.Fail("job", "required field is missing");
  }
  event.reply_to = reader.RequiredString("reply_to");
  event.body_hash = reader.OptionalString("body_hash");
  event.record_revision =
      store::ModRevision(reader.RequiredCounter("record_revision"));
  event.payload_stored = reader.OptionalBool("payload_stored", false);
  event.traceparent = reader.OptionalString("traceparent");
  if (const core::Expected<void> finished = reader.FinishLenient(); !finished) {
    return BadBody(finished.error());
  }
  return event;
}

Routed RouteResult(wire::HttpRequest& request, RequestId id) {
  core::Expected<nlohmann::json> doc = ParseBodyWithText(request, "body");
  if (!doc) {
    return BadBody(doc.error());
  }
  core::Expected<SharedBody> body =
      TakeText(*doc, "body", model::kMaxPayloadBytes);
  if (!body) {
    return BadBody(body.error());
  }
  core::Expected<model::ResultNotice> notice =
      model::ResultNoticeFromJson(*doc);
  if (!notice) {
    return BadBody(notice.error());
  }
  return ResultDelivered{id, std::move(*notice), std::move(*body)};
}

Routed RoutePeerJob(const wire::HttpRequest& request,
                    RequestId id,
                    const std::vector<std::string>& parts) {
  const core::OrganisationId organisation(
      QueryValue(request.query, "organisation"));
  const core::JobId job(parts.at(3));
  if (request.method == HttpMethod::kDelete) {
    return CancelJob{id, organisation, job, true};
  }
  const bool result = parts.size() == 5 && parts.at(4) == "result";
  return QueryJob{id, organisation, job,
                  result ? JobQueryKind::kResult : JobQueryKind::kStatus, true};
}

Routed RouteInternal(wire::HttpRequest& request,
                     RequestId id,
                     const std::vector<std::string>& parts,
                     const RoutingState& state) {
  const bool trusted =
      !state.internal_key.empty() &&
      EqualsInConstantTime(BearerToken(request), state.internal_key);
  if (!trusted) {
    return Unauthorized();
  }
  if (parts.size() >= 4 && parts.at(2) == "jobs") {
    return RoutePeerJob(request, id, parts);
  }
  if (parts.size() != 3) {
    return NoRoute(request);
  }
  if (request.method != HttpMethod::kPost) {
    return WrongMethod();
  }
  if (parts.at(2) == "announce") {
    core::Expected<model::Announcement> read =
        model::FromText<&model::AnnouncementFromJson>(request.body);
    return read ? Routed(AgentAnnounced{id, std::move(*read)})
                : Routed(BadBody(read.error()));
  }
  if (parts.at(2) == "result") {
    return RouteResult(request, id);
  }
  if (parts.at(2) == "queued") {
    return RouteHandover(request, id);
  }
  return NoRoute(request);
}

Routed RouteHealth(const std::string& path, const RoutingState& state) {
  if (path == "/livez") {
    return MakeJsonResponse(status::kOk, {{"live", true}});
  }
  if (state.draining) {
    return Refusal(status::kUnavailable, "draining",
                   "This entry is stopping; use another one.");
  }
  if (!state.has_catalogue) {
    return Refusal(status::kUnavailable, "no-catalogue",
                   "No catalogue is loaded yet.");
  }
  return MakeJsonResponse(status::kOk, {{"ready", true}});
}

}  // namespace

Routed RouteRequest(wire::HttpRequest request,
                    RequestId id,
                    const RoutingState& state) {
  if (request.path == "/livez" || request.path == "/readyz") {
    return request.method == HttpMethod::kGet ? RouteHealth(request.path, state)
                                              : Routed(WrongMethod());
  }
  const std::vector<std::string> parts = SplitPath(request.path);
  // Without a catalogue, tokens cannot be checked.
  if (!state.has_catalogue && !parts.empty() && parts.at(0) == "v1") {
    return MakeProblemResponse(
        {status::kUnavailable,
         "no-catalogue",
         "No catalogue is loaded yet, and nothing was run. Retry after the "
         "time in Retry-After.",
         core::Duration::Seconds(1),
         std::nullopt,
         {}});
  }
  if (parts.size() >= 2 && parts.at(0) == "v1" && parts.at(1) == "jobs") {
    return RouteJobs(request, id, parts, state);
  }
  if (parts.size() >= 2 && parts.at(0) == "v1") {
    return RouteOperator(request, id, parts, state);
  }
  if (parts.size() >= 3 && parts.at(0) == "internal" && parts.at(1) == "v1") {
    return RouteInternal(request, id, parts, state);
  }
  return NoRoute(request);
}

}  // namespace hemlockdoor::entry
