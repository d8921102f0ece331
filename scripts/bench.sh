#!/usr/bin/env bash
# Measures mangoquay and the baseline in two deployments: share of reads served by replicas, p99 latency of
# short statements alone and beside long ones, goodput at the peak, and write gaps at a planned switchover
# and when the primary is lost. Both systems run in the same invocation, so that their results are comparable.
# Prints a table and marks runs that violated a guarantee. KEEP=1 keeps all output.
# Arguments: deployments to run (default: registos-sal bookings-db). BENCH_SYSTEMS selects the systems to run
# (default: "baseline mangoquay").
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/layout.sh
source scripts/layout.sh

systems="${BENCH_SYSTEMS:-baseline mangoquay}"
statement_us=5000       # Duration of ordinary statements.
peak_statement_us=20000 # Long enough that the database slots, not the machine, limit the throughput.
declare -A zones=([registos-sal]="marinha-norte marinha-sul armazem" [bookings-db]="makati pasig quezon")
declare -A slots=([registos-sal]=5 [bookings-db]=3)
declare -A connections=([registos-sal]=30 [bookings-db]=40)
declare -A one_way_us=([registos-sal]=500 [bookings-db]=1000)
declare -a group_options=() transport=()

row() { printf '%-14s %-10s %-46s %s\n' "$@"; }

# A record takes the one-way delay to the replica, and its acknowledgement takes the same delay back to the
# primary. Both delays are set at the replica. Hosts communicate with the latency of loopback.
write_layout() {
    read -ra names <<<"${zones[$1]}"
    jq -n --arg service "$1" --argjson slots "${slots[$1]}" --argjson connections "${connections[$1]}" \
        --argjson one_way "${one_way_us[$1]}" --argjson statement "$statement_us" \
        --argjson zones "$(printf '%s\n' "${names[@]}" | jq -R . | jq -s .)" '
        {timing: {connect_us: 12000, statement_us: $statement, receive_us: (2 * $one_way), lag_us: 50000},
         zone_latency_us: $one_way,
         groups: [range(1; 4) as $group | {id: "\($service)-\($group)", endpoints: [range(3) as $index
            | {id: "\($service)-\($group)-\("abc"[$index:$index + 1])", zone: $zones[($group + $index) % 3],
               slots: $slots, connections: $connections}]}]}' >"$work/layout.json"
}

for_every_endpoint() {
    local id
    for id in $(endpoints | jq -r '.[].id'); do
        standin "$id/$1" >/dev/null
    done
}

all_owned() {
    api GET bench-1 /v1/status | jq -e '(.endpoints | length == 9 and all(.[]; (.owner // "") != "")) and (.proxies | length == 6)'
}

create_service() {
    api PUT bench-1 "/v1/services/$1" "$(jq -n --arg service "$1" '{groups: [range(1; 4) | "\($service)-\(.)"],
        preset: "peak", default_deadline_ms: 5000, expected_revision: 0, request_id: "bench-service"}')" |
        jq -e '.verdict == "ran"'
}

start_mangoquay() {
    read -ra names <<<"${zones[$1]}"
    local index
    for index in 1 2 3 4 5 6; do
        layout_define "bench-$index" "${names[$((index % 3))]}" proxy $([ "$index" -gt 3 ] || echo control)
    done
    for index in 1 2 3 4 5 6; do
        start_host "bench-$index"
    done
    start_standin "$work/layout.json"
    until_true 30 all_owned || fail "the layout of $1 did not become ready"
    until_true 10 create_service "$1" || fail "the service $1 was not accepted"
    mapfile -t transport < <(proxy_options "${defined_hosts[@]}")
}

start_system() { # SERVICE SYSTEM
    write_layout "$1"
    group_options=(--group "$1-1" --group "$1-2" --group "$1-3" --service "$1")
    if [ "$2" = baseline ]; then
        start_standin "$work/layout.json"
        until_true 10 endpoints || fail "the stand-in did not start"
        transport=(--baseline "$work/standin.json")
    else
        start_mangoquay "$1"
    fi
}

# run NAME SCENARIO OPTIONS...: writes the summary to $work/NAME.json.
run() {
    local name="$1" scenario="$2" mark=""
    shift 2
    load "$scenario" "$work/$name.json" "${transport[@]}" "${group_options[@]}" "$@" ||
        mark="$(jq -r 'if .finished then "\(.violations.total) violations: \(.violations.first)" else .failure end' "$work/$name.json")"
    [ -z "$mark" ] || printf '  run %s: %s\n' "$name" "$mark"
}

value() { jq -r "$2 | if . == null then \"none\" else (. * 10000 | round / 10000) end" "$work/$1.json"; }

measure_failover() { # SERVICE SYSTEM
    local killer
    (
        trap - EXIT
        sleep 5
        standin "$(primary_of "$1-1")/crash" >/dev/null
    ) &
    killer=$!
    run failover failover --only-group "$1-1" --duration 15
    wait "$killer"
    row "$1" "$2" "longest write gap, primary lost (ms)" "$(value failover .longest_write_gap_ms)"
}

measure_hand_over() { # SERVICE SYSTEM
    [ "$2" = mangoquay ] || return 0
    local mover
    (
        trap - EXIT
        sleep 4
        api POST bench-1 "/v1/groups/$1-2/hand-over" '{}' >"$work/hand-over.answer"
    ) &
    mover=$!
    run hand-over failover --only-group "$1-2" --duration 8
    wait "$mover"
    row "$1" "$2" "longest write gap, planned switchover (ms)" "$(value hand-over .longest_write_gap_ms)"
}

measure_all() { # SERVICE SYSTEM
    run freshness freshness
    row "$1" "$2" "share of reads served by replicas" "$(value freshness .reads_by_replicas_share)"
    run short short_only
    run mixed stragglers
    row "$1" "$2" "p99 of short work alone (ms)" "$(value short .streams.short.latency_ms.p99)"
    row "$1" "$2" "p99 of short work beside long work (ms)" "$(value mixed .streams.short.latency_ms.p99)"
    row "$1" "$2" "ratio of the two" "$(jq -rn --slurpfile alone "$work/short.json" --slurpfile mixed "$work/mixed.json" \
        '$mixed[0].streams.short.latency_ms.p99 / $alone[0].streams.short.latency_ms.p99 * 100 | round / 100')"
    for_every_endpoint "stragglers?statement_us=$peak_statement_us"
    local capacity=$((3 * slots[$1] * 1000000 / peak_statement_us))
    run peak peak --rate-factor "$capacity"
    row "$1" "$2" "goodput at the peak / slot capacity $capacity/s" \
        "$(jq -r ".peak_goodput_per_s / $capacity * 1000 | round / 1000" "$work/peak.json")"
    for_every_endpoint "stragglers?statement_us=$statement_us"
    measure_hand_over "$1" "$2"
    measure_failover "$1" "$2"
}

layout_build
row deployment system measure value
for service in "${@:-registos-sal bookings-db}"; do
    for name in $service; do
        for system in $systems; do
            # Each system runs in a subshell, whose exit stops its layout.
            (
                layout_begin
                start_system "$name" "$system"
                measure_all "$name" "$system"
            )
        done
    done
done
