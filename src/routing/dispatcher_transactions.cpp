// Transactions of the statement dispatcher. The steps of a transaction go to the endpoint of its begin and
// are never retried.
#include "routing/dispatcher_engine.h"

#include "core/log.h"

namespace mangoquay::routing {
namespace {

using core::reason;
using core::statement_kind;

// Interval of the check for transactions that exceeded their idle time or total duration.
constexpr core::milliseconds expiry_interval{1000};
constexpr core::milliseconds rollback_deadline{5000};

} // namespace

transactions::open_transaction transaction_of(const dispatched_request& request) {
    transactions::open_transaction transaction;
    transaction.m_caller = request.m_statement.m_request.m_caller;
    transaction.m_service = request.m_statement.m_request.m_service;
    transaction.m_group = request.m_statement.m_request.m_group;
    transaction.m_endpoint = request.m_decision.m_endpoint;
    transaction.m_owner = request.m_decision.m_owner;
    transaction.m_epoch = request.m_decision.m_epoch;
    return transaction;
}

void statement_dispatcher::implementation::begin_step(std::uint64_t number, dispatched_request& request) {
    core::statement_request& statement = request.m_statement.m_request;
    const core::transaction_id id = statement.m_transaction;
    const transactions::step_admission admission =
        m_transactions.begin_step(id, statement.m_caller, statement.m_service, m_environment.m_now());
    if (admission.m_transaction == nullptr) {
        finish(number, core::refused_answer(admission.m_refusal, admission.m_message));
        return;
    }
    const transactions::open_transaction& transaction = *admission.m_transaction;
    statement.m_group = transaction.m_group;
    request.m_attempts = 1;
    request.m_decision.m_endpoint = transaction.m_endpoint;
    request.m_decision.m_owner = transaction.m_owner;
    request.m_decision.m_epoch = transaction.m_epoch;
    const auto endpoint = m_state.m_endpoints.find(transaction.m_endpoint);
    if (endpoint == m_state.m_endpoints.end() || endpoint->second.m_owner != transaction.m_owner ||
        endpoint->second.m_owner_epoch != transaction.m_epoch) {
        // A new owner ends the database sessions of earlier owners, which rolls back the transaction.
        conclude_attempt(number, core::refused_answer(reason::transaction_failed,
                                                      "the owner of the endpoint has changed"));
        return;
    }
    send(number, request);
}

// Any answer other than ran ends the transaction. A later commit must not be sent: PostgreSQL reports success
// for a commit after a failed step, although it rolls back.
void statement_dispatcher::implementation::conclude_step(const dispatched_request& request,
                                                         const core::statement_answer& answer) {
    const core::transaction_id& id = request.m_statement.m_request.m_transaction;
    if (answer.m_verdict != core::verdict::ran) {
        const transactions::open_transaction* found = m_transactions.find(id);
        if (found != nullptr && answer.m_verdict == core::verdict::not_run) {
            send_rollback(id, *found);
        }
        m_transactions.mark_failed(id);
    } else if (request.kind() == statement_kind::in_transaction) {
        m_transactions.on_step_succeeded(id, m_environment.m_now());
    } else {
        m_transactions.remove(id);
    }
}

void statement_dispatcher::implementation::open_transaction(const dispatched_request& request) {
    const core::time_point now = m_environment.m_now();
    const bool first = m_transactions.size() == 0;
    m_transactions.add(request.m_statement.m_request.m_transaction, transaction_of(request), now);
    if (first) {
        m_due.insert({now + expiry_interval, 0});
        schedule_timer();
    }
}

void statement_dispatcher::implementation::send_rollback(const core::transaction_id& id,
                                                         const transactions::open_transaction& transaction) {
    core::statement_request rollback;
    rollback.m_service = transaction.m_service;
    rollback.m_group = transaction.m_group;
    rollback.m_caller = transaction.m_caller;
    rollback.m_kind = statement_kind::rollback;
    rollback.m_transaction = id;
    rollback.m_deadline = core::deadline_after(m_environment.m_now(), rollback_deadline);
    m_owners.execute(transaction.m_owner, transaction.m_endpoint, transaction.m_epoch, rollback,
                     core::milliseconds{0}, [](const owner_answer&) {});
}

// Drops an answer whose request has already been answered. If it is the answer to a begin that ran, the
// transaction is rolled back, because its caller does not know of it.
void statement_dispatcher::implementation::on_late_answer(const transactions::open_transaction& transaction,
                                                          const core::transaction_id& begun_id,
                                                          const owner_answer& answer) {
    ++m_dropped_answers;
    m_metrics.record_dropped_answer();
    core::log_line(core::log_level::warning, "routing",
                   "dropped a late answer endpoint=" + answer.m_answer.m_endpoint.value());
    if (!begun_id.value().empty() && answer.m_answer.m_verdict == core::verdict::ran) {
        send_rollback(begun_id, transaction);
    }
}

void statement_dispatcher::implementation::expire_transactions() {
    const core::time_point now = m_environment.m_now();
    for (const auto& expired : m_transactions.expire(now)) {
        core::log_line(core::log_level::warning, "transactions",
                       "rolled back an expired transaction id=" + expired.m_id.value());
        send_rollback(expired.m_id, expired.m_transaction);
    }
    if (m_transactions.size() > 0) {
        m_due.insert({now + expiry_interval, 0});
    }
}

} // namespace mangoquay::routing
