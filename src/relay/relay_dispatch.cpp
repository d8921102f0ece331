// Chooses an endpoint and a connection for a statement and prepares the connection for it.
#include "relay/relay_core.h"

#include <algorithm>
#include <utility>

namespace mangoquay::relay {
namespace {

// A connection that has not answered for this long may be broken without a reset. It has to answer a test
// request before a statement is sent on it.
constexpr core::milliseconds unverified_after{1500};
// Replicas lag by 60 to 150 ms on the target platform.
constexpr core::milliseconds typical_replica_lag{200};
// A new position is requested when the newest one is older than this fraction (1/n) of the staleness limit.
constexpr int probe_age_divisor = 2;
// Reads wait up to this fraction (1/n) of the latency target longer rather than cause traffic between zones.
constexpr int other_zone_cost_divisor = 8;

} // namespace

bool relay_core::needs_primary(const session& caller, const documents::route_rule& route) const {
    if (route.m_consistency == documents::consistency::latest || caller.m_operation->m_writes ||
        caller.m_operation->m_primary_only) {
        return true;
    }
    return caller.m_state == transaction_state::open && !caller.m_transaction.m_read_only;
}

void relay_core::dispatch(session_id id, core::time_point now) {
    session& caller = m_sessions.at(id);
    if (caller.m_ended_by) {
        refuse_and_close(id, caller, now);
        return;
    }
    operation& op = *caller.m_operation;
    if (caller.m_connection && is_commit(caller) && caller.m_transaction.m_wrote &&
        !may_use_primary(m_connections.at(*caller.m_connection), now)) {
        detach_connection(caller, now);
        clear_transaction(caller);
        refuse_statement(id, caller, refusal::aborted, "the primary lease ended before the commit was sent",
                         now);
        return;
    }
    if (caller.m_connection && m_connections.at(*caller.m_connection).m_customer != caller.m_customer) {
        lose_transaction(caller, "the customer of the session changed", now);
        if (is_commit(caller)) {
            clear_transaction(caller);
        }
        refuse_statement(id, caller, refusal::aborted, "the customer of the session changed", now);
        return;
    }
    if (caller.m_connection) { // Inside a transaction.
        prepare_connection(caller, *caller.m_connection, now);
        return;
    }
    const documents::route_rule* route = route_of(caller);
    if (route == nullptr) {
        refuse_statement(id, caller, refusal::unknown_database, "the route was removed", now);
        return;
    }
    if (op.m_loan || !op.m_not_before.passed(now) || !admit_operation(id, caller, now)) {
        return;
    }
    const auto request = request_of(caller, *route, now);
    if (!request) {
        op.m_last_refusal = refusal::lagging;
        op.m_last_reason = "freshness cannot be proven";
        return;
    }
    const placement_outcome outcome = choose_endpoint(m_endpoints, *request, now);
    op.m_unservable = !outcome.m_has_candidate;
    if (outcome.m_preferred && (!outcome.m_chosen || *outcome.m_preferred != outcome.m_chosen->m_endpoint) &&
        m_endpoints.at(*outcome.m_preferred).m_opening == 0) {
        open_connections(*outcome.m_preferred, 1, now);
    }
    if (!outcome.m_chosen) {
        op.m_last_reason = outcome.m_has_candidate ? "the endpoints are busy" : "no usable endpoint";
        return;
    }
    const auto conn_id = find_idle_connection(outcome.m_chosen->m_endpoint, caller);
    if (!conn_id && m_endpoints.at(outcome.m_chosen->m_endpoint).m_lent) {
        borrow_connection(id, caller, *route, outcome.m_chosen->m_endpoint, now);
        return;
    }
    if (!conn_id) {
        op.m_last_reason = "no free connection to " + outcome.m_chosen->m_endpoint.value();
        return;
    }
    caller.m_connection = conn_id;
    m_connections.at(*conn_id).m_session = id;
    prepare_connection(caller, *conn_id, now);
}

std::optional<placement_request>
relay_core::request_of(const session& caller, const documents::route_rule& route, core::time_point now) {
    placement_request request;
    request.m_service = route.m_service;
    request.m_zone = m_limits.m_zone;
    request.m_needs_primary = needs_primary(caller, route);
    request.m_urgent = route.m_priority < m_lowest_priority;
    request.m_avoided = &caller.m_operation->m_avoided;
    request.m_max_connections = max_connections(route.m_service);
    request.m_other_zone_cost_ms =
        static_cast<double>((route.m_target_latency / other_zone_cost_divisor).count());
    if (!request.m_needs_primary && !require_position(caller, route, request, now)) {
        return std::nullopt;
    }
    return request;
}

// Dispatches in the order of priority, then of the expected run time. When a database is overloaded, for
// example a primary whose replicas lag, this order serves the most callers in time.
void relay_core::dispatch_waiting(core::time_point now) {
    struct place_in_queue {
        std::uint32_t m_priority = 0;
        double m_expected_ms = 0.0;
        core::time_point m_arrived{};
        session_id m_id;

        auto operator<=>(const place_in_queue&) const = default;
    };
    std::vector<place_in_queue> waiting;
    for (const session_id id : m_active_sessions) {
        const session& caller = m_sessions.at(id);
        if (!caller.m_operation || caller.m_operation->m_phase != operation_phase::waiting) {
            continue;
        }
        const documents::route_rule* route = route_of(caller);
        const auto expected = m_expected_ms.find(caller.m_database);
        waiting.push_back(
            {route == nullptr ? 0 : route->m_priority,
             expected == m_expected_ms.end() || !m_limits.m_rules.m_shorter_first ? 0.0 : expected->second,
             caller.m_operation->m_arrived, id});
    }
    std::ranges::sort(waiting);
    for (const place_in_queue& place : waiting) {
        const session_id id = place.m_id;
        const auto found = m_sessions.find(id);
        if (found != m_sessions.end() && found->second.m_operation &&
            found->second.m_operation->m_phase == operation_phase::waiting) {
            dispatch(id, now);
            start_queued_statements(id, now);
        }
    }
}

// The staleness limit counts back from the arrival of the statement or of its transaction. Delays on this
// host after that do not change what the caller must see.
bool relay_core::require_position(const session& caller, const documents::route_rule& route,
                                  placement_request& request, core::time_point now) {
    const bool in_transaction = caller.m_state == transaction_state::open;
    const core::time_point arrived =
        in_transaction ? caller.m_transaction.m_arrived : caller.m_operation->m_arrived;
    position_samples& samples = m_position_samples[route.m_service];
    const auto last_request_time = samples.last_request_time();
    if (!last_request_time || *last_request_time + route.m_max_age / probe_age_divisor < now) {
        start_probe(route.m_service, now);
    }
    const auto position_covering = samples.position_covering(arrived - route.m_max_age);
    if (!position_covering) {
        return false;
    }
    request.m_position = position_covering;
    const auto own = caller.m_own_commits.find(route.m_service);
    if (route.m_consistency == documents::consistency::read_your_writes &&
        own != caller.m_own_commits.end() && own->second.m_position > *position_covering) {
        request.m_position = own->second.m_position;
        request.m_position_is_recent = own->second.m_at + typical_replica_lag > now;
    }
    return true;
}

// Prefers a connection that holds the session's values.
std::optional<connection_id> relay_core::find_idle_connection(const core::endpoint_id& endpoint,
                                                              const session& caller) const {
    std::optional<connection_id> best;
    for (const auto& [conn_id, conn] : m_connections) {
        if (conn.m_endpoint == endpoint && conn.m_phase == connection_phase::idle && !conn.m_borrowed &&
            conn.m_customer == caller.m_customer && (!best || conn.m_values == caller.m_values)) {
            best = conn_id;
        }
    }
    return best;
}

std::vector<database_request> relay_core::missing_session_state(const session& caller, connection& conn) {
    std::vector<database_request> requests;
    const bool drops = std::ranges::any_of(
        conn.m_values, [&](const auto& entry) { return !caller.m_values.contains(entry.first); });
    if (drops) {
        requests.push_back({.m_kind = request_kind::reset});
        conn.m_values.clear();
        conn.m_prepared.clear();
    }
    for (const auto& [name, value] : caller.m_values) {
        const auto held = conn.m_values.find(name);
        if (held == conn.m_values.end() || held->second != value) {
            requests.push_back({.m_kind = request_kind::set_value, .m_name = name, .m_argument = value});
            conn.m_values[name] = value;
        }
    }
    const session_statement& statement = caller.m_operation->m_statement;
    if (statement.m_kind == statement_kind::execute) {
        const statement_handle& prepared = caller.m_prepared.at(statement.m_name);
        if (!conn.m_prepared.use(prepared)) {
            requests.push_back(preparation_of(*prepared));
            for (const statement_handle& dropped : conn.m_prepared.add(prepared)) {
                requests.push_back({.m_kind = request_kind::deallocate, .m_name = database_name(*dropped)});
            }
        }
    }
    return requests;
}

std::optional<std::pair<request_step, database_request>> relay_core::transaction_start(const session& caller,
                                                                                       core::time_point now) {
    const documents::route_rule* route = route_of(caller);
    const bool latest = route == nullptr || route->m_consistency == documents::consistency::latest;
    const bool primary_only = latest || caller.m_operation->m_primary_only;
    if (caller.m_state == transaction_state::idle) {
        const bool wraps_read = primary_only && !caller.m_operation->m_writes;
        return wraps_read ? std::optional(std::pair{request_step::begin,
                                                    database_request{.m_kind = request_kind::begin}})
                          : std::nullopt;
    }
    if (caller.m_transaction.m_begun) {
        return std::nullopt;
    }
    if (primary_only || !caller.m_transaction.m_read_only) {
        return std::pair{request_step::begin, database_request{.m_kind = request_kind::begin}};
    }
    placement_request needed;
    require_position(caller, *route, needed, now);
    return std::pair{request_step::begin_read_only, database_request{.m_kind = request_kind::begin_read_only,
                                                                     .m_min_position = needed.m_position}};
}

void relay_core::mark_busy(connection& conn) {
    if (conn.m_phase == connection_phase::idle) {
        conn.m_phase = connection_phase::busy;
        m_endpoints.at(conn.m_endpoint).m_busy += conn.m_borrowed ? 0 : 1;
    }
}

relay_core::preparation relay_core::prepare_requests(session& caller, connection& conn,
                                                     core::time_point now) {
    preparation needed;
    needed.m_requests = missing_session_state(caller, conn);
    needed.m_steps.assign(needed.m_requests.size(), request_step::prepare);
    conn.m_changed_in_transaction =
        conn.m_changed_in_transaction || (caller.m_transaction.m_begun && !needed.m_requests.empty());
    if (auto start = transaction_start(caller, now)) {
        conn.m_in_transaction = true;
        caller.m_operation->m_primary_only =
            caller.m_operation->m_primary_only || (caller.m_state == transaction_state::idle);
        needed.m_steps.push_back(start->first);
        needed.m_requests.push_back(std::move(start->second));
    }
    return needed;
}

// Sends the requests that have to precede the statement and waits for their answers, or sends the statement
// at once if there are none.
void relay_core::prepare_connection(session& caller, connection_id conn_id, core::time_point now) {
    connection& conn = m_connections.at(conn_id);
    const bool unverified = conn.m_last_contact + unverified_after < now;
    mark_busy(conn);
    preparation needed = prepare_requests(caller, conn, now);
    if (needed.m_requests.empty() && unverified && caller.m_state == transaction_state::idle) {
        needed.m_requests = {{.m_kind = request_kind::begin_read_only}, {.m_kind = request_kind::rollback}};
        needed.m_steps = {request_step::prepare, request_step::prepare};
    }
    if (needed.m_requests.empty()) {
        send_statement(caller, conn_id, now);
        return;
    }
    caller.m_operation->m_phase = operation_phase::preparing;
    conn.m_answer_deadline.m_at = now + preparation_timeout;
    send_requests(conn_id, conn, needed.m_requests, needed.m_steps, now);
}

database_request relay_core::statement_request(const session& caller) {
    const session_statement& statement = caller.m_operation->m_statement;
    if (statement.m_kind != statement_kind::execute) {
        return {.m_id = statement.m_id, .m_argument = statement.m_text};
    }
    return {.m_kind = request_kind::execute,
            .m_id = statement.m_id,
            .m_name = database_name(*caller.m_prepared.at(statement.m_name)),
            .m_argument = statement.m_argument};
}

void relay_core::send_statement(session& caller, connection_id conn_id, core::time_point now) {
    connection& conn = m_connections.at(conn_id);
    operation& op = *caller.m_operation;
    database_request request = statement_request(caller);
    const documents::route_rule* route = route_of(caller);
    if (caller.m_state == transaction_state::idle && !op.m_writes && !op.m_primary_only) {
        placement_request needed;
        const bool moved =
            route == nullptr || route->m_service != m_endpoints.at(conn.m_endpoint).m_report.m_service;
        if (moved || !require_position(caller, *route, needed, now)) {
            const session_id owner = *conn.m_session;
            op.m_phase = operation_phase::preparing; // Not dispatched when the connection is released.
            detach_connection(caller, now);
            retry_or_refuse(owner, caller, refusal::busy, "the route changed", now);
            return;
        }
        request.m_min_position = needed.m_position;
    }
    op.m_phase = operation_phase::running;
    caller.m_token_unused = false;
    ++op.m_attempts;
    m_counters.m_repeated += op.m_attempts > 1 ? 1 : 0;
    op.m_hedge_after.m_at = now + (route == nullptr ? core::milliseconds(1000) : route->m_target_latency / 2);
    conn.m_answer_deadline = op.m_deadline;
    caller.m_transaction.m_wrote = caller.m_transaction.m_wrote || op.m_writes;
    set_running(conn, true);
    record_event("sent", caller, conn.m_endpoint.value(), op.m_primary_only ? "fenced" : "direct", now);
    send_requests(conn_id, conn, {std::move(request)}, {request_step::statement}, now);
}

void relay_core::set_running(connection& conn, bool running) {
    if (conn.m_running != running && !conn.m_borrowed) {
        conn.m_running = running;
        endpoint_view& view = m_endpoints.at(conn.m_endpoint);
        view.m_running += running ? 1 : -1;
    }
}

void relay_core::send_requests(connection_id id, connection& conn,
                               const std::vector<database_request>& requests,
                               const std::vector<request_step>& steps, core::time_point now) {
    for (const request_step step : steps) {
        conn.m_expected_answers.push_back({step, now});
    }
    m_ports.send_requests(id, requests);
}

// Runs an empty transaction at the primary. It takes no slot, and only a primary accepts it.
void relay_core::start_probe(const core::service_name& service, core::time_point now) {
    if (m_probes.contains(service)) {
        return;
    }
    const endpoint_view* primary = find_primary(m_endpoints, service, now);
    if (primary == nullptr) {
        return;
    }
    const core::endpoint_id endpoint = primary->m_report.m_id;
    const auto conn_id = find_idle_connection(endpoint, session{});
    if (!conn_id && primary->m_lent) {
        borrow_for_probe(*primary, now);
        return;
    }
    if (!conn_id) {
        if (primary->m_opening == 0) {
            open_connections(endpoint, 1, now);
        }
        return;
    }
    connection& conn = m_connections.at(*conn_id);
    mark_busy(conn);
    conn.m_answer_deadline.m_at = now + preparation_timeout;
    m_probes[service] = *conn_id;
    ++m_counters.m_probes;
    send_requests(*conn_id, conn, {{.m_kind = request_kind::begin}, {.m_kind = request_kind::rollback}},
                  {request_step::probe, request_step::rollback}, now);
}

} // namespace mangoquay::relay
