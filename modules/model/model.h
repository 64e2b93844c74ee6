// Umbrella header of the model module: jobs, workers, the catalogue, messages,
// and their conversion to and from JSON. Uses no Qt and does no I/O.
#pragma once

#include "modules/model/catalogue/catalogue.h"     // IWYU pragma: export
#include "modules/model/job/job.h"                 // IWYU pragma: export
#include "modules/model/json/json_reader.h"        // IWYU pragma: export
#include "modules/model/json/named_values.h"       // IWYU pragma: export
#include "modules/model/messages/gang_messages.h"  // IWYU pragma: export
#include "modules/model/messages/messages.h"       // IWYU pragma: export
#include "modules/model/worker/worker.h"           // IWYU pragma: export
