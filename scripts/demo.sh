#!/usr/bin/env bash
# Demonstrates the guarantees with real processes over loopback: writes and session reads on several
# proxies, a change of preset, a lost primary, a lost and a frozen control leader, a killed proxy, a
# graceful stop under load, and an export of a closed day. Exits with 0 only if every check passed. KEEP=1
# keeps the output folder.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/layout.sh
source scripts/layout.sh

service=registos-sal
groups=(registos-1 registos-2 registos-3)
group_options=(--group registos-1 --group registos-2 --group registos-3)

step() { printf '\n%s\n' "$1"; }

write_standin_layout() {
    jq -n '{timing: {connect_us: 12000, statement_us: 2000, receive_us: 1000, lag_us: 20000},
        groups: [range(1; 4) as $group | {id: "registos-\($group)", endpoints: [
            {id: "registos-\($group)-a", zone: "marinha-norte"}, {id: "registos-\($group)-b", zone: "marinha-sul"},
            {id: "registos-\($group)-c", zone: "armazem"}] | map(. + {slots: 5, connections: 30})}]}' >"$work/layout.json"
}

status() { api GET "$1" /v1/status; }

statement() { # HOST BODY [CURL OPTIONS...]
    local host="$1" body="$2"
    shift 2
    curl -sS --max-time 20 "$@" -H "Authorization: Bearer $operator_key" -H 'Content-Type: application/json' \
        --data "$body" "http://${host_address[$host]}:8101/v1/services/$service/statements"
}

all_endpoints_known() {
    status "$1" | jq -e '.endpoints | length == 9 and all(.[]; (.owner // "") != "")'
}

all_proxies_live() {
    status demo-1 | jq -e '.proxies | length == 4'
}

preset_on() {
    status "$1" | jq -e --arg service "$service" --arg preset "$2" '.services[$service].preset == $preset'
}

preset_on_all() {
    local host
    for host in "${live_hosts[@]}"; do
        preset_on "$host" "$1" || return 1
    done
}

select_preset() { # HOST PRESET
    local revision
    revision="$(status "$1" | jq -e --arg service "$service" '.services[$service].revision')" || return 1
    api POST "$1" "/v1/services/$service/preset" \
        "$(jq -n --arg preset "$2" --argjson revision "$revision" --arg request "demo-$2-$revision" \
            '{preset: $preset, expected_revision: $revision, request_id: $request}')" | jq -e '.verdict == "ran"'
}

write_runs() {
    statement demo-1 "$(jq -n --arg id "$1" \
        '{sql: "INSERT INTO entries (id, value) VALUES ($1, $2)", params: [$id, $id], key: $id, kind: "write"}')" \
        -D "$work/headers" | jq -e '.verdict == "ran"'
}

start_everything() {
    step "Start: three hosts with proxy and control roles, one proxy, nine databases in three groups"
    write_standin_layout
    layout_define demo-1 marinha-norte proxy control
    layout_define demo-2 marinha-sul proxy control
    layout_define demo-3 armazem proxy control
    layout_define demo-4 marinha-norte proxy
    live_hosts=(demo-1 demo-2 demo-3 demo-4)
    local host
    for host in "${live_hosts[@]}"; do
        start_host "$host"
    done
    start_standin "$work/layout.json"
    check "all four proxies are registered" until_true 20 all_proxies_live
    check "all nine endpoints are announced and owned" until_true 20 all_endpoints_known demo-4
    check "the service is created over HTTP" until_true 10 create_service
}

create_service() {
    api PUT demo-2 "/v1/services/$service" \
        '{"groups": ["registos-1", "registos-2", "registos-3"], "preset": "ordinary_day",
          "default_deadline_ms": 5000, "expected_revision": 0, "request_id": "demo-service"}' |
        jq -e '.verdict == "ran"'
}

show_sessions() {
    step "A write on demo-1, read with its session on demo-4"
    check "the write is acknowledged" until_true 10 write_runs demo-row
    local token answer
    token="$(tr -d '\r' <"$work/headers" | sed -n 's/^[Xx]-[Mm]angoquay-[Ss]ession: //p')"
    check "the answer carries a session token" test -n "$token"
    answer="$(statement demo-4 '{"sql": "SELECT id, value FROM entries WHERE id = $1", "params": ["demo-row"],
        "key": "demo-row", "kind": "read"}' -H "X-Mangoquay-Session: $token")"
    check "demo-4 reads the write" test "$(jq -r '.rows[0][1]' <<<"$answer")" = demo-row
    echo "  read answered by endpoint $(jq -r .endpoint <<<"$answer")"
    mapfile -t all < <(proxy_options "${live_hosts[@]}")
    check "40 sessions that roam between proxies always see their own writes" \
        load read_your_writes "$work/sessions.json" "${all[@]}" "${group_options[@]}" --duration 4
    jq -r '"  \(.requests) requests, share of reads by replicas \(.reads_by_replicas_share)"' "$work/sessions.json"
}

