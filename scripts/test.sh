#!/usr/bin/env bash
# Installs missing packages, builds, and runs all tests. Known failures listed in KNOWN-RED.txt are printed
# and skipped.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh "${MANGOQUAY_BUILD:-build}"
exec "${MANGOQUAY_BUILD:-build}/mangoquay_tests" --known-red KNOWN-RED.txt "$@"
