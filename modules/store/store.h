// Umbrella header of the store module: port and adapters of the platform's
// key-value service.
#pragma once

#include "modules/store/etcd/etcd_gateway_store.h"  // IWYU pragma: export
#include "modules/store/memory/memory_store.h"      // IWYU pragma: export
#include "modules/store/port/key_value_store.h"     // IWYU pragma: export
