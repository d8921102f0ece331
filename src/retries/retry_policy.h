// Whether an attempt that failed is repeated, when, and at whose expense. Deterministic.
//
// Decides: retry or final answer, the delay, whether another endpoint is to be chosen. Owns: the retry budget
// of each service. Invariants: only a not_run answer is ever retried; a request that is not repeatable is
// never sent twice; no retry starts after the deadline.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/statement.h"
#include "core/verdict.h"

#include <cstdint>
#include <map>

namespace mangoquay::retries {

inline constexpr core::milliseconds initial_delay{5};
// While no primary is known nothing is sent, so waiting costs no endpoint anything; a short limit keeps the
// failover gap close to the time of the promotion itself.
inline constexpr core::milliseconds max_delay{100};

struct finished_attempt {
    core::verdict m_verdict = core::verdict::not_run;
    core::reason m_reason = core::reason::none;
    bool m_read = false;
    bool m_not_repeatable = false;
    bool m_sent = false;          // handed to an owner link in this attempt or an earlier one
    std::uint32_t m_attempts = 1; // finished, this one included
    core::deadline m_deadline;
};

struct retry_decision {
    bool m_retry = false;
    core::milliseconds m_delay{0};
    bool m_exclude_endpoint = false; // the endpoint of the attempt is excluded from the next one
    bool m_charge_budget = false;   // costs one unit of the service's budget
};

// Tests switch a rule off to show that the property that guards it fails without it.
struct retry_rules {
    bool m_only_not_run = true;
    bool m_respect_not_repeatable = true;
    bool m_respect_deadline = true;
};

// `random` jitters the delay between half and all of its exponential value.
retry_decision decide_retry(const finished_attempt& attempt, core::time_point now, std::uint64_t random,
                            const retry_rules& rules = {});

// The answer for a request whose owner's link was lost while it was there. A transaction is rolled back by
// its owner when the link is lost, so only its commit is uncertain.
core::statement_answer answer_for_lost_owner(core::statement_kind kind, bool not_repeatable);
// The answer at the deadline of a request that was sent and has no answer yet.
core::statement_answer answer_at_deadline(core::statement_kind kind, bool not_repeatable);

// Retries a service may add to its first tries, in percent. Earned by first tries, so that retries cannot
// multiply the load of a service whose requests all fail.
class retry_budget {
public:
    void record_first_attempt(const core::service_name& service, std::uint32_t percent);
    // False: the budget is used up, and the answer at hand is final.
    bool try_spend(const core::service_name& service);

private:
    std::map<core::service_name, std::int64_t> m_balances;
};

} // namespace mangoquay::retries
