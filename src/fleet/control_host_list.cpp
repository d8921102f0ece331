// Removes hosts by the time of their last answer.
#include "fleet/control_host_list.h"

#include <algorithm>
#include <iterator>

namespace mangoquay::fleet {
namespace {

// Rounds follow each other within 500 ms unless this process does not run.
constexpr core::milliseconds longest_round{1500};

} // namespace

void control_host_list::add_seed(const core::entry_host_id& host, core::time_point now) {
    m_seeds.insert(host);
    add(host, now);
}

bool control_host_list::add(const core::entry_host_id& host, core::time_point now) {
    if (host == m_self || !m_hosts.insert(host).second) {
        return false;
    }
    m_last_answers[host] = now;
    return true;
}

bool control_host_list::on_answer(const core::entry_host_id& host, core::time_point now) {
    if (!m_hosts.contains(host)) {
        return false;
    }
    m_last_answers[host] = now;
    m_answered_in_round = true;
    return true;
}

round_changes control_host_list::start_round(core::time_point now) {
    round_changes changes;
    const bool is_late = m_round_overdue.passed(now);
    m_round_overdue = core::deadline_after(now, longest_round);
    const bool is_answered = std::exchange(m_answered_in_round, false);
    if (!is_answered) {
        std::ranges::copy_if(m_seeds, std::back_inserter(changes.m_added),
                             [&](const core::entry_host_id& host) { return add(host, now); });
    }
    if (is_late || !is_answered) {
        // The silence is that of this process or of its network.
        for (const core::entry_host_id& host : m_hosts) {
            m_last_answers[host] = now;
        }
        return changes;
    }
    std::erase_if(m_hosts, [&](const core::entry_host_id& host) {
        const bool is_expired = m_last_answers[host] + control_host_retention < now;
        if (is_expired) {
            changes.m_removed.push_back(host);
        }
        return is_expired;
    });
    return changes;
}

} // namespace mangoquay::fleet
