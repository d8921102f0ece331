// Registry of open and failed transactions.
#include "transactions/transaction_registry.h"

#include <algorithm>

namespace mangoquay::transactions {
namespace {

constexpr char separator = '~';

core::time_point expiry_of(const open_transaction& transaction) {
    // The idle time does not apply while a step is at the owner, because the step has its own deadline.
    return transaction.m_step_in_progress
               ? transaction.m_expires.m_at
               : std::min(transaction.m_expires.m_at, transaction.m_idle_expires.m_at);
}

step_admission refuse(core::reason reason, std::string message) {
    return {nullptr, reason, std::move(message)};
}

} // namespace

transaction_registry::transaction_registry(core::entry_host_id self, core::incarnation incarnation)
    : m_self(std::move(self)), m_incarnation(incarnation) {}

core::transaction_id transaction_registry::next_id() {
    return core::transaction_id(m_self.value() + separator + std::to_string(m_incarnation.value()) +
                                separator + std::to_string(m_next_number++));
}

void transaction_registry::add(const core::transaction_id& id, open_transaction transaction,
                               core::time_point now) {
    transaction.m_expires = core::deadline_after(now, max_transaction_duration);
    transaction.m_idle_expires = core::deadline_after(now, max_idle_time);
    m_open[id] = std::move(transaction);
}

step_admission transaction_registry::begin_step(const core::transaction_id& id, const core::caller_id& caller,
                                                const core::service_name& service, core::time_point now) {
    const std::optional<core::entry_host_id> host = entry_host_of(id);
    if (!host.has_value()) {
        return refuse(core::reason::unknown_transaction, "malformed transaction id");
    }
    if (*host != m_self) {
        return refuse(core::reason::transaction_on_other_proxy,
                      "the transaction was begun through entry host " + host->value());
    }
    const auto found = m_open.find(id);
    if (found == m_open.end()) {
        return m_failed.contains(id)
                   ? refuse(core::reason::transaction_failed, "the transaction failed and was rolled back")
                   : refuse(core::reason::unknown_transaction, "no such open transaction");
    }
    open_transaction& transaction = found->second;
    if (transaction.m_caller != caller || transaction.m_service != service) {
        return refuse(core::reason::unknown_transaction, "no such open transaction");
    }
    if (transaction.m_step_in_progress) {
        return refuse(core::reason::malformed_request, "another step of the transaction is in progress");
    }
    if (now >= expiry_of(transaction)) {
        return refuse(core::reason::transaction_failed, "the transaction exceeded its time limit");
    }
    transaction.m_step_in_progress = true;
    return {&transaction, core::reason::none, {}};
}

void transaction_registry::on_step_succeeded(const core::transaction_id& id, core::time_point now) {
    const auto found = m_open.find(id);
    if (found != m_open.end()) {
        found->second.m_step_in_progress = false;
        found->second.m_idle_expires = core::deadline_after(now, max_idle_time);
    }
}

void transaction_registry::remove(const core::transaction_id& id) {
    m_open.erase(id);
}

void transaction_registry::mark_failed(const core::transaction_id& id) {
    if (m_open.erase(id) == 0 || !m_failed.insert(id).second) {
        return;
    }
    m_failure_order.push_back(id);
    if (m_failure_order.size() > max_remembered_failures) {
        m_failed.erase(m_failure_order.front());
        m_failure_order.pop_front();
    }
}

void transaction_registry::on_owner_connection_lost(const core::entry_host_id& owner) {
    std::vector<core::transaction_id> lost;
    for (const auto& [id, transaction] : m_open) {
        if (transaction.m_owner == owner) {
            lost.push_back(id);
        }
    }
    for (const core::transaction_id& id : lost) {
        mark_failed(id);
    }
}

std::vector<transaction_registry::expired_transaction> transaction_registry::expire(core::time_point now) {
    std::vector<expired_transaction> expired;
    for (const auto& [id, transaction] : m_open) {
        if (now >= expiry_of(transaction)) {
            expired.push_back({id, transaction});
        }
    }
    for (const expired_transaction& each : expired) {
        mark_failed(each.m_id);
    }
    return expired;
}

std::optional<core::time_point> transaction_registry::next_expiry() const {
    std::optional<core::time_point> next;
    for (const auto& [id, transaction] : m_open) {
        const core::time_point expiry = expiry_of(transaction);
        next = next.has_value() ? std::min(*next, expiry) : expiry;
    }
    return next;
}

const open_transaction* transaction_registry::find(const core::transaction_id& id) const {
    const auto found = m_open.find(id);
    return found == m_open.end() ? nullptr : &found->second;
}

std::optional<core::entry_host_id> entry_host_of(const core::transaction_id& id) {
    const auto end = id.value().find(separator);
    if (end == std::string::npos || end == 0) {
        return std::nullopt;
    }
    return core::entry_host_id(id.value().substr(0, end));
}

} // namespace mangoquay::transactions
