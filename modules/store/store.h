// Umbrella header of the store module: the key-value store port and its
// adapters (in memory, and for an etcd gateway).
#pragma once

#include "modules/store/etcd/etcd_gateway_store.h"  // IWYU pragma: export
#include "modules/store/memory/memory_store.h"      // IWYU pragma: export
#include "modules/store/port/key_value_store.h"     // IWYU pragma: export
