// Matches read indexes with requests and applied commits.
#include "fleet/read_barrier.h"

#include <algorithm>

namespace mangoquay::fleet {
namespace {

// Requests whose answers are still accepted. Older ones are forgotten.
constexpr std::size_t max_unanswered_requests = 16;

} // namespace

std::optional<read_index_number> read_barrier::next_request(core::time_point now) {
    if (m_pending || !m_next_request.passed(now)) {
        return std::nullopt;
    }
    m_next_request = core::deadline_after(now, read_index_retry_interval);
    const read_index_number number(++m_last_number);
    m_requests.push_back({number, now});
    if (m_requests.size() > max_unanswered_requests) {
        m_requests.pop_front();
    }
    return number;
}

void read_barrier::on_answer(read_index_number number, core::revision committed) {
    const auto found = std::ranges::find(m_requests, number, &sent_request::m_number);
    if (found == m_requests.end()) {
        return;
    }
    const core::time_point sent = found->m_sent;
    m_requests.erase(m_requests.begin(), std::next(found));
    m_next_request = {};
    if (!m_pending) {
        m_pending = pending_commit{committed, sent};
    }
    on_applied(m_applied);
}

void read_barrier::on_applied(core::revision applied) {
    m_applied = std::max(m_applied, applied);
    if (m_pending && m_pending->m_committed <= m_applied) {
        confirm(m_pending->m_sent);
        m_pending.reset();
    }
}

void read_barrier::on_lease_held(core::time_point now) {
    m_pending.reset();
    confirm(now);
}

void read_barrier::confirm(core::time_point as_of) {
    m_current_as_of = std::max(m_current_as_of.value_or(as_of), as_of);
}

} // namespace mangoquay::fleet
