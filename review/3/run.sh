#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build.sh.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
[ -x "$root/target/mangoquay" ] && [ -x "$root/target/review/cases" ] || exit 2
REVIEW_ROOT="$root" timeout -k 2 115 "$root/target/review/cases" busy-transaction-at-stop "$here/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
