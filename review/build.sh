#!/usr/bin/env bash
# Builds the stand-ins and the programs of the scripts into review/out.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B out -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build out