show_preset() {
    step "A switch of preset on demo-3"
    check "the change is accepted" until_true 10 select_preset demo-3 peak
    local started=$EPOCHREALTIME
    check "every proxy shows the preset within 6 s" until_true 6 preset_on_all peak
    echo "  seen everywhere after $(elapsed_ms "$started") ms"
}

elapsed_ms() {
    echo $(((${EPOCHREALTIME/./} - ${1/./}) / 1000))
}

promoted() {
    local now
    now="$(primary_of registos-1)"
    [ "$now" != null ] && [ "$now" != "$1" ]
}

show_lost_primary() {
    step "A lost primary under writes"
    local lost load_pid
    lost="$(primary_of registos-1)"
    # All writes go to the group that loses its primary, so that the measured gap is the gap of that group.
    load failover "$work/failover.json" "${all[@]}" "${group_options[@]}" --only-group registos-1 --duration 12 &
    load_pid=$!
    sleep 4
    standin "$lost/crash" >/dev/null
    echo "  $lost crashed"
    check "another database is promoted" until_true 15 promoted "$lost"
    echo "  the primary is now $(primary_of registos-1)"
    standin "$lost/restart" >/dev/null
    check "no acknowledged write is lost, doubled or stale" wait "$load_pid"
    jq -r '"  \(.requests) requests, longest gap in acknowledged writes \(.longest_write_gap_ms) ms"' "$work/failover.json"
    check "the returned primary still has its old term" \
        jq -e --arg id "$lost" '.[] | select(.id == $id) | .term == 1' <(endpoints)
    standin "$lost/rewind" >/dev/null
    check "it follows the new primary after a rewind" until_true 10 streams "$lost"
}

streams() {
    endpoints | jq -e --arg id "$1" '.[] | select(.id == $id) | .streaming'
}

leader() {
    status "$1" | jq -re '.leader | select(. != null and . != "")'
}

show_lost_leader() {
    step "The loss of the control leader (kill -9)"
    local lost other host
    lost="$(leader demo-4)" || fail "the status names the control leader"
    stop_host "$lost" KILL
    echo "  $lost killed"
    live_hosts=()
    for host in "${defined_hosts[@]}"; do
        [ "$host" = "$lost" ] || live_hosts+=("$host")
    done
    other="${live_hosts[0]}"
    check "a change is accepted by the remaining hosts" until_true 15 select_preset "$other" ordinary_day
    check "every remaining proxy shows it" until_true 6 preset_on_all ordinary_day
    check "accepted before the loss, still there: the service" preset_on "$other" ordinary_day
    wait "${host_pid[$lost]}" 2>/dev/null || true
    start_host "$lost"
    live_hosts=("${defined_hosts[@]}")
    check "the restarted host catches up" until_true 15 preset_on "$lost" ordinary_day
}

# A host that was paused for longer than every lease must not act on its state from before the pause.
show_frozen_leader() {
    step "The control leader frozen for 4 s (SIGSTOP) under writes"
    local frozen other host load_pid
    frozen="$(leader demo-4)" || fail "the status names the control leader"
    for host in demo-1 demo-2 demo-3; do
        [ "$host" = "$frozen" ] || other="$host"
    done
    mapfile -t running < <(for host in "${live_hosts[@]}"; do [ "$host" = "$frozen" ] || proxy_options "$host"; done)
    load failover "$work/frozen.json" "${running[@]}" "${group_options[@]}" --duration 10 &
    load_pid=$!
    sleep 1
    stop_host "$frozen" STOP
    echo "  $frozen stopped"
    check "another leader accepts a change" until_true 15 select_preset "$other" maintenance
    sleep 2
    stop_host "$frozen" CONT
    check "the woken host shows the change" until_true 10 preset_on "$frozen" maintenance
    check "it is not the leader by what it remembered" test "$(leader "$other")" != "$frozen"
    check "no acknowledged write is lost, doubled or stale" wait "$load_pid"
    jq -r '"  \(.requests) requests, longest gap in acknowledged writes \(.longest_write_gap_ms) ms"' "$work/frozen.json"
    check "the preset is switched back" until_true 10 select_preset "$other" ordinary_day
}

row_count() { # ID
    statement demo-1 "$(jq -n --arg id "$1" \
        '{sql: "SELECT id, value FROM entries WHERE id = $1", params: [$id], group: "registos-2", kind: "read"}')" |
        jq -e '.verdict == "ran" and (.rows | length == 0)'
}

