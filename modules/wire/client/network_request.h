// Conversion of HttpCall to QNetworkRequest.
#pragma once

#include <QByteArray>
#include <QNetworkRequest>

#include "modules/wire/client/http_client.h"

namespace hemlockdoor::wire::detail {

/// Returns the method name for the request line; "OPTIONS" for kOther.
QByteArray MethodName(HttpMethod method);

/// Returns a request with the URL, headers and attributes of `call`. The body
/// is passed to Qt separately.
QNetworkRequest ToNetworkRequest(const HttpCall& call);

}  // namespace hemlockdoor::wire::detail
