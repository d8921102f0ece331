// Which endpoint a statement goes to: a pure function over what this host knows of the endpoints.
//
// Answers the load pattern of uneven replicas: an endpoint that is slow or busy costs more and gets less.
#pragma once

#include "core/clock.h"
#include "core/history_position.h"
#include "core/ids.h"
#include "registry/endpoint_registry.h"

#include <map>
#include <optional>
#include <set>

namespace mangoquay::relay {

// Weight of the newest answer in moving averages: about the last seven answers count.
inline constexpr double answer_weight = 0.15;

// What this host has learnt about an endpoint from its own traffic.
struct endpoint_view {
    registry::endpoint_report m_report;
    // This host's own; lent ones are counted apart.
    std::uint32_t m_connections = 0; // open and opening
    std::uint32_t m_busy = 0;        // of them
    std::uint32_t m_opening = 0;
    std::uint32_t m_running = 0;    // statements sent and not answered; a transaction that pauses has none
    core::deadline m_suspect_until; // after a failure: avoided while others can serve
    core::duration m_suspect_back_off{}; // doubles with each failure in a row
    core::deadline m_full_until;         // all its connections are taken: none is opened until then
    core::deadline m_shedding_until;     // it refused work for lack of slots
    core::deadline m_lagging_until;      // it lacked a position that was asked for: gets no reads until then
    core::duration m_lagging_back_off{}; // doubles with each such refusal in a row
    core::deadline m_not_primary_until;  // it is no primary, whatever it reports
    // Statements that this host lets the endpoint have at once: shrinks while answers are slow.
    double m_concurrency_limit = 2.0;
    double m_answer_ms = 15.0; // exponentially weighted; starts near the work of the sheets' short requests
    bool m_lent = false;       // hosts that keep links to it lend them
    std::uint32_t m_own_connection_share = 0;         // links that this host keeps itself beside that
    std::uint32_t m_loans = 0;                        // held and asked for
    double m_loan_wait_ms = 0.0;                      // until a link is lent; exponentially weighted
    core::time_point m_last_contact{};                // the last answer on any link
    std::optional<core::history_position> m_position; // last seen
    core::time_point m_position_at{};
};

using endpoint_views = std::map<core::endpoint_id, endpoint_view>;

struct placement_request {
    core::service_name m_service;
    core::availability_zone m_zone; // of this host
    bool m_needs_primary = false;
    bool m_urgent = false;                            // of a higher priority than other routes
    std::optional<core::history_position> m_position; // that the endpoint must hold
    bool m_position_is_recent = false;                // replicas have probably not received it yet
    const std::set<core::endpoint_id>* m_avoided = nullptr;
    std::uint32_t m_max_connections = 1;
    // A replica in another zone is worth its bytes only when the own zone's is slower by more than this.
    double m_other_zone_cost_ms = 0.0;
};

struct placement {
    core::endpoint_id m_endpoint;
    const char* m_reason = "";
};

// Answers the load pattern of an overloaded endpoint that many hosts share: each keeps less of its work in
// the endpoint's queue, so what is urgent does not wait behind what is not.
void adapt_concurrency_limit(endpoint_view& view, core::duration taken, core::milliseconds target);

// The primary by the endpoints' own reports, or nothing. Of several the one of the latest term that was seen.
const endpoint_view* find_primary(const endpoint_views& views, const core::service_name& service,
                                  core::time_point now);

// Nothing when no endpoint can take the statement now; the reason is for the log.
struct placement_outcome {
    std::optional<placement> m_chosen; // it has an idle link
    std::optional<core::endpoint_id>
        m_preferred; // would be chosen if it had one: a link to it is worth opening
    bool m_has_candidate =
        false; // an endpoint that could serve it exists, but has no free link or is avoided
};
placement_outcome choose_endpoint(const endpoint_views& views, const placement_request& request,
                                  core::time_point now);

} // namespace mangoquay::relay
