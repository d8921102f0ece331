// Finds an endpoint and a link for a statement and prepares the link for it.
#include "relay/relay_core.h"

#include <algorithm>
#include <utility>

namespace mangoquay::relay {
namespace {

// A link that was silent for so long may be dead without a reset; it proves itself before a write uses it.
constexpr core::milliseconds unproven_after{1500};
// Replicas lag by 60 to 150 ms (sheet).
constexpr core::milliseconds usual_lag{200};
// A fresh position is asked for when the newest is older than this part of what a reader may see.
constexpr int ask_at_age_divisor = 2;
// An eighth of the latency target is spent on waiting rather than on bytes between zones.
constexpr int other_zone_cost_divisor = 8;

} // namespace

std::string prepared_name(const prepared_statement& statement) {
    return (statement.m_access == access_kind::write ? "w_" : "r_") + statement.m_shape;
}

bool relay_core::needs_primary(const session& caller, const documents::route_rule& route) const {
    if (route.m_consistency == documents::consistency::latest || caller.m_operation->m_writes ||
        caller.m_operation->m_fenced) {
        return true;
    }
    return caller.m_state == transaction_state::open && !caller.m_transaction.m_read_only;
}

void relay_core::dispatch(session_id id, core::time_point now) {
    session& caller = m_sessions.at(id);
    operation& work = *caller.m_operation;
    if (caller.m_link) { // inside a transaction
        prepare_link(caller, *caller.m_link, now);
        return;
    }
    const documents::route_rule* route = route_of(caller);
    if (route == nullptr) {
        refuse(id, caller, refusal::unknown_database, "the route was removed", now);
        return;
    }
    if (work.m_loan || !work.m_not_before.passed(now)) {
        return;
    }
    const auto request = request_of(caller, *route, now);
    if (!request) {
        work.m_last_refusal = refusal::lagging;
        work.m_last_reason = "freshness cannot be proven";
        return;
    }
    const placement_outcome outcome = choose_endpoint(m_endpoints, *request, now);
    work.m_unservable = !outcome.m_known;
    if (outcome.m_preferred && (!outcome.m_chosen || *outcome.m_preferred != outcome.m_chosen->m_endpoint) &&
        m_endpoints.at(*outcome.m_preferred).m_opening == 0) {
        open_links(*outcome.m_preferred, 1, now);
    }
    if (!outcome.m_chosen) {
        work.m_last_reason = outcome.m_known ? "the endpoints are busy" : "no usable endpoint";
        return;
    }
    const auto number = take_link(outcome.m_chosen->m_endpoint, caller);
    if (!number && m_endpoints.at(outcome.m_chosen->m_endpoint).m_lent) {
        borrow(id, caller, *route, outcome.m_chosen->m_endpoint, now);
        return;
    }
    if (!number) {
        work.m_last_reason = "no free connection to " + outcome.m_chosen->m_endpoint.value();
        return;
    }
    caller.m_link = number;
    m_links.at(*number).m_session = id;
    prepare_link(caller, *number, now);
}

// Nothing when what the caller must see cannot be proven now; a probe was started then.
std::optional<placement_request>
relay_core::request_of(const session& caller, const documents::route_rule& route, core::time_point now) {
    placement_request request;
    request.m_service = route.m_service;
    request.m_zone = m_limits.m_zone;
    request.m_needs_primary = needs_primary(caller, route);
    request.m_urgent = route.m_priority < m_least_priority;
    request.m_avoided = &caller.m_operation->m_avoided;
    request.m_links_per_endpoint = links_allowed(route.m_service);
    request.m_other_zone_cost_ms =
        static_cast<double>((route.m_target_latency / other_zone_cost_divisor).count());
    if (!request.m_needs_primary && !require_position(caller, route, request, now)) {
        return std::nullopt;
    }
    return request;
}

// In the order of priority, then of the time that statements of a route take: when a database is overloaded,
// as a primary whose replicas lag, the order serves the most callers in time.
void relay_core::dispatch_waiting(core::time_point now) {
    struct place_in_queue {
        std::uint32_t m_priority = 0;
        double m_expected_ms = 0.0;
        core::time_point m_arrived{};
        session_id m_id;

        auto operator<=>(const place_in_queue&) const = default;
    };
    std::vector<place_in_queue> waiting;
    for (const session_id id : m_active) {
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
            start_next(id, now);
        }
    }
}

