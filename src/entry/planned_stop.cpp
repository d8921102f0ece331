// The steps of a planned stop.
#include "entry/planned_stop.h"

#include <algorithm>

namespace mangoquay::entry {
namespace {

// The load balancer queries readiness every second and removes a host after two failures.
constexpr core::milliseconds balancer_detection_time{2300};
// Limits how many callers reconnect at once, so that they spread over the remaining hosts.
constexpr std::size_t sessions_closed_per_step = 40;
constexpr int transaction_end_percent = 55;
constexpr int end_percent = 85;

} // namespace

planned_stop::planned_stop(core::time_point now, core::milliseconds limit)
    : m_session_drain_start(
          core::deadline_after(now, std::min<core::milliseconds>(balancer_detection_time, limit / 2))),
      m_transaction_end(core::deadline_after(now, limit * transaction_end_percent / 100)),
      m_end(core::deadline_after(now, limit * end_percent / 100)) {}

std::size_t planned_stop::step(relay::relay_core& core, core::time_point now) {
    if (m_end.passed(now)) {
        core.answer_all_statements(now);
    } else if (m_transaction_end.passed(now)) {
        core.end_transactions(now);
    }
    return m_session_drain_start.passed(now) ? core.close_idle_sessions(sessions_closed_per_step)
                                             : core.session_count();
}

bool planned_stop::may_end_accepting(std::size_t sessions_left, core::time_point now) const {
    return m_session_drain_start.passed(now) && (sessions_left == 0 || m_transaction_end.passed(now));
}

} // namespace mangoquay::entry
