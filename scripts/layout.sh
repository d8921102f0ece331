# Starts and stops a layout of mangoquay hosts and the PostgreSQL stand-in on loopback addresses. Sourced by
# demo.sh and bench.sh.
#
# Each layout uses its own addresses (127.x.y.*), so that several layouts can run on one machine. Processes
# are stopped by their ids. All files are in one temporary folder, which is removed at the end unless KEEP=1
# is set.

build="${MANGOQUAY_BUILD:-build}"
operator_key="layout-operator-key-0001"
declare -A host_pid=() host_address=()
standin_pid=""
work=""
network=""

# SKIP_BUILD=1 uses the programs in $build without building them.
layout_build() {
    [ "${SKIP_BUILD:-0}" != 1 ] || return 0
    scripts/install.sh
    scripts/build.sh "$build" >/dev/null
}

layout_begin() {
    work="$(mktemp -d)"
    network="127.$((BASHPID / 250 % 250 + 1)).$((BASHPID % 250 + 1))"
    trap layout_end EXIT
    trap 'exit 130' INT TERM
}

layout_end() {
    local status=$?
    trap - EXIT
    local pid
    for pid in "${host_pid[@]}" $standin_pid; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in "${host_pid[@]}" $standin_pid; do
        wait_for_exit "$pid" 10 || kill -KILL "$pid" 2>/dev/null || true
    done
    if [ "${KEEP:-0}" = 1 ]; then
        echo "output is in $work"
    else
        rm -rf "$work"
    fi
    exit "$status"
}

# wait_for_exit PID SECONDS: fails if the process still runs after that time.
wait_for_exit() {
    local tries=$(($2 * 20))
    while kill -0 "$1" 2>/dev/null; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || return 1
        sleep 0.05
    done
}

# until_true SECONDS COMMAND...: polls until the command succeeds. Fails after that time.
until_true() {
    local limit=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$limit" ] || return 1
        sleep 0.1
    done
}

# layout_define HOST ZONE ROLES...: the control hosts that are defined when a host starts form its control
# cell.
declare -a defined_hosts=() control_hosts=()
layout_define() {
    local host="$1" zone="$2"
    shift 2
    defined_hosts+=("$host")
    host_address[$host]="$network.$((10 + ${#defined_hosts[@]}))"
    [[ " $* " != *" control "* ]] || control_hosts+=("$host")
    printf '%s\n' "$zone" >"$work/$host.zone"
    printf '%s\n' "$@" >"$work/$host.roles"
}

control_hosts_json() {
    local host
    for host in "${control_hosts[@]}"; do
        jq -n --arg host "$host" --arg peer "${host_address[$host]}:7101" '{host: $host, peer_address: $peer}'
    done | jq -s .
}

write_settings() {
    local host="$1" cell
    cell="$(control_hosts_json)"
    mkdir -p "$work/$host"
    jq -n --arg host "$host" --arg zone "$(cat "$work/$host.zone")" --arg address "${host_address[$host]}" \
        --arg data "$work/$host/data" --arg log "$work/$host/log" --arg key "$operator_key" \
        --argjson cell "$cell" --argjson roles "$(jq -R . "$work/$host.roles" | jq -s .)" '
        {host: $host, zone: $zone, peer_address: ($address + ":7101"), http_address: ($address + ":8101"),
         roles: $roles, control_hosts: $cell, cluster_key: "layout-cluster-key-0001",
         session_keys: [{id: 1, key: "layout-session-key-0001"}],
         callers: [{id: "operator", key: $key, operator: true, services: ["*"]}],
         database: {user: "mangoquay", database: "entries"}, log: {level: "info", file: $log}}
        + (if $roles | index("control") then {data_folder: $data, trace_file: ($data + "/trace")} else {} end)' >"$work/$host/settings.json"
}

start_host() {
    write_settings "$1"
    mkdir -p "$work/$1/data"
    "$build/mangoquay" run --config "$work/$1/settings.json" >>"$work/$1/output" 2>&1 &
    host_pid[$1]=$!
}

# stop_host HOST SIGNAL: sends the signal and does not wait.
stop_host() {
    kill "-$2" "${host_pid[$1]}"
}

# start_standin LAYOUT: adds addresses, announcements and client zones to a JSON file with groups and
# timing, and starts the stand-in with the result.
start_standin() {
    local host proxies zones
    zones="$(for host in "${defined_hosts[@]}"; do jq -n --arg host "$host" --arg zone "$(cat "$work/$host.zone")" \
        '{($host): $zone}'; done | jq -s 'add // {}')"
    proxies="$(for host in "${defined_hosts[@]}"; do echo "http://${host_address[$host]}:8101"; done | jq -R . | jq -s .)"
    jq --arg network "$network" --arg key "$operator_key" --argjson to "$proxies" --argjson zones "$zones" '
        .control = {host: ($network + ".100"), port: 8100} | .announce = {to: $to, key: $key} | .client_zones = $zones
        | .groups |= [to_entries[] | .key as $group | .value
            | .endpoints |= [to_entries[] | .value + {host: ($network + "." + (101 + $group * 10 + .key | tostring)), port: 5432}]]
        ' "$1" >"$work/standin.json"
    "$build/postgres_standin" --layout "$work/standin.json" >"$work/standin.output" 2>&1 &
    standin_pid=$!
}

# api METHOD HOST PATH [BODY]: prints the response body.
api() {
    curl -sS --max-time 20 -X "$1" -H "Authorization: Bearer $operator_key" -H 'Content-Type: application/json' \
        ${4:+--data "$4"} "http://${host_address[$2]}:8101$3"
}

# standin ENDPOINT/ACTION: applies an action to a database, for example registos-1-a/crash.
standin() {
    curl -sS --max-time 10 -X POST "http://$network.100:8100/endpoints/$1"
}

endpoints() {
    curl -sS --max-time 10 "http://$network.100:8100/endpoints"
}

# primary_of GROUP: prints the running primary with the highest term.
primary_of() {
    endpoints | jq -r --arg group "$1" \
        '[.[] | select(.group == $group and .role == "primary" and (.crashed | not))] | max_by(.term) | .id'
}

proxy_options() {
    local host
    for host in "$@"; do
        printf -- '--proxy\nhttp://%s:8101\n' "${host_address[$host]}"
    done
}

# load SCENARIO OUTPUT OPTIONS...: runs the load tool. The exit code is the result of its history check.
load() {
    local scenario="$1" output="$2"
    shift 2
    "$build/mangoquay_load" --scenario "tools/load/scenarios/$scenario.json" --key "$operator_key" "$@" >"$output"
}

ok() {
    printf '  ok: %s\n' "$1"
}

fail() {
    printf '  FAILED: %s\n' "$1" >&2
    exit 1
}

# check DESCRIPTION COMMAND...: prints the result and exits if the command fails.
check() {
    local description="$1"
    shift
    if "$@" >/dev/null; then ok "$description"; else fail "$description"; fi
}
