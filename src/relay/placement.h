// Chooses the endpoint that a statement runs on, as a pure function of what this host knows about the
// endpoints.
//
// Balances load over replicas of uneven speed: an endpoint that is slow or busy costs more and is chosen less
// often.
#pragma once

#include "core/clock.h"
#include "core/history_position.h"
#include "core/ids.h"
#include "registry/endpoint_registry.h"

#include <map>
#include <optional>
#include <set>

namespace mangoquay::relay {

// Weight of the newest answer in moving averages, so that about the last seven answers count.
inline constexpr double answer_weight = 0.15;

// What this host knows about an endpoint, from its reports and from this host's own traffic.
struct endpoint_view {
    registry::endpoint_report m_report;
    // The next four members count this host's own connections. Borrowed ones are counted in m_loans.
    std::uint32_t m_connections = 0; // Number of connections, including those still being opened.
    std::uint32_t m_busy = 0;        // Number of connections in use.
    std::uint32_t m_opening = 0;     // Number of connections still being opened.
    // Number of statements sent and not answered. An idle transaction has none.
    std::uint32_t m_running = 0;
    core::deadline m_suspect_until;      // After a failure, it is avoided until then if others can serve.
    core::duration m_suspect_back_off{}; // Doubles with each consecutive failure.
    core::deadline m_full_until;         // The connection limit was reached; none is opened until then.
    core::deadline m_shedding_until;     // It refused a statement for lack of slots; it gets none until then.
    core::deadline m_lagging_until;      // It lacked a required position; it gets no reads until then.
    core::duration m_lagging_back_off{}; // Doubles with each consecutive refusal of that kind.
    // Whether this host may use it as a primary only until m_primary_lease_end.
    bool m_needs_lease = false;
    core::deadline m_primary_lease_end;
    core::deadline m_not_primary_until; // It is not taken for a primary until then, whatever it reports.
    // Maximum number of statements that this host runs at the endpoint at once. Shrinks while answers are
    // slow.
    double m_concurrency_limit = 2.0;
    // Moving average of the answer time. Starts near the service time of short requests on the target
    // platform.
    double m_answer_ms = 15.0;
    bool m_lent = false;                      // Some hosts keep connections to the endpoint and lend them.
    std::uint32_t m_own_connection_share = 0; // Connections that this host keeps for itself if m_lent is set.
    std::uint32_t m_loans = 0;                // Number of loans, including requested ones.
    double m_loan_wait_ms = 0.0;              // Moving average of the time until a connection is lent.
    core::time_point m_last_contact{};        // Time of the last answer on any connection.
    std::optional<core::history_position> m_position; // Position last seen.
    core::time_point m_position_at{};
};

// Whether no other endpoint of the service can have been promoted so far, as far as leases ensure that.
[[nodiscard]] inline bool may_act_as_primary(const endpoint_view& view, core::time_point now) {
    return !view.m_needs_lease || !view.m_primary_lease_end.passed(now);
}

using endpoint_views = std::map<core::endpoint_id, endpoint_view>;

struct placement_request {
    core::service_name m_service;
    core::availability_zone m_zone; // Zone of this host.
    bool m_needs_primary = false;
    bool m_urgent = false;                            // The route has a higher priority than others.
    std::optional<core::history_position> m_position; // Position that the endpoint must hold.
    bool m_position_is_recent = false;                // Replicas have probably not received it yet.
    const std::set<core::endpoint_id>* m_avoided = nullptr;
    std::uint32_t m_max_connections = 1;
    // Cost added for an endpoint in another zone: traffic between zones is worth it only if the endpoints of
    // the own zone are slower by more than this.
    double m_other_zone_cost_ms = 0.0;
};

struct placement {
    core::endpoint_id m_endpoint;
    const char* m_reason = "";
};

// Adapts the concurrency limit of the endpoint to the time that an answer took, `taken`, and to the latency
// target of its route. If an endpoint that many hosts share is overloaded, each host then keeps fewer
// statements in the endpoint's queue, so that urgent statements do not wait behind others.
void adapt_concurrency_limit(endpoint_view& view, core::duration taken, core::milliseconds target);

// The endpoint that reports to be the service's primary and may act as one, or null. If several do, prefers
// those that are not suspect, then the one with the latest position seen, and thereby the latest term.
const endpoint_view* find_primary(const endpoint_views& views, const core::service_name& service,
                                  core::time_point now);

// m_chosen is empty if no endpoint can take the statement now. Its reason is for the log.
struct placement_outcome {
    std::optional<placement> m_chosen; // It has an idle connection.
    // Would be chosen if it had an idle connection, so opening one to it is worthwhile.
    std::optional<core::endpoint_id> m_preferred;
    // An endpoint that could run the statement exists, even if it has no free connection or is avoided now.
    bool m_has_candidate = false;
};
placement_outcome choose_endpoint(const endpoint_views& views, const placement_request& request,
                                  core::time_point now);

} // namespace mangoquay::relay
