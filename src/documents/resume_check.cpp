// Detection of pauses and the wait for a confirmation.
#include "documents/resume_check.h"

#include <utility>

namespace mangoquay::documents {

bool resume_check::on_running(core::time_point now) {
    const auto last_run = std::exchange(m_last_run, now);
    if (!last_run || now - *last_run < min_pause) {
        return false;
    }
    m_last_number = confirmation_number(m_last_number.value() + 1);
    m_is_awaited = true;
    m_wait_deadline = core::deadline_after(now, max_confirmation_wait);
    return true;
}

void resume_check::on_confirmed(confirmation_number number, document_version current) {
    if (m_is_awaited && number == m_last_number) {
        m_is_awaited = false;
        m_required = current;
    }
}

bool resume_check::may_rely_on(document_version held, core::time_point now) const {
    return (!m_is_awaited && held >= m_required) || m_wait_deadline.passed(now);
}

} // namespace mangoquay::documents