// The age counts from the arrival of the statement, or of its transaction: what happens to this host
// afterwards does not matter for what the caller must see.
bool relay_core::require_position(const session& caller, const documents::route_rule& route,
                                  placement_request& request, core::time_point now) {
    const bool in_transaction = caller.m_state == transaction_state::open;
    const core::time_point arrived =
        in_transaction ? caller.m_transaction.m_arrived : caller.m_operation->m_arrived;
    freshness& known = m_freshness[route.m_service];
    const auto newest = known.newest();
    if (!newest || *newest + route.m_largest_age / ask_at_age_divisor < now) {
        start_probe(route.m_service, now);
    }
    const auto covering = known.covering(arrived - route.m_largest_age);
    if (!covering) {
        return false;
    }
    request.m_position = covering;
    if (route.m_consistency == documents::consistency::read_your_writes && caller.m_own_commit &&
        *caller.m_own_commit > *covering) {
        request.m_position = caller.m_own_commit;
        request.m_position_is_recent = caller.m_committed_at + usual_lag > now;
    }
    return true;
}

// An idle link, preferably one that holds the session's values.
std::optional<link_id> relay_core::take_link(const core::endpoint_id& endpoint, const session& caller) const {
    std::optional<link_id> best;
    for (const auto& [number, one] : m_links) {
        if (one.m_endpoint == endpoint && one.m_phase == link_phase::idle && !one.m_lent &&
            (!best || one.m_values == caller.m_values)) {
            best = number;
        }
    }
    return best;
}

std::vector<database_request> relay_core::missing_values(const session& caller, link& on) {
    std::vector<database_request> requests;
    const bool drops = std::ranges::any_of(
        on.m_values, [&](const auto& one) { return !caller.m_values.contains(one.first); });
    if (drops) {
        requests.push_back({.m_kind = request_kind::reset});
        on.m_values.clear();
        on.m_prepared.clear();
    }
    for (const auto& [name, value] : caller.m_values) {
        const auto held = on.m_values.find(name);
        if (held == on.m_values.end() || held->second != value) {
            requests.push_back({.m_kind = request_kind::set_value, .m_name = name, .m_argument = value});
            on.m_values[name] = value;
        }
    }
    const session_statement& statement = caller.m_operation->m_statement;
    if (statement.m_kind == statement_kind::execute) {
        const prepared_statement& wanted = caller.m_prepared.at(statement.m_name);
        const std::string name = prepared_name(wanted);
        if (on.m_prepared.insert(name).second) {
            requests.push_back({.m_kind = request_kind::prepare,
                                .m_name = name,
                                .m_argument = wanted.m_shape,
                                .m_access = wanted.m_access});
        }
    }
    return requests;
}

std::optional<std::pair<link_step, database_request>> relay_core::transaction_start(const session& caller,
                                                                                    core::time_point now) {
    const documents::route_rule* route = route_of(caller);
    const bool latest = route == nullptr || route->m_consistency == documents::consistency::latest;
    const bool fenced = latest || caller.m_operation->m_fenced;
    if (caller.m_state == transaction_state::idle) {
        const bool fences_read = fenced && !caller.m_operation->m_writes;
        return fences_read ? std::optional(
                                 std::pair{link_step::begin, database_request{.m_kind = request_kind::begin}})
                           : std::nullopt;
    }
    if (caller.m_transaction.m_begun) {
        return std::nullopt;
    }
    if (fenced || !caller.m_transaction.m_read_only) {
        return std::pair{link_step::begin, database_request{.m_kind = request_kind::begin}};
    }
    placement_request needed;
    require_position(caller, *route, needed, now);
    return std::pair{link_step::begin_read_only, database_request{.m_kind = request_kind::begin_read_only,
                                                                  .m_least_position = needed.m_position}};
}

void relay_core::occupy(link& on) {
    if (on.m_phase == link_phase::idle) {
        on.m_phase = link_phase::busy;
        m_endpoints.at(on.m_endpoint).m_busy += on.m_lent ? 0 : 1;
    }
}

