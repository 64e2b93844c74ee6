#include "modules/wire/server/request_parser.h"

#include <QByteArray>
#include <QUrl>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <utility>

namespace hemlockdoor::wire {

namespace {

namespace http = boost::beast::http;
using http::verb;

/// Length of the end of a chunked body, "0\r\n\r\n". Beast asserts that at
/// least this many bytes are present when it resumes after the last chunk's
/// header.
constexpr std::size_t kMinChunkedTailBytes = 5;

constexpr int kExpectationFailed = 417;
constexpr int kNotImplemented = 501;
constexpr int kVersionNotSupported = 505;

HttpMethod ToMethod(verb method) {
  switch (method) {
    case verb::get:
      return HttpMethod::kGet;
    case verb::put:
      return HttpMethod::kPut;
    case verb::post:
      return HttpMethod::kPost;
    case verb::delete_:
      return HttpMethod::kDelete;
    default:
      return HttpMethod::kOther;
  }
}

/// Returns true for a method of RFC 9110 or RFC 5789 that no resource of this
/// server supports.
bool IsStandardMethod(verb method) {
  return method == verb::head || method == verb::options ||
         method == verb::patch || method == verb::trace ||
         method == verb::connect;
}

std::string DecodePath(std::string_view path) {
  if (path.find('%') == std::string_view::npos) {
    return std::string(path);
  }
  return QByteArray::fromPercentEncoding(
             QByteArray(path.data(), static_cast<qsizetype>(path.size())))
      .toStdString();
}

/// Returns true if the request line ends in a well-formed HTTP version. Tells a
/// request of another version, such as HTTP/2.0, from a malformed one.
bool NamesOtherVersion(std::string_view bytes) {
  const std::string_view line = bytes.substr(0, bytes.find('\r'));
  const std::size_t at = line.rfind(" HTTP/");
  constexpr std::size_t kVersionBytes = sizeof(" HTTP/1.1") - 1;
  return at != std::string_view::npos && line.size() == at + kVersionBytes;
}

std::string_view View(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

struct RequestParser::State {
  http::request_parser<http::string_body> parser;
};

RequestParser::RequestParser(std::size_t header_limit, std::size_t body_limit)
    : max_header_bytes(header_limit), state(std::make_unique<State>()) {
  this->state->parser.header_limit(static_cast<std::uint32_t>(header_limit));
  this->state->parser.body_limit(body_limit);
}

RequestParser::~RequestParser() = default;

void RequestParser::Refuse(int status, std::string type, std::string detail) {
  if (!this->refusal) {
    this->refusal = RequestRefusal{status, std::move(type), std::move(detail)};
  }
}

std::size_t RequestParser::Put(std::string_view bytes) {
  auto& parser = this->state->parser;
  const bool in_header = !parser.is_header_done();
  if (!in_header && bytes.size() < kMinChunkedTailBytes) {
    return 0;
  }
  boost::system::error_code failure;
  const std::size_t used = parser.put(
      boost::asio::const_buffer(bytes.data(), bytes.size()), failure);
  this->header_bytes += in_header ? used : 0;
  const std::size_t unused = bytes.size() - used;
  const bool waits = failure == http::error::need_more;
  const bool head_too_large =
      in_header &&
      this->header_bytes + (waits ? unused : 0) > this->max_header_bytes;
  if (failure == http::error::header_limit || head_too_large) {
    this->Refuse(http_status::kHeadersTooLarge, "headers-too-large",
                 "request line and headers exceed " +
                     std::to_string(this->max_header_bytes) + " bytes");
  } else if (failure == http::error::body_limit) {
    this->Refuse(http_status::kPayloadTooLarge, "body-too-large",
                 "the body is larger than this server accepts");
  } else if (failure == http::error::bad_version && NamesOtherVersion(bytes)) {
    this->Refuse(kVersionNotSupported, "version-not-supported",
                 "this server supports HTTP/1.1; use that version");
  } else if (failure && !waits) {
    this->Refuse(http_status::kBadRequest, "malformed-request",
                 failure.message());
  } else if (waits && !in_header && unused > this->max_header_bytes) {
    // Beast does not limit the size of chunk extensions and trailers.
    this->Refuse(http_status::kHeadersTooLarge, "headers-too-large",
                 "chunk extensions or trailers exceed " +
                     std::to_string(this->max_header_bytes) + " bytes");
  } else if (in_header && parser.is_header_done()) {
    this->CheckHead();
  }
  return used;
}

void RequestParser::CheckHead() {
  const auto& head = this->state->parser.get();
  const auto coding = head.find(http::field::transfer_encoding);
  const auto expect = head.find(http::field::expect);
  constexpr unsigned kVersion11 = 11;
  const bool is_known = ToMethod(head.method()) != HttpMethod::kOther;
  if (!is_known && IsStandardMethod(head.method())) {
    this->Refuse(http_status::kMethodNotAllowed, "method-not-allowed",
                 "use GET, PUT, POST or DELETE");
  } else if (!is_known) {
    this->Refuse(kNotImplemented, "method-not-implemented",
                 "use GET, PUT, POST or DELETE");
  } else if (coding != head.end() &&
             !boost::beast::iequals(coding->value(), "chunked")) {
    this->Refuse(kNotImplemented, "transfer-coding-not-implemented",
                 "use the transfer coding chunked, or Content-Length");
  } else if (coding != head.end() && head.version() < kVersion11) {
    this->Refuse(http_status::kBadRequest, "malformed-request",
                 "Transfer-Encoding requires HTTP/1.1");
  } else if (head.version() >= kVersion11 &&
             head.count(http::field::host) != 1) {
    this->Refuse(http_status::kBadRequest, "malformed-request",
                 "exactly one Host field is required");
  } else if (head.target().empty() || head.target().front() != '/') {
    this->Refuse(http_status::kBadRequest, "malformed-request",
                 "the request target must be a path that starts with \"/\"");
  } else if (expect != head.end() &&
             !boost::beast::iequals(expect->value(), "100-continue")) {
    this->Refuse(kExpectationFailed, "expectation-failed",
                 "the only supported expectation is 100-continue");
  }
}

bool RequestParser::IsHeaderDone() const {
  return this->state->parser.is_header_done();
}

bool RequestParser::IsComplete() const {
  return this->state->parser.is_done();
}

std::size_t RequestParser::ContentLength() const {
  const auto length = this->state->parser.content_length();
  return length ? static_cast<std::size_t>(*length) : 0;
}

bool RequestParser::IsChunked() const {
  return this->state->parser.chunked();
}

bool RequestParser::KeepsAlive() const {
  return this->state->parser.keep_alive();
}

bool RequestParser::ExpectsContinue() const {
  return this->state->parser.get().count(http::field::expect) > 0;
}

HttpRequest RequestParser::TakeHead() {
  const auto& head = this->state->parser.get();
  const std::string_view target = View(head.target());
  const std::size_t question = target.find('?');
  HttpRequest request;
  request.method = ToMethod(head.method());
  request.path = DecodePath(target.substr(0, question));
  if (question != std::string_view::npos) {
    request.query = std::string(target.substr(question + 1));
  }
  for (const auto& field : head) {
    request.headers.Add(std::string(View(field.name_string())),
                        std::string(View(field.value())));
  }
  return request;
}

std::size_t RequestParser::ChunkedBytes() const {
  return this->state->parser.get().body().size();
}

void RequestParser::ReserveChunked(std::size_t bytes) {
  this->state->parser.get().body().reserve(bytes);
}

std::string RequestParser::TakeChunkedBody() {
  return std::move(this->state->parser.get().body());
}

}  // namespace hemlockdoor::wire
