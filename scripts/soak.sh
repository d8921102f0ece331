#!/usr/bin/env bash
# Plays two short soaks of real processes with fixed seeds. Any broken rule fails the script and keeps the logs.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${MANGOQUAY_BUILD:-build}"
for shape in record mixed; do
    "$build/mangoquay_soak" --seed 1 --seconds 45 --control 3 --entry 4 --shape "$shape" --unnoticed-freezes \
        --program "$build/mangoquay"
done