insert_elsewhere() {
    statement demo-1 "$(jq -n '{sql: "INSERT INTO entries (id, value) VALUES ($1, $2)",
        params: ["open-row", "other"], group: "registos-2", kind: "write"}')" | jq -e '.verdict == "ran"'
}

show_dead_proxy() {
    step "A proxy that dies (kill -9) with a transaction open"
    local transaction
    transaction="$(api POST demo-4 "/v1/services/$service/transactions" '{"group": "registos-2"}' | jq -re .transaction)"
    check "a statement of the transaction runs" test "$(api POST demo-4 \
        "/v1/services/$service/transactions/$transaction/statements" '{"sql":
        "INSERT INTO entries (id, value) VALUES ($1, $2)", "params": ["open-row", "open"]}' | jq -r .verdict)" = ran
    check "the same transaction on another proxy is refused" test "$(api POST demo-1 \
        "/v1/services/$service/transactions/$transaction/commit" '{}' | jq -r .verdict)" = not_run
    stop_host demo-4 KILL
    wait "${host_pid[demo-4]}" 2>/dev/null || true
    check "nothing of the transaction is left" until_true 10 row_count open-row
    check "another caller writes the same row" until_true 10 insert_elsewhere
    start_host demo-4
    check "demo-4 is back" until_true 15 preset_on demo-4 ordinary_day
}

show_graceful_stop() {
    step "A graceful stop (SIGTERM) of demo-4 under load"
    local load_pid cut status=0
    load read_your_writes "$work/stop.json" "${all[@]}" "${group_options[@]}" --duration 6 &
    load_pid=$!
    sleep 2
    stop_host demo-4 TERM
    wait "${host_pid[demo-4]}" || status=$?
    check "demo-4 ends by itself with exit code 0" test "$status" = 0
    unset 'host_pid[demo-4]'
    check "the history of the run is clean" wait "$load_pid"
    cut="$(jq '[.streams[].reasons | to_entries[] | select(.key | startswith("may_have_run/transport_error")) | .value]
        | add // 0' "$work/stop.json")"
    jq -c '.streams[].reasons' "$work/stop.json"
    check "no request was cut (may_have_run by transport: $cut)" test "$cut" = 0
    live_hosts=(demo-1 demo-2 demo-3)
    mapfile -t all < <(proxy_options "${live_hosts[@]}")
}

day_write() { # ID; prints the answer
    statement demo-1 "$(jq -n --arg id "$1" '{sql: "INSERT INTO entries (id, value) VALUES ($1, $2)",
        params: [$id, "day"], group: "registos-2", kind: "write", business_day: "2026-12-04"}')"
}

export_day() {
    api POST demo-2 "/v1/services/$service/export" '{"sql": "SELECT id, value FROM entries ORDER BY id",
        "params": [], "business_day": "2026-12-04", "group": "registos-2"}' >"$work/export.json"
    jq -e '.verdict == "ran"' "$work/export.json"
}

show_export() {
    step "Closing a business day and the export's read"
    local index answer
    for index in 1 2 3 4 5; do
        check "a write of the day is acknowledged" test "$(day_write "day-$index" | jq -r .verdict)" = ran
    done
    export_day >/dev/null && fail "the export must not read an open day"
    check "before the close the export is told day_not_settled" \
        test "$(jq -r .reason "$work/export.json")" = day_not_settled
    check "the close is accepted" test "$(api POST demo-1 "/v1/services/$service/days/2026-12-04/close" \
        '{"request_id": "demo-close"}' | jq -r .verdict)" = ran
    check "the export reads the settled day" until_true 15 export_day
    check "it contains every acknowledged write of the day" \
        jq -e '[.rows[] | select(.[1] == "day")] | length == 5' "$work/export.json"
    answer="$(day_write day-late)"
    check "a later write of the day is refused as day_closed" \
        test "$(jq -r '.verdict + "/" + .reason' <<<"$answer")" = not_run/day_closed
}

show_limits() {
    step "Limits of the databases over the whole run"
    check "no database ever ran more statements of callers than its slots" \
        jq -e 'all(.[]; .highest_callers_running <= .slots)' <(endpoints)
    check "no database ever had more connections than allowed" \
        jq -e 'all(.[]; .highest_connections <= .connections and .connections_refused == 0)' <(endpoints)
}

layout_build
layout_begin
start_everything
show_sessions
show_preset
show_lost_primary
show_lost_leader
show_frozen_leader
show_dead_proxy
show_graceful_stop
show_export
show_limits
printf '\ndemo: every outcome was checked\n'
