// What the answers of databases and of the executor mean for a replacement.
#include "promotion/promotion_core.h"

#include "promotion/promotion_limits.h"

#include <algorithm>
#include <utility>

namespace mangoquay::promotion {

using registry::endpoint_report;

void promotion_core::order_answered(const core::service_name& service, fence number, order_outcome outcome,
                                    core::time_point now) {
    const auto found = m_watches.find(service);
    if (!m_leading || found == m_watches.end() || found->second.m_fence != number) {
        return;
    }
    watch& one = found->second;
    one.m_fenced = outcome == order_outcome::accepted; // all earlier fences are lower
    one.m_settled = core::deadline_after(now, settle_limit);
    if (one.m_phase == phase::fencing) {
        one.m_probe_accepted = one.m_fenced;
        enter(one, phase::watching, core::milliseconds(0), now);
        return;
    }
    if (one.m_phase != phase::ordering) {
        return;
    }
    switch (outcome) {
    case order_outcome::accepted:
        m_ports.record({"promotion accepted", service, one.m_target, ""});
        enter(one, phase::confirming, confirm_limit, now);
        break;
    case order_outcome::refused:
        one.m_rejected[one.m_target] = core::deadline_after(now, rejected_for);
        m_ports.record({"promotion refused", service, one.m_target, ""});
        // The target may have been promoted by an earlier order and have gone since: all positions are asked
        // for again.
        enter(one, phase::watching, core::milliseconds(0), now);
        one.m_failing_since = now - mostly_lost_after;
        break;
    case order_outcome::unknown:
        one.m_phase_limit = core::deadline_after(now, probe_period);
        break;
    }
}

void promotion_core::step_answered(const core::service_name& service, const step_answer& answer,
                                   core::time_point now) {
    const auto found = m_watches.find(service);
    if (!m_leading || found == m_watches.end()) {
        return;
    }
    watch& one = found->second;
    if (answer.m_status) {
        one.m_newest = std::max(one.m_newest, answer.m_status->m_term);
    }
    if (answer.m_position) {
        one.m_newest = std::max(one.m_newest, answer.m_position->m_term);
    }
    if (answer.m_kind == step_kind::probe) {
        one.m_probing = false;
    }
    if (answer.m_kind == step_kind::resume && answer.m_answered) {
        one.m_to_resume.erase(answer.m_endpoint);
    }
    if (one.m_phase == phase::watching && answer.m_kind == step_kind::probe) {
        probe_answered(one, answer, now);
    } else if (one.m_phase == phase::confirming && answer.m_is_primary && answer.m_endpoint == one.m_target) {
        one.m_primary = one.m_target;
        finish(one, service, "promotion confirmed", now);
    } else if (one.m_phase == phase::pausing && answer.m_kind == step_kind::pause && answer.m_status) {
        pause_answered(service, one, answer, now);
    } else if (one.m_phase == phase::catching_up && answer.m_status) {
        one.m_positions[answer.m_endpoint] = answer.m_status->m_received;
    } else if (one.m_phase == phase::stepping_down && answer.m_kind == step_kind::step_down &&
               answer.m_status) {
        one.m_needed = answer.m_status->m_received;
        one.m_positions.clear();
        enter(one, phase::catching_up, catch_up_limit, now);
    }
}

// A pause holds only under a term above the newest one, which a new leader may not know yet.
void promotion_core::pause_answered(const core::service_name& service, watch& one, const step_answer& answer,
                                    core::time_point now) {
    if (answer.m_status->m_is_primary) { // an earlier leader's successor, whose report has not arrived yet
        one.m_primary = answer.m_endpoint;
        finish(one, service, "replacement given up: another endpoint is the primary", now);
        return;
    }
    if (answer.m_term != one.m_pause_term) {
        return; // an earlier request, under a term that did not hold
    }
    if (answer.m_status->m_term < one.m_pause_term) {
        one.m_positions[answer.m_endpoint] = answer.m_status->m_received;
        return;
    }
    one.m_pause_term = core::term(one.m_newest.value() + 1);
    one.m_positions.clear();
    for (const auto& [id, report] : one.m_asked) {
        m_ports.run_step(service, report, step_kind::pause, one.m_pause_term);
    }
}

void promotion_core::probe_answered(watch& one, const step_answer& answer, core::time_point now) {
    if (answer.m_endpoint != one.m_primary) {
        return;
    }
    if (answer.m_is_full) {
        one.m_failing_since.reset();
        return;
    }
    one.m_probe_accepted = answer.m_answered && answer.m_is_primary;
    if (answer.m_answered) {
        one.m_failing_since.reset();
    } else {
        one.m_failing_since = one.m_failing_since.value_or(now);
    }
    if (!answer.m_answered || answer.m_is_primary) {
        one.m_missing_since.reset();
    } else {
        one.m_missing_since = one.m_missing_since.value_or(now);
    }
}

} // namespace mangoquay::promotion
