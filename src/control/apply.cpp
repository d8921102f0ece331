// The initial state and the dispatch of commands by type.
#include "control/apply.h"

#include "control/apply_changes.h"

namespace mangoquay::control {

control_state initial_state() {
    control_state state;
    preset_record peak;
    // At peak load, requests are refused after a shorter expected wait, so that callers retry early, and more
    // slots are reserved for short work.
    peak.m_reserved_short_slots = 2;
    peak.m_shed_wait_ms = 1000;
    peak.m_warm_connections = 16;
    preset_record maintenance;
    maintenance.m_retry_budget_percent = 20;
    state.m_presets[core::preset_name{"ordinary_day"}] = preset_record{};
    state.m_presets[core::preset_name{"peak"}] = peak;
    state.m_presets[core::preset_name{"maintenance"}] = maintenance;
    return state;
}

command_outcome apply(control_state& state, const command& change, core::revision at) {
    if (at <= state.m_revision) {
        return refused_change("internal_fault", "revision " + std::to_string(at.value()) + " is not above " +
                                                    std::to_string(state.m_revision.value()));
    }
    state.m_revision = at;
    return std::visit([&](const auto& typed) { return apply_change(state, typed, at); }, change);
}

} // namespace mangoquay::control
