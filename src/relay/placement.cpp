// The cost of an endpoint is the time until it answers, as expected from its recent answers, plus penalties.
#include "relay/placement.h"

#include <algorithm>

namespace mangoquay::relay {
namespace {

// Additive increase, multiplicative decrease: settles where about a quarter of the answers take more than a
// third of their latency target, whatever the number of hosts that share the endpoint.
constexpr double least_window = 1.0;
constexpr std::uint32_t urgent_beside_window = 2;
constexpr double window_increase = 0.15;
constexpr double window_decrease = 0.8;
constexpr int slow_part_of_target = 3;
// The lenders keep the queue; this bounds what one host adds to it.
constexpr std::uint32_t most_loans = 32;
constexpr core::milliseconds down_after_step{400}; // of the back-off: the third failure in a row
// Opening a link takes about 12 ms (sheet), and an endpoint that does not answer becomes suspect within a
// second.
constexpr double patience_ms = 100.0;
constexpr double suspect_penalty_ms = 2000.0;
constexpr double recent_position_penalty_ms = 400.0;
constexpr double avoided_penalty_ms = 1000.0;
// Reads stay off the primary while a replica is about as good: writes can go nowhere else.
constexpr double primary_penalty_ms = 30.0;

bool has_free_link(const endpoint_view& view, const placement_request& request) {
    if (view.m_lent && view.m_loans < most_loans) {
        return true;
    }
    // Statements wait here, in the order of their priority, and not in the database's queue, where each would
    // hold one of its connections.
    // Urgent ones do not wait for this host's own that were sent before.
    const auto at_once =
        static_cast<std::uint32_t>(view.m_window) + (request.m_urgent ? urgent_beside_window : 0);
    return view.m_busy < request.m_links_per_endpoint && view.m_running < at_once;
}

bool has_own_idle_link(const endpoint_view& view) {
    return view.m_links > view.m_busy + view.m_opening;
}

bool has_idle_link(const endpoint_view& view) {
    return view.m_lent || has_own_idle_link(view);
}

bool probably_lags(const endpoint_view& view, const placement_request& request) {
    if (!request.m_position || (view.m_position && *view.m_position >= *request.m_position)) {
        return false;
    }
    return request.m_position_is_recent;
}

// One lost link says little; several failures in a row make an endpoint one that nobody reaches.
bool is_down(const endpoint_view& view, core::time_point now) {
    return !view.m_suspect.passed(now) && view.m_suspect_step >= down_after_step;
}

double cost_of(const endpoint_view& view, const placement_request& request, core::time_point now) {
    const double slots = std::max(1.0, static_cast<double>(view.m_report.m_slots));
    double cost = view.m_answer_ms * (1.0 + static_cast<double>(view.m_busy + view.m_loans) / slots);
    cost += view.m_lent && !has_own_idle_link(view) ? view.m_grant_ms : 0.0;
    cost += view.m_report.m_zone == request.m_zone ? 0.0 : request.m_other_zone_cost_ms;
    cost += view.m_suspect.passed(now) ? 0.0 : suspect_penalty_ms;
    if (view.m_report.m_is_primary) {
        return cost + primary_penalty_ms;
    }
    return cost + (probably_lags(view, request) ? recent_position_penalty_ms : 0.0);
}

// A replica that lags far behind refuses each read at once; asking it again and again costs both sides time.
bool serves_reads(const endpoint_view& view, core::time_point now) {
    return view.m_report.m_state == registry::report_state::ready &&
           (view.m_report.m_is_primary || view.m_lagging.passed(now)) && view.m_shedding.passed(now);
}

placement_outcome place_on_primary(const endpoint_views& views, const placement_request& request,
                                   core::time_point now) {
    placement_outcome outcome;
    const endpoint_view* primary = find_primary(views, request.m_service, now);
    if (primary == nullptr) {
        return outcome;
    }
    outcome.m_known = !is_down(*primary, now);
    if (!has_free_link(*primary, request) || !primary->m_shedding.passed(now)) {
        return outcome;
    }
    if (has_idle_link(*primary)) {
        outcome.m_chosen = placement{primary->m_report.m_id, "primary"};
    } else {
        outcome.m_preferred = primary->m_report.m_id;
    }
    return outcome;
}

} // namespace

void adapt_window(endpoint_view& view, core::duration taken, core::milliseconds target) {
    const double slots = std::max(least_window, static_cast<double>(view.m_report.m_slots));
    if (taken * slow_part_of_target > target) {
        view.m_window = std::max(least_window, view.m_window * window_decrease);
    } else {
        view.m_window = std::min(slots, view.m_window + window_increase);
    }
}

const endpoint_view* find_primary(const endpoint_views& views, const core::service_name& service,
                                  core::time_point now) {
    const endpoint_view* best = nullptr;
    for (const auto& [id, view] : views) {
        const bool claims =
            view.m_report.m_service == service && view.m_report.m_is_primary && view.m_refuted.passed(now);
        if (!claims) {
            continue;
        }
        const bool usable = view.m_suspect.passed(now);
        const bool best_usable = best != nullptr && best->m_suspect.passed(now);
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
            view.m_report.m_state == registry::report_state::gone) {
            continue;
        }
        outcome.m_known = outcome.m_known || !is_down(view, now);
        if (!serves_reads(view, now) || !has_free_link(view, request)) {
            continue;
        }
        const bool avoided = request.m_avoided != nullptr && request.m_avoided->contains(id);
        const double cost = cost_of(view, request, now) + (avoided ? avoided_penalty_ms : 0.0);
        if (!outcome.m_preferred || cost < least) {
            least = cost;
            outcome.m_preferred = id;
        }
        if (has_idle_link(view) && (!outcome.m_chosen || cost < least_idle)) {
            least_idle = cost;
            outcome.m_chosen = placement{id, view.m_report.m_is_primary ? "primary" : "replica"};
        }
    }
    // Waiting for the better endpoint's link takes less than the worse endpoint's penalty.
    if (outcome.m_chosen && least + patience_ms < least_idle) {
        outcome.m_chosen.reset();
    }
    return outcome;
}

} // namespace mangoquay::relay
