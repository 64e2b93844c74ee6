// Umbrella header of the wire module: HTTP server, HTTP client, bearer tokens
// and message passing between threads.
#pragma once

#include "modules/wire/auth/bearer.h"         // IWYU pragma: export
#include "modules/wire/client/http_client.h"  // IWYU pragma: export
#include "modules/wire/client/http_stream.h"  // IWYU pragma: export
#include "modules/wire/http/http_message.h"   // IWYU pragma: export
#include "modules/wire/loop/inbox.h"          // IWYU pragma: export
#include "modules/wire/loop/run_later.h"      // IWYU pragma: export
#include "modules/wire/server/byte_budget.h"  // IWYU pragma: export
#include "modules/wire/server/http_server.h"  // IWYU pragma: export
