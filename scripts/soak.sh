#!/usr/bin/env bash
# Plays three short soaks of real processes with fixed seeds. Any broken rule fails the script and keeps the logs.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${MANGOQUAY_BUILD:-build}"
for shape in record mixed; do
    "$build/mangoquay_soak" --seed 1 --seconds 45 --control 3 --entry 4 --shape "$shape" --unnoticed-freezes \
        --program "$build/mangoquay"
done
"$build/mangoquay_soak" --seed 1 --seconds 45 --control 3 --entry 4 --shape mixed --unnoticed-freezes --customers \
    --program "$build/mangoquay"
