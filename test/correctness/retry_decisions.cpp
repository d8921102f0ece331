// Guards against retries that repeat the effects of a statement, start after its deadline, or multiply the
// load of a service whose requests all fail.
#include "retries/retry_policy.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace mangoquay;
using core::reason;
using core::verdict;

class retry_decisions : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(retry_decisions);
    CPPUNIT_TEST(only_repeatable_attempts_without_effect_are_retried);
    CPPUNIT_TEST(delays_grow_with_jitter_up_to_a_limit);
    CPPUNIT_TEST(the_budget_bounds_retries);
    CPPUNIT_TEST_SUITE_END();

    const core::time_point m_now{std::chrono::hours(1)};

public:
    void only_repeatable_attempts_without_effect_are_retried() {
        CPPUNIT_ASSERT(
            rc::check("a retry implies not_run, a retryable reason, time left and repeatability", [this] {
                retries::finished_attempt attempt;
                attempt.m_verdict = static_cast<verdict>(*rc::gen::inRange(0, 3));
                attempt.m_reason =
                    static_cast<reason>(*rc::gen::inRange(0, static_cast<int>(reason::internal_fault) + 1));
                attempt.m_read = *rc::gen::arbitrary<bool>();
                attempt.m_not_repeatable = *rc::gen::arbitrary<bool>();
                attempt.m_sent = *rc::gen::arbitrary<bool>();
                attempt.m_attempts = *rc::gen::inRange(1U, 40U);
                attempt.m_deadline.m_at = m_now + core::milliseconds(*rc::gen::inRange(-50, 200));
                const auto decision =
                    retries::decide_retry(attempt, m_now, *rc::gen::arbitrary<std::uint64_t>());
                if (!decision.m_retry) {
                    return;
                }
                RC_ASSERT(attempt.m_verdict == verdict::not_run);
                RC_ASSERT(!(attempt.m_not_repeatable && attempt.m_sent));
                RC_ASSERT(m_now + decision.m_delay < attempt.m_deadline.m_at);
                for (const reason final_reason :
                     {reason::none, reason::database_error, reason::malformed_request, reason::day_closed,
                      reason::transaction_failed, reason::deadline_exceeded, reason::quorum_not_reached}) {
                    RC_ASSERT(attempt.m_reason != final_reason);
                }
                RC_ASSERT(attempt.m_read || attempt.m_reason != reason::overloaded);
            }));
    }

    void delays_grow_with_jitter_up_to_a_limit() {
        retries::finished_attempt attempt;
        attempt.m_reason = reason::no_primary;
        attempt.m_deadline = core::deadline_after(m_now, std::chrono::hours(1));
        std::int64_t full = retries::initial_delay.count();
        for (attempt.m_attempts = 1; attempt.m_attempts < 64; ++attempt.m_attempts) {
            for (std::uint64_t random = 0; random < 50; ++random) {
                const auto delay = retries::decide_retry(attempt, m_now, random).m_delay.count();
                CPPUNIT_ASSERT(delay >= full / 2 && delay <= full);
            }
            full = std::min<std::int64_t>(full * 2, retries::max_delay.count());
        }
    }

    void the_budget_bounds_retries() {
        retries::retry_budget budget;
        const core::service_name service("s");
        int retried = 0;
        for (int request = 0; request < 10000; ++request) {
            budget.record_first_attempt(service, 10);
            retried += budget.try_spend(service) ? 1 : 0;
        }
        // 10 % of the first attempts, plus the initial balance.
        CPPUNIT_ASSERT(retried >= 1000 && retried <= 1025);
        CPPUNIT_ASSERT(!budget.try_spend(core::service_name("unknown")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_decisions);
