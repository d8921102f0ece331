// Derives the requirements of an export read from the control state.
#include "settlement/export_requirements.h"

namespace mangoquay::settlement {

export_requirements requirements_for_export(const control::control_state& state,
                                            const control::day_key& key) {
    export_requirements requirements;
    if (!state.m_services.contains(key.m_service)) {
        requirements.m_refusal = core::reason::unknown_service;
        return requirements;
    }
    const auto day = state.m_days.find(key);
    if (day != state.m_days.end() && day->second.m_phase == control::day_phase::settled) {
        requirements.m_min_positions = day->second.m_positions;
        return requirements;
    }
    requirements.m_refusal = core::reason::day_not_settled;
    requirements.m_retry_after =
        day == state.m_days.end() ? retry_after_before_closing : retry_after_while_closing;
    return requirements;
}

} // namespace mangoquay::settlement
