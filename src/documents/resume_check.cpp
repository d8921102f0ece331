// Detection of pauses and the wait for a confirmation.
#include "documents/resume_check.h"

#include <algorithm>
#include <utility>

namespace mangoquay::documents {
namespace {

// Requests whose confirmation is still accepted. Each one follows a pause, so more of them would be too old.
constexpr std::size_t max_requests = 8;

} // namespace

bool resume_check::on_running(core::time_point now) {
    const auto last_run = std::exchange(m_last_run, now);
    if (!last_run || now - *last_run < min_pause) {
        return false;
    }
    const bool was_waiting = is_awaited() && !m_latest_deadline.passed(now);
    m_resumed_at = now;
    m_requests.push_back({confirmation_number(number().value() + 1), now});
    if (m_requests.size() > max_requests) {
        m_requests.pop_front();
    }
    // A wait that is on is not prolonged beyond its limit, so that a process that pauses again and again goes
    // on.
    if (!was_waiting) {
        m_latest_deadline = core::deadline_after(now, max_confirmation_wait);
    }
    m_deadline.m_at = std::min(now + max_silent_wait, m_latest_deadline.m_at);
    return true;
}

void resume_check::on_contact(core::time_point now) {
    if (!m_deadline.passed(now)) {
        m_deadline = m_latest_deadline;
    }
}

bool resume_check::on_confirmed(confirmation_number number, document_version current) {
    const auto found = std::ranges::find(m_requests, number, &request::m_number);
    if (found == m_requests.end()) {
        return false;
    }
    m_confirmed_as_of = std::max(m_confirmed_as_of.value_or(found->m_since), found->m_since);
    m_required = std::max(m_required, current);
    return true;
}

bool resume_check::is_awaited() const {
    const auto confirmed_as_of = m_confirmed_as_of.value_or(core::time_point::min());
    return m_resumed_at && confirmed_as_of < *m_resumed_at - max_confirmation_age;
}

bool resume_check::may_rely_on(document_version held, core::time_point now) const {
    return (!is_awaited() && held >= m_required) || m_deadline.passed(now);
}

} // namespace mangoquay::documents
