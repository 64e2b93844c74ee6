#include "modules/wire/server/response_compression.h"

#include <QByteArray>
#include <cstddef>
#include <string>
#include <string_view>

namespace hemlockdoor::wire::detail {

namespace {

constexpr std::size_t kMinBytes = 32U * 1024U;
/// Larger bodies would hold up the event loop.
constexpr std::size_t kMaxBytes = 2U * 1024U * 1024U;
/// The fastest level of zlib.
constexpr int kLevel = 1;
/// qCompress puts the length before the zlib stream (RFC 1950).
constexpr qsizetype kLengthBytes = 4;
constexpr const char* kEncodingHeader = "Content-Encoding";

std::string_view Trimmed(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

}  // namespace

bool AcceptsDeflate(const HttpHeaders& request_headers) {
  const std::string field =
      request_headers.Find("Accept-Encoding").value_or(std::string());
  std::string_view rest = field;
  while (!rest.empty()) {
    const std::size_t comma = rest.find(',');
    if (Trimmed(rest.substr(0, comma)) == "deflate") {
      return true;
    }
    rest = comma == std::string_view::npos ? std::string_view()
                                           : rest.substr(comma + 1);
  }
  return false;
}

std::optional<HttpResponse> Compress(const HttpResponse& response) {
  const std::size_t size = response.body.size();
  if (size < kMinBytes || size > kMaxBytes ||
      response.headers.Find(kEncodingHeader)) {
    return std::nullopt;
  }
  const QByteArray compressed =
      qCompress(reinterpret_cast<const uchar*>(response.body.data()),
                static_cast<qsizetype>(size), kLevel);
  const qsizetype stream_bytes = compressed.size() - kLengthBytes;
  if (stream_bytes <= 0 || static_cast<std::size_t>(stream_bytes) >= size) {
    return std::nullopt;
  }
  HttpResponse smaller;
  smaller.status = response.status;
  smaller.content_type = response.content_type;
  smaller.headers = response.headers;
  smaller.headers.Add(kEncodingHeader, "deflate");
  smaller.body.assign(compressed.constData() + kLengthBytes,
                      static_cast<std::size_t>(stream_bytes));
  return smaller;
}

}  // namespace hemlockdoor::wire::detail