relay_core::preparation relay_core::preparation_of(session& caller, link& on, core::time_point now) {
    preparation needed;
    needed.m_requests = missing_values(caller, on);
    needed.m_steps.assign(needed.m_requests.size(), link_step::prepare);
    if (auto start = transaction_start(caller, now)) {
        caller.m_operation->m_fenced =
            caller.m_operation->m_fenced || (caller.m_state == transaction_state::idle);
        needed.m_steps.push_back(start->first);
        needed.m_requests.push_back(std::move(start->second));
    }
    return needed;
}

// Sends what has to come before the statement and waits for the answers, or sends the statement at once.
void relay_core::prepare_link(session& caller, link_id number, core::time_point now) {
    link& on = m_links.at(number);
    const bool unproven = on.m_heard + unproven_after < now;
    occupy(on);
    preparation needed = preparation_of(caller, on, now);
    if (needed.m_requests.empty() && unproven && caller.m_state == transaction_state::idle) {
        needed.m_requests = {{.m_kind = request_kind::begin_read_only}, {.m_kind = request_kind::rollback}};
        needed.m_steps = {link_step::prepare, link_step::prepare};
    }
    if (needed.m_requests.empty()) {
        send_statement(caller, number, now);
        return;
    }
    caller.m_operation->m_phase = operation_phase::preparing;
    on.m_answer_by.m_at = now + preparation_limit;
    send(number, on, needed.m_requests, needed.m_steps, now);
}

void relay_core::send_statement(session& caller, link_id number, core::time_point now) {
    link& on = m_links.at(number);
    operation& work = *caller.m_operation;
    const session_statement& statement = work.m_statement;
    database_request request{.m_id = statement.m_id, .m_argument = statement.m_text};
    if (statement.m_kind == statement_kind::execute) {
        request.m_kind = request_kind::execute;
        request.m_name = prepared_name(caller.m_prepared.at(statement.m_name));
        request.m_argument = statement.m_argument;
    }
    const documents::route_rule* route = route_of(caller);
    if (caller.m_state == transaction_state::idle && !work.m_writes && !work.m_fenced && route != nullptr) {
        placement_request needed;
        require_position(caller, *route, needed, now);
        request.m_least_position = needed.m_position;
    }
    work.m_phase = operation_phase::running;
    ++work.m_attempts;
    m_counters.m_repeated += work.m_attempts > 1 ? 1 : 0;
    work.m_hedge.m_at = now + (route == nullptr ? core::milliseconds(1000) : route->m_target_latency / 2);
    on.m_answer_by = work.m_limit;
    caller.m_transaction.m_wrote = caller.m_transaction.m_wrote || work.m_writes;
    set_running(on, true);
    record("sent", caller, on.m_endpoint.value(), work.m_fenced ? "fenced" : "direct", now);
    send(number, on, {std::move(request)}, {link_step::statement}, now);
}

void relay_core::set_running(link& on, bool running) {
    if (on.m_running != running && !on.m_lent) {
        on.m_running = running;
        endpoint_view& view = m_endpoints.at(on.m_endpoint);
        view.m_running += running ? 1 : -1;
    }
}

void relay_core::send(link_id id, link& on, const std::vector<database_request>& requests,
                      const std::vector<link_step>& steps, core::time_point now) {
    for (const link_step step : steps) {
        on.m_expected.push_back({step, now});
    }
    m_ports.send(id, requests);
}

// An empty transaction at the primary: it takes no slot, and only a primary accepts it.
void relay_core::start_probe(const core::service_name& service, core::time_point now) {
    if (m_probes.contains(service)) {
        return;
    }
    const endpoint_view* primary = find_primary(m_endpoints, service, now);
    if (primary == nullptr) {
        return;
    }
    const core::endpoint_id endpoint = primary->m_report.m_id;
    const auto number = take_link(endpoint, session{});
    if (!number && primary->m_lent) {
        borrow_for_probe(*primary, now);
        return;
    }
    if (!number) {
        if (primary->m_opening == 0) {
            open_links(endpoint, 1, now);
        }
        return;
    }
    link& on = m_links.at(*number);
    occupy(on);
    on.m_answer_by.m_at = now + preparation_limit;
    m_probes[service] = *number;
    ++m_counters.m_probes;
    send(*number, on, {{.m_kind = request_kind::begin}, {.m_kind = request_kind::rollback}},
         {link_step::probe, link_step::rollback}, now);
}

} // namespace mangoquay::relay
