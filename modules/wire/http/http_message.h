// HTTP requests and responses as plain values, free of Qt types.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockdoor::wire {

/// Supported request methods. kOther stands for any other method.
enum class HttpMethod { kGet, kPut, kPost, kDelete, kOther };

/// One header field.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// Header fields in the order in which they were added. Field names are
/// case-insensitive.
class HttpHeaders {
 public:
  /// Appends a field. Earlier fields of the same name are kept.
  void Add(std::string name, std::string value);
  /// Returns the value of the first field called `name`, or nothing if there is
  /// none.
  std::optional<std::string> Find(std::string_view name) const;
  /// Returns all fields in order.
  const std::vector<HttpHeader>& All() const { return this->fields; }

 private:
  std::vector<HttpHeader> fields;
};

/// An HTTP request.
struct HttpRequest {
  HttpMethod method = HttpMethod::kOther;
  /// Path without query, percent-decoded.
  std::string path;
  /// Query without the question mark.
  std::string query;
  HttpHeaders headers;
  std::string body;
  /// IP address of the client, for received requests.
  std::string remote_address;
  /// The share of the server's byte budget that the body occupies. Keep the
  /// share as long as the body, so that the total size of all bodies stays
  /// bounded.
  std::shared_ptr<const void> body_share;
};

/// An HTTP response.
struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  HttpHeaders headers;
  std::string body;
  /// Share of a byte budget that the body of a response to be sent occupies, or
  /// null. The server returns it when the response is written or dropped.
  std::shared_ptr<const void> body_share;
};

/// HTTP status codes.
namespace http_status {
inline constexpr int kOk = 200;
inline constexpr int kCreated = 201;
inline constexpr int kAccepted = 202;
inline constexpr int kNoContent = 204;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kForbidden = 403;
inline constexpr int kNotFound = 404;
inline constexpr int kMethodNotAllowed = 405;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kConflict = 409;
inline constexpr int kPreconditionFailed = 412;
inline constexpr int kPayloadTooLarge = 413;
inline constexpr int kUnprocessable = 422;
inline constexpr int kPreconditionRequired = 428;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kHeadersTooLarge = 431;
inline constexpr int kInternalError = 500;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;
}  // namespace http_status

/// Returns a problem-details response (RFC 9457). `type` is the last part of
/// the problem type URN and also the title. `detail` tells the client what went
/// wrong and what it can do next.
HttpResponse MakeProblem(int status, std::string type, std::string detail);

}  // namespace hemlockdoor::wire
