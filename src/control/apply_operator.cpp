// Application of operator changes to services, presets and business days, and of settle_day.
#include "control/apply.h"
#include "control/apply_changes.h"
#include "presets/checks.h"

#include <algorithm>

namespace mangoquay::control {
namespace {

void store_outcome(control_state& state, const core::request_id& request, const command_outcome& outcome) {
    state.m_outcomes[request] = outcome;
    state.m_outcome_order.push_back(request);
    if (state.m_outcome_order.size() > max_stored_outcomes) {
        state.m_outcomes.erase(state.m_outcome_order.front());
        state.m_outcome_order.erase(state.m_outcome_order.begin());
    }
}

// Returns the stored outcome for a resent request. Any other request is decided once and its outcome stored.
template <class Decision>
command_outcome decide_once(control_state& state, const core::request_id& request, Decision decision) {
    if (request.value().empty()) {
        return refused_change("invalid_change", "request_id: must not be empty");
    }
    const auto earlier = state.m_outcomes.find(request);
    if (earlier != state.m_outcomes.end()) {
        return earlier->second;
    }
    command_outcome outcome = decision();
    store_outcome(state, request, outcome);
    return outcome;
}

command_outcome revision_conflict(core::revision expected, core::revision current) {
    command_outcome outcome =
        refused_change("revision_conflict", "expected revision " + std::to_string(expected.value()) +
                                                " but the present one is " + std::to_string(current.value()));
    outcome.m_revision = current;
    return outcome;
}

// Returns revision 0 for an object that does not exist. Built-in presets have revision 0 as well.
template <class Map, class Key>
core::revision current_revision(const Map& objects, const Key& key) {
    const auto found = objects.find(key);
    return found == objects.end() ? core::revision{} : found->second.m_revision;
}

command_outcome invalid_change(const std::vector<std::string>& errors) {
    return refused_change("invalid_change", presets::join_errors(errors));
}

command_outcome decide_close(control_state& state, const close_day& change, core::revision at) {
    if (!state.m_services.contains(change.m_key.m_service)) {
        return refused_change("invalid_change", "service: does not exist");
    }
    if (!presets::is_calendar_day(change.m_key.m_day)) {
        return refused_change("invalid_change", "business_day: is not a date such as 2026-12-04");
    }
    // Closing a day that is already closed is accepted, so that both of two concurrent operators succeed.
    // Each gets the revision at which the day was closed.
    const auto [position, is_new] = state.m_days.try_emplace(change.m_key);
    if (is_new) {
        position->second.m_closed_at = at;
    }
    return accepted_change(position->second.m_closed_at);
}

bool position_is_in_current_term(const control_state& state, const settle_day& change,
                                 const core::group_id& group) {
    const auto position = change.m_positions.find(group);
    const auto record = state.m_groups.find(group);
    return position != change.m_positions.end() && record != state.m_groups.end() &&
           !record->second.m_promotion_in_progress && position->second.m_term == record->second.m_term;
}

} // namespace

command_outcome apply_change(control_state& state, const put_service& change, core::revision at) {
    return decide_once(state, change.m_request_id, [&] {
        const core::revision current = current_revision(state.m_services, change.m_service);
        if (current != change.m_expected_revision) {
            return revision_conflict(change.m_expected_revision, current);
        }
        auto errors = presets::validate_service(state, change.m_service, change.m_record);
        for (std::string& error : presets::validate_group_change(state, change.m_service, change.m_record)) {
            errors.push_back(std::move(error));
        }
        if (!errors.empty()) {
            return invalid_change(errors);
        }
        service_record& record = state.m_services[change.m_service];
        record = change.m_record;
        record.m_revision = at;
        return accepted_change(at);
    });
}

command_outcome apply_change(control_state& state, const put_preset& change, core::revision at) {
    return decide_once(state, change.m_request_id, [&] {
        const core::revision current = current_revision(state.m_presets, change.m_preset);
        if (current != change.m_expected_revision) {
            return revision_conflict(change.m_expected_revision, current);
        }
        const auto errors = presets::validate_preset(change.m_preset, change.m_record);
        if (!errors.empty()) {
            return invalid_change(errors);
        }
        preset_record& record = state.m_presets[change.m_preset];
        record = change.m_record;
        record.m_revision = at;
        return accepted_change(at);
    });
}

command_outcome apply_change(control_state& state, const select_preset& change, core::revision at) {
    return decide_once(state, change.m_request_id, [&] {
        const core::revision current = current_revision(state.m_services, change.m_service);
        if (current != change.m_expected_revision) {
            return revision_conflict(change.m_expected_revision, current);
        }
        std::vector<std::string> errors;
        if (!state.m_services.contains(change.m_service)) {
            errors.push_back("service: \"" + change.m_service.value() + "\" does not exist");
        }
        if (!state.m_presets.contains(change.m_preset)) {
            errors.push_back("preset: \"" + change.m_preset.value() + "\" does not exist");
        }
        if (!errors.empty()) {
            return invalid_change(errors);
        }
        service_record& record = state.m_services[change.m_service];
        record.m_preset = change.m_preset;
        record.m_revision = at;
        return accepted_change(at);
    });
}

command_outcome apply_change(control_state& state, const close_day& change, core::revision at) {
    return decide_once(state, change.m_request_id, [&] { return decide_close(state, change, at); });
}

command_outcome apply_change(control_state& state, const settle_day& change, core::revision at) {
    const auto day = state.m_days.find(change.m_key);
    const auto service = state.m_services.find(change.m_key.m_service);
    if (day == state.m_days.end() || day->second.m_phase != day_phase::closing ||
        service == state.m_services.end()) {
        return refused_change("revision_conflict", "the business day is not in phase closing");
    }
    // If a promotion took place after the positions were read, they belong to a replaced term.
    const auto& groups = service->second.m_groups;
    const bool all_current = std::all_of(groups.begin(), groups.end(), [&](const core::group_id& group) {
        return position_is_in_current_term(state, change, group);
    });
    if (!all_current || change.m_positions.size() != groups.size()) {
        return refused_change("revision_conflict",
                              "the positions do not cover the current term of each group");
    }
    day->second.m_phase = day_phase::settled;
    day->second.m_positions = change.m_positions;
    return accepted_change(at);
}

} // namespace mangoquay::control
