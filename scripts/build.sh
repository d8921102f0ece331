#!/usr/bin/env bash
# Configures and builds into the folder given as first argument (default: build).
set -euo pipefail
cd "$(dirname "$0")/.."
folder="${1:-build}"
shift || true
cmake -S . -B "$folder" -G Ninja "$@" >/dev/null
cmake --build "$folder" ${MANGOQUAY_JOBS:+-j "$MANGOQUAY_JOBS"}
