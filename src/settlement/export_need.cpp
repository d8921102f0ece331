// What an export read of a business day needs.
#include "settlement/export_need.h"

namespace mangoquay::settlement {

export_need needs_of_export(const control::control_state& state, const control::day_key& key) {
    export_need need;
    if (!state.m_services.contains(key.m_service)) {
        need.m_refusal = core::reason::unknown_service;
        return need;
    }
    const auto day = state.m_days.find(key);
    if (day != state.m_days.end() && day->second.m_phase == control::day_phase::settled) {
        need.m_least_positions = day->second.m_positions;
        return need;
    }
    need.m_refusal = core::reason::day_not_settled;
    need.m_retry_after = day == state.m_days.end() ? retry_before_closing : retry_while_closing;
    return need;
}

} // namespace mangoquay::settlement
