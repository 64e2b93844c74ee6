// Conversion of calls to Qt's network requests.
#pragma once

#include <QByteArray>
#include <QNetworkRequest>

#include "modules/wire/client/http_client.h"

namespace hemlockdoor::wire::detail {

/// The method as it is written on the request line.
QByteArray MethodName(HttpMethod method);

/// URL, headers and attributes of a call; without its body.
QNetworkRequest ToNetworkRequest(const HttpCall& call);

}  // namespace hemlockdoor::wire::detail
