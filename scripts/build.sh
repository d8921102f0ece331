#!/usr/bin/env bash
# Configures and builds in the folder given as the first argument (default: build). The other arguments are
# passed to CMake.
set -euo pipefail
cd "$(dirname "$0")/.."
folder="${1:-build}"
shift || true
cmake -S . -B "$folder" -G Ninja "$@" >/dev/null
cmake --build "$folder" ${MANGOQUAY_JOBS:+-j "$MANGOQUAY_JOBS"}
