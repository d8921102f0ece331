// Phases of a replacement: watch, stop the old primary, compare replicas, order, confirm.
#include "promotion/promotion_core.h"

#include "promotion/promotion_limits.h"

#include <algorithm>
#include <array>
#include <utility>

namespace mangoquay::promotion {
namespace {

using registry::endpoint_report;
using registry::report_state;

const endpoint_report* find(const service_view& service, const core::endpoint_id& id) {
    const auto found = std::ranges::find(service.m_endpoints, id, &endpoint_report::m_id);
    return found == service.m_endpoints.end() ? nullptr : &*found;
}

entry_views views_of(const service_view& service, const core::endpoint_id& primary) {
    const auto seen = service.m_entry_views.find(primary);
    return seen == service.m_entry_views.end() ? entry_views{} : seen->second;
}

bool has_successor(const service_view& service, const core::endpoint_id& primary) {
    return std::ranges::any_of(service.m_endpoints, [&](const endpoint_report& one) {
        return one.m_id != primary && one.m_state == report_state::ready;
    });
}

// Of several claims the one that was watched so far, as long as it reports, and otherwise the last that
// reported: a primary that crashed never takes its claim back.
const endpoint_report* claimed_primary(const service_view& service, const core::endpoint_id& watched) {
    const endpoint_report* best = nullptr;
    core::time_point best_heard{};
    for (const endpoint_report& report : service.m_endpoints) {
        const auto heard = service.m_heard.find(report.m_id);
        core::time_point when = heard == service.m_heard.end() ? core::time_point{} : heard->second;
        when += report.m_id == watched ? watched_credit : core::milliseconds(0);
        if (report.m_is_primary && (best == nullptr || when > best_heard)) {
            best = &report;
            best_heard = when;
        }
    }
    return best;
}

} // namespace

void promotion_core::lead(bool leading) {
    if (leading != m_leading) {
        m_leading = leading;
        m_watches.clear();
    }
}

void promotion_core::tick(const std::vector<service_view>& services, core::time_point now) {
    // In the order of phase.
    static constexpr std::array<phase_handler, 7> handlers{
        &promotion_core::watching,  &promotion_core::fencing,     &promotion_core::stepping_down,
        &promotion_core::pausing,   &promotion_core::catching_up, &promotion_core::ordering,
        &promotion_core::confirming};
    if (!m_leading) {
        return;
    }
    for (const service_view& service : services) {
        const auto [found, added] = m_watches.try_emplace(service.m_name);
        if (added) {
            found->second.m_settled = core::deadline_after(now, settle_limit);
        }
        (this->*handlers.at(static_cast<std::size_t>(found->second.m_phase)))(found->second, service, now);
    }
}

void promotion_core::enter(watch& one, phase next, core::milliseconds limit, core::time_point now) {
    one.m_phase = next;
    one.m_phase_limit = core::deadline_after(now, limit);
    one.m_probing = false;
    one.m_next_probe = core::deadline{now};
}

void promotion_core::probe(watch& one, const service_view& service, const endpoint_report& target,
                           core::time_point now) {
    if (one.m_probing || !one.m_next_probe.passed(now)) {
        return;
    }
    one.m_probing = true;
    one.m_next_probe =
        core::deadline_after(now, one.m_phase == phase::confirming ? confirm_probe_period : probe_period);
    m_ports.run_step(service.m_name, target, step_kind::probe, one.m_newest);
}

void promotion_core::watching(watch& one, const service_view& service, core::time_point now) {
    const endpoint_report* primary = claimed_primary(service, one.m_primary);
    if (primary == nullptr) {
        one.m_missing_since = one.m_missing_since.value_or(now);
        const bool replaceable = has_successor(service, {}) && *one.m_missing_since + missing_limit < now;
        if (replaceable) {
            one.m_primary = {};
            begin_pause(one, service, "no endpoint claims to be the primary", now);
        }
        return;
    }
    if (primary->m_id != one.m_primary) {
        one.m_primary = primary->m_id;
        one.m_failing_since.reset();
        one.m_missing_since.reset();
        one.m_probing = false;
        one.m_probe_accepted = false;
    }
    if (one.m_paused && one.m_probe_accepted && one.m_settled.passed(now)) {
        // Without synchronous replicas a late order loses nothing that was promised, and the fence itself may
        // come late.
        if (!one.m_fenced && service.m_synchronous_replicas > 0) {
            one.m_target = primary->m_id;
            give_order(one, service, phase::fencing, now);
            return;
        }
        resume_all(one, service, now);
    }
    resume_again(one, service, now);
    probe(one, service, *primary, now);
    if (is_lost(one, service, now)) {
        begin_pause(one, service, "the primary is lost", now);
        return;
    }
    if (one.m_missing_since && *one.m_missing_since + missing_limit < now &&
        has_successor(service, primary->m_id)) {
        begin_pause(one, service, "the reported primary refuses to be one", now);
        return;
    }
    const bool leaves = primary->m_state == report_state::draining && has_successor(service, primary->m_id);
    if (leaves && !one.m_failing_since && one.m_newest.value() > 0) {
        m_ports.record({"planned replacement", service.m_name, primary->m_id, "the primary leaves"});
        enter(one, phase::stepping_down, step_down_limit, now);
        m_ports.run_step(service.m_name, *primary, step_kind::step_down,
                         core::term(one.m_newest.value() + 1));
    }
}

bool promotion_core::is_lost(const watch& one, const service_view& service, core::time_point now) const {
    if (!one.m_failing_since || !has_successor(service, one.m_primary)) {
        return false;
    }
    const entry_views views = views_of(service, one.m_primary);
    // Hosts that are cut off from the leader may be on the primary's side: a successor would take the service
    // from them.
    if (service.m_silent_hosts > service.m_reporting_hosts) {
        return false;
    }
    const core::duration failing = now - *one.m_failing_since;
    if (views.m_answered == 0) {
        return failing >= lost_after;
    }
    return failing >= mostly_lost_after && views.m_failing > views.m_answered;
}

void promotion_core::fencing(watch& one, const service_view&, core::time_point now) {
    if (one.m_phase_limit.passed(now)) {
        enter(one, phase::watching, core::milliseconds(0), now);
        one.m_probe_accepted = false; // the primary proves itself again before the next order names it
    }
}

void promotion_core::stepping_down(watch& one, const service_view& service, core::time_point now) {
    if (one.m_phase_limit.passed(now)) {
        begin_pause(one, service, "the old primary did not answer the step down", now);
    }
}

void promotion_core::begin_pause(watch& one, const service_view& service, const char* reason,
                                 core::time_point now) {
    const entry_views views = views_of(service, one.m_primary);
    const auto failing = one.m_failing_since.value_or(now);
    m_ports.record(
        {"replacement", service.m_name, one.m_primary,
         reason + std::string(" answered_entry_hosts=") + std::to_string(views.m_answered) +
             " failing_entry_hosts=" + std::to_string(views.m_failing) +
             " silent_entry_hosts=" + std::to_string(service.m_silent_hosts) + " probes_failing_ms=" +
             std::to_string(std::chrono::duration_cast<core::milliseconds>(now - failing).count())});
    one.m_positions.clear();
    one.m_paused = true;
    one.m_to_resume.clear();
    one.m_needed.reset();
    one.m_pause_term = core::term(one.m_newest.value() + 1);
    enter(one, phase::pausing, pause_limit, now);
    ask_replicas(one, service, step_kind::pause, one.m_pause_term);
}

void promotion_core::ask_replicas(watch& one, const service_view& service, step_kind kind, core::term term) {
    one.m_asked.clear();
    for (const endpoint_report& report : service.m_endpoints) {
        if (report.m_id != one.m_primary) {
            one.m_asked.emplace(report.m_id, report);
            m_ports.run_step(service.m_name, report, kind, term);
        }
    }
}

void promotion_core::pausing(watch& one, const service_view& service, core::time_point now) {
    const bool all = one.m_positions.size() == one.m_asked.size() && !one.m_asked.empty();
    if (!all && !one.m_phase_limit.passed(now)) {
        return;
    }
    // Each acknowledged commit is at one of any so many replicas.
    const std::size_t replicas = one.m_asked.size();
    const std::size_t needed = service.m_synchronous_replicas == 0 ? 1
                               : replicas >= service.m_synchronous_replicas
                                   ? replicas - service.m_synchronous_replicas + 1
                                   : replicas;
    if (one.m_positions.size() >= std::max<std::size_t>(needed, 1)) {
        choose_and_order(one, service, now);
        return;
    }
    finish(one, service.m_name, "replacement given up: too few replicas answer", now);
    one.m_failing_since = now; // tried again after the usual time
}

void promotion_core::catching_up(watch& one, const service_view& service, core::time_point now) {
    const bool reached = std::ranges::any_of(one.m_positions, [&](const auto& held) {
        const endpoint_report* report = find(service, held.first);
        return report != nullptr && report->m_state == report_state::ready && held.second >= *one.m_needed;
    });
    if (reached || one.m_phase_limit.passed(now)) {
        choose_and_order(one, service, now);
        return;
    }
    if (one.m_next_probe.passed(now)) {
        one.m_next_probe = core::deadline_after(now, catch_up_poll);
        ask_replicas(one, service, step_kind::status, one.m_newest);
    }
}

void promotion_core::choose_and_order(watch& one, const service_view& service, core::time_point now) {
    const endpoint_report* best = nullptr;
    bool best_rejected = true;
    for (const auto& [id, position] : one.m_positions) {
        const endpoint_report* report = find(service, id);
        if (report == nullptr || report->m_state != report_state::ready) {
            continue;
        }
        const auto rejected_until = one.m_rejected.find(id);
        const bool rejected = rejected_until != one.m_rejected.end() && !rejected_until->second.passed(now);
        const bool better = best == nullptr || (best_rejected && !rejected) ||
                            (best_rejected == rejected && one.m_positions.at(best->m_id) < position);
        if (better) {
            best = report;
            best_rejected = rejected;
        }
    }
    if (best == nullptr) {
        finish(one, service.m_name, "replacement given up: no replica is ready", now);
        one.m_failing_since = now;
        return;
    }
    one.m_target = best->m_id;
    give_order(one, service, phase::ordering, now);
}

void promotion_core::give_order(watch& one, const service_view& service, phase next, core::time_point now) {
    const auto number = m_ports.next_fence();
    if (!number) {
        return; // leadership is in doubt; asked again at the next tick
    }
    one.m_fence = *number;
    one.m_fenced = false;
    enter(one, next, order_limit, now);
    const char* what = next == phase::fencing ? "earlier orders shut out" : "promotion ordered";
    m_ports.record({what, service.m_name, one.m_target, "fence=" + std::to_string(number->value())});
    m_ports.order(service.m_name, one.m_target, *number);
}

void promotion_core::ordering(watch& one, const service_view& service, core::time_point now) {
    if (one.m_phase_limit.passed(now)) {
        give_order(one, service, phase::ordering, now);
    }
}

void promotion_core::confirming(watch& one, const service_view& service, core::time_point now) {
    const endpoint_report* target = find(service, one.m_target);
    if (target == nullptr || one.m_phase_limit.passed(now)) {
        one.m_rejected[one.m_target] = core::deadline_after(now, rejected_for);
        begin_pause(one, service, "the promotion was not confirmed", now);
        return;
    }
    probe(one, service, *target, now);
}

void promotion_core::finish(watch& one, const core::service_name& service, const char* what,
                            core::time_point now) {
    m_ports.record({what, service, one.m_target, ""});
    one.m_failing_since.reset();
    one.m_missing_since.reset();
    one.m_needed.reset();
    one.m_probe_accepted = false;
    enter(one, phase::watching, core::milliseconds(0), now);
}

void promotion_core::resume_all(watch& one, const service_view& service, core::time_point now) {
    one.m_paused = false;
    one.m_to_resume.clear();
    for (const endpoint_report& report : service.m_endpoints) {
        one.m_to_resume.insert(report.m_id);
    }
    one.m_next_resume = core::deadline{now};
    one.m_resume_limit = core::deadline_after(now, resume_limit);
    resume_again(one, service, now);
}

void promotion_core::resume_again(watch& one, const service_view& service, core::time_point now) {
    if (one.m_to_resume.empty() || !one.m_next_resume.passed(now)) {
        return;
    }
    if (one.m_resume_limit.passed(now)) {
        one.m_to_resume.clear(); // a database that does not run is not paused when it starts
        return;
    }
    one.m_next_resume = core::deadline_after(now, resume_period);
    for (const endpoint_report& report : service.m_endpoints) {
        if (one.m_to_resume.contains(report.m_id)) {
            m_ports.run_step(service.m_name, report, step_kind::resume, one.m_newest);
        }
    }
}

} // namespace mangoquay::promotion
