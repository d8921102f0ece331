// The cost of an endpoint is the expected time until it answers, estimated from its recent answers, plus
// penalties.
#include "relay/placement.h"

#include <algorithm>

namespace mangoquay::relay {
namespace {

// Additive increase, multiplicative decrease of the concurrency limit. It settles where about a quarter of
// the answers take more than a third of their latency target, whatever the number of hosts that share the
// endpoint.
constexpr double min_concurrency = 1.0;
constexpr std::uint32_t urgent_extra_concurrency = 2;
constexpr double concurrency_increase = 0.15;
constexpr double concurrency_decrease = 0.8;
constexpr int slow_answer_target_divisor = 3;
// Lenders queue the loan requests; this bounds how many one host adds to the queue of an endpoint.
constexpr std::uint32_t max_loans_per_endpoint = 32;
// An endpoint counts as down from this back-off on, which the third consecutive failure reaches.
constexpr core::milliseconds down_back_off{400};
// Waiting for a connection is worthwhile up to this difference in cost: opening one takes about 12 ms on the
// target platform, and an endpoint that does not answer becomes suspect within a second.
constexpr double max_extra_cost_ms = 100.0;
constexpr double suspect_penalty_ms = 2000.0;
constexpr double recent_position_penalty_ms = 400.0;
constexpr double avoided_penalty_ms = 1000.0;
// Keeps reads off the primary while a replica is about as good, because writes can run nowhere else.
constexpr double primary_penalty_ms = 30.0;

bool has_capacity(const endpoint_view& view, const placement_request& request) {
    if (view.m_lent && view.m_loans < max_loans_per_endpoint) {
        return true;
    }
    // Statements wait on this host, in the order of their priority, rather than in the queue of the database,
    // where each would hold one of its connections. Urgent ones do not wait for the statements that this host
    // sent before.
    const auto concurrency_limit = static_cast<std::uint32_t>(view.m_concurrency_limit) +
                                   (request.m_urgent ? urgent_extra_concurrency : 0);
    return view.m_busy < request.m_max_connections && view.m_running < concurrency_limit;
}

bool has_own_idle_connection(const endpoint_view& view) {
    return view.m_connections > view.m_busy + view.m_opening;
}

bool has_idle_connection(const endpoint_view& view) {
    return view.m_lent || has_own_idle_connection(view);
}

bool probably_lags(const endpoint_view& view, const placement_request& request) {
    if (!request.m_position || (view.m_position && *view.m_position >= *request.m_position)) {
        return false;
    }
    return request.m_position_is_recent;
}

// A single lost connection says little about the endpoint; several consecutive failures mean that it cannot
// be reached.
bool is_down(const endpoint_view& view, core::time_point now) {
    return !view.m_suspect_until.passed(now) && view.m_suspect_back_off >= down_back_off;
}

double cost_of(const endpoint_view& view, const placement_request& request, core::time_point now) {
    const double slots = std::max(1.0, static_cast<double>(view.m_report.m_slots));
    double cost = view.m_answer_ms * (1.0 + static_cast<double>(view.m_busy + view.m_loans) / slots);
    cost += view.m_lent && !has_own_idle_connection(view) ? view.m_loan_wait_ms : 0.0;
    cost += view.m_report.m_zone == request.m_zone ? 0.0 : request.m_other_zone_cost_ms;
    cost += view.m_suspect_until.passed(now) ? 0.0 : suspect_penalty_ms;
    if (view.m_report.m_is_primary) {
        return cost + primary_penalty_ms;
    }
    return cost + (probably_lags(view, request) ? recent_position_penalty_ms : 0.0);
}

// A replica that lags far behind refuses every read at once, so repeated attempts only cost time on both
// sides.
bool serves_reads(const endpoint_view& view, core::time_point now) {
    return view.m_report.m_state == registry::report_state::ready &&
           (view.m_report.m_is_primary || view.m_lagging_until.passed(now)) &&
           view.m_shedding_until.passed(now);
}

placement_outcome place_on_primary(const endpoint_views& views, const placement_request& request,
                                   core::time_point now) {
    placement_outcome outcome;
    const endpoint_view* primary = find_primary(views, request.m_service, now);
    if (primary == nullptr) {
        return outcome;
    }
    outcome.m_has_candidate = !is_down(*primary, now);
    if (!has_capacity(*primary, request) || !primary->m_shedding_until.passed(now)) {
        return outcome;
    }
    if (has_idle_connection(*primary)) {
        outcome.m_chosen = placement{primary->m_report.m_id, "primary"};
    } else {
        outcome.m_preferred = primary->m_report.m_id;
    }
    return outcome;
}

} // namespace

void adapt_concurrency_limit(endpoint_view& view, core::duration taken, core::milliseconds target) {
    const double slots = std::max(min_concurrency, static_cast<double>(view.m_report.m_slots));
    if (taken * slow_answer_target_divisor > target) {
        view.m_concurrency_limit = std::max(min_concurrency, view.m_concurrency_limit * concurrency_decrease);
    } else {
        view.m_concurrency_limit = std::min(slots, view.m_concurrency_limit + concurrency_increase);
    }
}

const endpoint_view* find_primary(const endpoint_views& views, const core::service_name& service,
                                  core::time_point now) {
    const endpoint_view* best = nullptr;
    for (const auto& [id, view] : views) {
        const bool claims_primary = view.m_report.m_service == service && view.m_report.m_is_primary &&
                                    view.m_not_primary_until.passed(now) && may_act_as_primary(view, now);
        if (!claims_primary) {
            continue;
        }
        const bool usable = view.m_suspect_until.passed(now);
        const bool best_usable = best != nullptr && best->m_suspect_until.passed(now);
        const bool better =
            usable != best_usable ? usable : best != nullptr && best->m_position < view.m_position;
        if (best == nullptr || better) {
            best = &view;
        }
    }
    return best;
}

placement_outcome choose_endpoint(const endpoint_views& views, const placement_request& request,
                                  core::time_point now) {
    if (request.m_needs_primary) {
        return place_on_primary(views, request, now);
    }
    placement_outcome outcome;
    double least = 0.0;
    double least_idle = 0.0;
    for (const auto& [id, view] : views) {
        if (view.m_report.m_service != request.m_service ||
            view.m_report.m_state == registry::report_state::removed) {
            continue;
        }
        outcome.m_has_candidate = outcome.m_has_candidate || !is_down(view, now);
        if (!serves_reads(view, now) || !has_capacity(view, request)) {
            continue;
        }
        const bool avoided = request.m_avoided != nullptr && request.m_avoided->contains(id);
        const double cost = cost_of(view, request, now) + (avoided ? avoided_penalty_ms : 0.0);
        if (!outcome.m_preferred || cost < least) {
            least = cost;
            outcome.m_preferred = id;
        }
        if (has_idle_connection(view) && (!outcome.m_chosen || cost < least_idle)) {
            least_idle = cost;
            outcome.m_chosen = placement{id, view.m_report.m_is_primary ? "primary" : "replica"};
        }
    }
    // Waiting for a connection to the better endpoint takes less time than the worse endpoint costs.
    if (outcome.m_chosen && least + max_extra_cost_ms < least_idle) {
        outcome.m_chosen.reset();
    }
    return outcome;
}

} // namespace mangoquay::relay
