// HTTP requests and responses as plain values, free of Qt types.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockdoor::wire {

/// Request methods that the project uses.
enum class HttpMethod { kGet, kPut, kPost, kDelete, kOther };

/// One header field.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// Header fields in order; names compare without regard to case.
class HttpHeaders {
 public:
  /// Adds a field; does not replace an earlier one of the same name.
  void Add(std::string name, std::string value);
  /// The first value of the named field, or nothing.
  std::optional<std::string> Find(std::string_view name) const;
  /// All fields in order.
  const std::vector<HttpHeader>& All() const { return this->fields; }

 private:
  std::vector<HttpHeader> fields;
};

/// A received request, or one to be sent.
struct HttpRequest {
  HttpMethod method = HttpMethod::kOther;
  /// Path without query, percent-decoded.
  std::string path;
  /// Query without the question mark.
  std::string query;
  HttpHeaders headers;
  std::string body;
  /// Address of the peer, for received requests.
  std::string remote_address;
  /// Holds the body's share of the server's byte budget; keep it as long as
  /// the body is kept, so that all bodies together stay bounded.
  std::shared_ptr<const void> body_share;
};

/// A response to be sent, or one received.
struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  HttpHeaders headers;
  std::string body;
};

/// Status codes that the project answers with.
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

/// Makes an RFC 9457 problem-details response. `type` is the last path part
/// of the problem type, `detail` tells the caller what it may do next.
HttpResponse MakeProblem(int status, std::string type, std::string detail);

}  // namespace hemlockdoor::wire
