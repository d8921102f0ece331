// Retry policy: whether a failed attempt is retried, after which delay, and whether the retry is charged to
// the service's budget. Deterministic.
//
// Decides: retry or final answer, the delay, whether another endpoint is chosen. Owns: the retry budget of
// each service. Invariants: only a not_run answer is ever retried; a request that is not repeatable is never
// sent twice; no retry starts after the deadline.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/statement.h"
#include "core/verdict.h"

#include <cstdint>
#include <map>

namespace mangoquay::retries {

inline constexpr core::milliseconds initial_delay{5};
// Maximum delay of the exponential backoff. Retries while no primary is known send nothing and so put no load
// on endpoints; a short limit keeps the write outage of a failover close to the duration of the promotion.
inline constexpr core::milliseconds max_delay{100};

struct finished_attempt {
    core::verdict m_verdict = core::verdict::not_run;
    core::reason m_reason = core::reason::none;
    bool m_read = false;
    bool m_not_repeatable = false;
    bool m_sent = false; // It was handed to an owner's connection, in this attempt or an earlier one.
    std::uint32_t m_attempts = 1; // Number of finished attempts, including this one.
    core::deadline m_deadline;
};

struct retry_decision {
    bool m_retry = false;
    core::milliseconds m_delay{0};
    bool m_exclude_endpoint = false; // The endpoint of this attempt is excluded from the next one.
    bool m_charge_budget = false;    // The retry uses one unit of the service's budget.
};

// Safety rules, all enabled in production. Tests disable one to verify that the corresponding property fails.
struct retry_rules {
    bool m_only_not_run = true;
    bool m_respect_not_repeatable = true;
    bool m_respect_deadline = true;
};

// Decides on the retry of a finished attempt. `random` sets the jitter: the delay is between half and all of
// its exponential value.
retry_decision decide_retry(const finished_attempt& attempt, core::time_point now, std::uint64_t random,
                            const retry_rules& rules = {});

// Returns the answer to a request that was at an owner when the connection to the owner was lost. An owner
// rolls back the transactions of a lost connection, so only a commit is uncertain.
core::statement_answer answer_for_lost_owner(core::statement_kind kind, bool not_repeatable);
// Returns the answer to a request that was sent and has not been answered by its deadline.
core::statement_answer answer_at_deadline(core::statement_kind kind, bool not_repeatable);

// Limits the retries of each service to a percentage of its first attempts. Each first attempt adds to the
// balance and each retry spends from it, so that retries cannot multiply the load of a service whose requests
// all fail.
class retry_budget {
public:
    // Adds `percent` hundredths of a retry to the service's balance, up to the maximum.
    void record_first_attempt(const core::service_name& service, std::uint32_t percent);
    // Spends one retry. Returns false if the budget is used up; the last answer is then final.
    bool try_spend(const core::service_name& service);

private:
    std::map<core::service_name, std::int64_t> m_balances; // In hundredths of a retry.
};

} // namespace mangoquay::retries
