// Which customer a session works for, and what happens to open sessions when the configuration changes that.
#include "relay/relay_core.h"

#include "quotas/customer_limits.h"

#include <utility>
#include <vector>

namespace mangoquay::relay {
namespace {

constexpr const char* key_not_valid = "the key is not valid";
constexpr const char* key_moved = "the key belongs to another customer now";
constexpr const char* customer_changed = "the customer of the session changed";

const char* text_of_end(const session& caller) {
    return caller.m_ended_by == refusal::unauthorized ? key_not_valid : key_moved;
}

} // namespace

std::optional<relay_core::caller_identity>
relay_core::identify(bool route_is_public, const std::optional<documents::key_digest>& key) const {
    if (!m_configuration.m_customers) {
        return caller_identity{};
    }
    const documents::customer_rule* customer = key ? m_configuration.m_customers->find(*key) : nullptr;
    if (customer != nullptr) {
        return caller_identity{customer->m_name};
    }
    return route_is_public ? std::optional(caller_identity{}) : std::nullopt;
}

session_admission relay_core::on_session_opened(session_id id, const std::string& database,
                                                const std::optional<documents::key_digest>& key) {
    const documents::route_rule* route = m_configuration.find_route(database);
    if (route == nullptr) {
        return session_admission::unknown_database;
    }
    auto identity = identify(route->m_public, key);
    if (!identity) {
        ++m_counters.m_unknown_keys;
        return session_admission::unknown_key;
    }
    session opened;
    opened.m_database = database;
    opened.m_key = key;
    opened.m_route_is_public = route->m_public;
    opened.m_customer = std::move(identity->m_customer);
    if (opened.m_customer) {
        m_quotas.on_session_opened(*opened.m_customer);
    }
    m_sessions[id] = std::move(opened);
    return session_admission::accepted;
}

void relay_core::check_identities(core::time_point now) {
    m_quotas.set_limits(quotas::limits_of(m_configuration), now);
    // All sessions are marked before any connection becomes free, which dispatches other sessions.
    std::vector<session_id> changed;
    for (auto& [id, caller] : m_sessions) {
        if (!caller.m_ended_by && update_identity(caller, now)) {
            changed.push_back(id);
        }
    }
    for (const session_id id : changed) {
        const auto found = m_sessions.find(id);
        if (found == m_sessions.end()) {
            continue;
        }
        if (found->second.m_ended_by) {
            end_work_without_key(id, found->second, now);
        } else {
            end_work_of_former_customer(id, found->second, now);
        }
    }
}

bool relay_core::update_identity(session& caller, core::time_point now) {
    const documents::route_rule* route = route_of(caller);
    if (route != nullptr) {
        caller.m_route_is_public = route->m_public;
    }
    // Checked on a removed route as well: what was prepared for a session there would still be sent.
    auto identity = identify(caller.m_route_is_public, caller.m_key);
    if (!identity) {
        caller.m_ended_by = refusal::unauthorized;
        return true;
    }
    if (identity->m_customer == caller.m_customer) {
        return false;
    }
    if (identity->m_customer && caller.m_customer) {
        caller.m_ended_by = refusal::aborted;
        return true;
    }
    refund_operation(caller, now);
    caller.m_transaction.m_admitted = false;
    if (caller.m_operation) {
        caller.m_operation->m_admitted = false;
    }
    if (caller.m_customer) {
        m_quotas.on_session_closed(*caller.m_customer);
    }
    caller.m_customer = std::move(identity->m_customer);
    if (caller.m_customer) {
        m_quotas.on_session_opened(*caller.m_customer);
    }
    return true;
}

// What was sent to a database may end, and its answer is delivered.
void relay_core::end_work_without_key(session_id id, session& caller, core::time_point now) {
    record_event("key withdrawn", caller, "", text_of_end(caller), now);
    if (caller.m_operation) {
        if (caller.m_operation->m_phase != operation_phase::running) {
            refuse_and_close(id, caller, now);
        }
        return;
    }
    if (caller.m_state == transaction_state::open) {
        lose_transaction(caller, text_of_end(caller), now);
        return;
    }
    if (caller.m_state == transaction_state::idle) {
        m_active_sessions.erase(id);
        remove_session(id);
        m_ports.close_session(id);
    }
}

// Work that has begun under the name of one customer does not go on under the name of another.
void relay_core::end_work_of_former_customer(session_id id, session& caller, core::time_point now) {
    record_event("customer changed", caller, "", customer_changed, now);
    const bool in_transaction = caller.m_state == transaction_state::open;
    if (!caller.m_operation) {
        if (in_transaction && caller.m_transaction.m_begun) {
            lose_transaction(caller, customer_changed, now);
        }
        return;
    }
    operation& op = *caller.m_operation;
    if (op.m_phase == operation_phase::running) {
        return; // The next statement of its transaction is refused by dispatch().
    }
    cancel_loan(caller);
    if (in_transaction && caller.m_transaction.m_begun) {
        lose_transaction(caller, customer_changed, now);
        if (is_commit(caller)) {
            clear_transaction(caller);
        }
        refuse_statement(id, caller, refusal::aborted, customer_changed, now);
        start_queued_statements(id, now);
        return;
    }
    detach_connection(caller, now);
    op.m_phase = operation_phase::waiting; // Dispatched again, on a connection of its customer.
}

bool relay_core::admit_operation(session_id id, session& caller, core::time_point now) {
    if (!caller.m_customer) {
        return true;
    }
    operation& op = *caller.m_operation;
    const bool in_transaction = caller.m_state == transaction_state::open;
    bool& counted = in_transaction ? caller.m_transaction.m_counted : op.m_counted;
    bool& admitted = in_transaction ? caller.m_transaction.m_admitted : op.m_admitted;
    if (!std::exchange(counted, true)) {
        m_quotas.on_operation_arrived(*caller.m_customer, now);
    }
    if (admitted) {
        return true;
    }
    const quotas::admission decision = m_quotas.admit(*caller.m_customer, op.m_arrived, now);
    if (decision == quotas::admission::admitted) {
        admitted = true;
        caller.m_token_unused = true;
        return true;
    }
    if (decision == quotas::admission::waiting) {
        op.m_last_refusal = refusal::busy;
        op.m_last_reason = "waits for a share of the limit of customer " + caller.m_customer->value();
        m_ports.on_tokens_needed();
        return false;
    }
    if (is_commit(caller)) {
        clear_transaction(caller);
    }
    refuse_statement(id, caller, in_transaction ? refusal::aborted : refusal::busy,
                     "customer " + caller.m_customer->value() + " is over its limit", now);
    return false;
}

void relay_core::refund_operation(session& caller, core::time_point now) {
    if (std::exchange(caller.m_token_unused, false) && caller.m_customer) {
        m_quotas.refund(*caller.m_customer, now);
    }
}

bool relay_core::on_quota_granted(const quotas::quota_grant& grant, core::time_point now) {
    if (!m_quotas.on_grant(grant, now)) {
        return false;
    }
    dispatch_waiting(now);
    return true;
}

// The statement in progress was not sent, or has ended without an effect.
void relay_core::refuse_and_close(session_id id, session& caller, core::time_point now) {
    ++m_counters.m_withdrawn_keys;
    cancel_loan(caller);
    caller.m_queued_statements.clear();
    caller.m_closing = true;
    caller.m_operation->m_phase = operation_phase::preparing; // Not dispatched when its connection is free.
    // A database may have committed a write of the transaction outside of it; `aborted` would deny that.
    const bool may_be_kept = caller.m_transaction.m_may_be_kept;
    const refusal reason =
        may_be_kept && guarantees_not_run(*caller.m_ended_by) ? refusal::in_doubt : *caller.m_ended_by;
    detach_connection(caller, now);
    clear_transaction(caller);
    refuse_statement(id, caller, reason, text_of_end(caller), now);
}

} // namespace mangoquay::relay
