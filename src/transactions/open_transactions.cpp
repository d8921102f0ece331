// Table of open transactions.
#include "transactions/open_transactions.h"

#include <algorithm>

namespace mangoquay::transactions {

bool open_transactions::open(const core::transaction_id& id, const transaction_origin& origin,
                             core::time_point now) {
    entry fresh{origin, core::deadline_after(now, max_idle_time), core::deadline_after(now, max_lifetime)};
    return m_open.emplace(id, std::move(fresh)).second;
}

core::reason open_transactions::begin_step(const core::transaction_id& id, const transaction_origin& origin,
                                           core::time_point now) {
    const auto found = m_open.find(id);
    // The answer to another caller does not reveal that the transaction exists.
    if (found == m_open.end() || found->second.m_origin != origin || expiry_of(found->second) <= now) {
        return core::reason::unknown_transaction;
    }
    if (found->second.m_step_in_progress) {
        return core::reason::transaction_failed;
    }
    found->second.m_step_in_progress = true;
    return core::reason::none;
}

void open_transactions::end_step(const core::transaction_id& id, bool failed, core::time_point now) {
    const auto found = m_open.find(id);
    if (found != m_open.end()) {
        found->second.m_step_in_progress = false;
        found->second.m_failed = found->second.m_failed || failed;
        found->second.m_idle_until = core::deadline_after(now, max_idle_time);
    }
}

bool open_transactions::failed(const core::transaction_id& id) const {
    const auto found = m_open.find(id);
    return found != m_open.end() && found->second.m_failed;
}

bool open_transactions::step_in_progress(const core::transaction_id& id) const {
    const auto found = m_open.find(id);
    return found != m_open.end() && found->second.m_step_in_progress;
}

std::vector<core::transaction_id> open_transactions::expired(core::time_point now) const {
    std::vector<core::transaction_id> ids;
    for (const auto& [id, open] : m_open) {
        if (expiry_of(open) <= now) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<core::transaction_id>
open_transactions::opened_through(const core::entry_host_id& entry_host) const {
    std::vector<core::transaction_id> ids;
    for (const auto& [id, open] : m_open) {
        if (open.m_origin.m_entry_host == entry_host) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::optional<core::time_point> open_transactions::next_expiry() const {
    std::optional<core::time_point> next;
    for (const auto& [id, open] : m_open) {
        if (!open.m_step_in_progress) {
            next = next ? std::min(*next, expiry_of(open)) : expiry_of(open);
        }
    }
    return next;
}

} // namespace mangoquay::transactions
