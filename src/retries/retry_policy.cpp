// Table of the retryable reasons, and the backoff.
#include "retries/retry_policy.h"

#include <algorithm>
#include <array>

namespace mangoquay::retries {
namespace {

using core::reason;

// Balances are in hundredths of a retry, because a first attempt earns a percentage of one.
constexpr std::int64_t retry_cost = 100;
// Initial and maximum balance: 20 retries. Lets a service with little traffic retry, and limits bursts of
// retries.
constexpr std::int64_t max_balance = 20 * retry_cost;

enum class statement_scope : std::uint8_t { reads, everything };

struct retryable_reason {
    reason m_reason;
    statement_scope m_scope;
    bool m_exclude_endpoint; // Used for reads only, since writes can go only to the primary.
    bool m_charge_budget;    // The attempt used resources of an endpoint or an owner.
};

constexpr std::array retryable_reasons{
    // The endpoint was selected by an outdated hint or view, and it ran nothing.
    retryable_reason{reason::data_too_old, statement_scope::reads, true, false},
    retryable_reason{reason::owner_changed, statement_scope::everything, false, false},
    retryable_reason{reason::endpoint_leaving, statement_scope::everything, true, false},
    // Nothing was sent, or the owner was not allowed to run the statement. A later view shows where to send
    // it.
    retryable_reason{reason::no_primary, statement_scope::everything, false, false},
    retryable_reason{reason::no_eligible_endpoint, statement_scope::everything, false, false},
    retryable_reason{reason::control_not_current, statement_scope::everything, false, false},
    retryable_reason{reason::lease_lapsed, statement_scope::everything, false, false},
    retryable_reason{reason::term_replaced, statement_scope::everything, false, false},
    retryable_reason{reason::shutting_down, statement_scope::everything, true, false},
    // Writes are not retried when the queue is full. The caller gets a retry-after time instead.
    retryable_reason{reason::overloaded, statement_scope::reads, true, true},
    retryable_reason{reason::owner_unreachable, statement_scope::everything, true, true},
    retryable_reason{reason::endpoint_unreachable, statement_scope::everything, true, true},
    retryable_reason{reason::connection_lost, statement_scope::everything, true, true},
};

const retryable_reason* find(reason why, bool read) {
    const auto* const found =
        std::find_if(retryable_reasons.begin(), retryable_reasons.end(), [&](const retryable_reason& each) {
            return each.m_reason == why && (read || each.m_scope == statement_scope::everything);
        });
    return found == retryable_reasons.end() ? nullptr : found;
}

core::milliseconds jittered_delay(std::uint32_t attempts, std::uint64_t random) {
    constexpr std::uint32_t max_doublings = 10;
    const core::milliseconds full =
        std::min(max_delay, initial_delay * (1U << std::min(attempts - 1, max_doublings)));
    const auto half = static_cast<std::uint64_t>(full.count()) / 2;
    return core::milliseconds(static_cast<std::int64_t>(half + random % (half + 1)));
}

bool has_no_effect(core::statement_kind kind, bool not_repeatable) {
    const bool cannot_commit = kind != core::statement_kind::write && kind != core::statement_kind::commit;
    return cannot_commit && !(kind == core::statement_kind::read && not_repeatable);
}

} // namespace

retry_decision decide_retry(const finished_attempt& attempt, core::time_point now, std::uint64_t random,
                            const retry_rules& rules) {
    const retryable_reason* retryable = find(attempt.m_reason, attempt.m_read);
    const bool verdict_is_final = rules.m_only_not_run && attempt.m_verdict != core::verdict::not_run;
    const bool must_not_repeat = rules.m_respect_not_repeatable && attempt.m_not_repeatable && attempt.m_sent;
    if (retryable == nullptr || verdict_is_final || must_not_repeat) {
        return {};
    }
    retry_decision decision;
    decision.m_retry = true;
    decision.m_exclude_endpoint = attempt.m_read && retryable->m_exclude_endpoint;
    decision.m_charge_budget = retryable->m_charge_budget;
    // A retry at another endpoint needs no delay, because that endpoint has not refused the request.
    decision.m_delay =
        decision.m_exclude_endpoint ? core::milliseconds{0} : jittered_delay(attempt.m_attempts, random);
    if (rules.m_respect_deadline && attempt.m_deadline.passed(now + decision.m_delay)) {
        return {};
    }
    return decision;
}

core::statement_answer answer_for_lost_owner(core::statement_kind kind, bool not_repeatable) {
    if (!has_no_effect(kind, not_repeatable)) {
        return core::uncertain_answer(reason::connection_lost,
                                      "the connection to the endpoint's owner was lost");
    }
    const bool in_transaction =
        kind == core::statement_kind::in_transaction || kind == core::statement_kind::rollback;
    return core::refused_answer(in_transaction ? reason::transaction_failed : reason::owner_unreachable,
                                "the connection to the endpoint's owner was lost");
}

core::statement_answer answer_at_deadline(core::statement_kind kind, bool not_repeatable) {
    constexpr const char* text = "no answer from the endpoint's owner within the deadline";
    return has_no_effect(kind, not_repeatable) ? core::refused_answer(reason::deadline_exceeded, text)
                                               : core::uncertain_answer(reason::deadline_exceeded, text);
}

void retry_budget::record_first_attempt(const core::service_name& service, std::uint32_t percent) {
    const auto [balance, added] = m_balances.try_emplace(service, max_balance);
    balance->second = std::min(max_balance, balance->second + static_cast<std::int64_t>(percent));
}

bool retry_budget::try_spend(const core::service_name& service) {
    const auto balance = m_balances.find(service);
    if (balance == m_balances.end() || balance->second < retry_cost) {
        return false;
    }
    balance->second -= retry_cost;
    return true;
}

} // namespace mangoquay::retries
