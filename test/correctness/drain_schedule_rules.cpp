// Order of the steps of an entry host's planned stop. Guards against a host that ends and starts again so
// soon that the load balancer never removes it, and against a stop that exceeds its limit.
#include "entry/drain_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;

namespace {

const core::time_point start{std::chrono::hours(1)};

class drain_schedule_rules : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(drain_schedule_rules);
    CPPUNIT_TEST(a_host_stays_away_until_the_balancer_has_removed_it);
    CPPUNIT_TEST(the_steps_are_in_order_within_any_limit);
    CPPUNIT_TEST_SUITE_END();

    // The platform looks 4 s after the request to stop.
    static void a_host_stays_away_until_the_balancer_has_removed_it() {
        const auto schedule = entry::make_drain_schedule(start, core::milliseconds(6000));
        CPPUNIT_ASSERT(!schedule.m_earliest_end.passed(start + core::milliseconds(4000)));
    }
    static void the_steps_are_in_order_within_any_limit() {
        for (const int limit_ms : {100, 1000, 3000, 6000, 30000, 600000}) {
            const core::milliseconds limit(limit_ms);
            const auto schedule = entry::make_drain_schedule(start, limit);
            CPPUNIT_ASSERT(schedule.m_session_drain_start < schedule.m_transaction_abort_start);
            CPPUNIT_ASSERT(schedule.m_session_drain_start < schedule.m_earliest_end);
            CPPUNIT_ASSERT(schedule.m_earliest_end < schedule.m_end);
            CPPUNIT_ASSERT(schedule.m_end.m_at < start + limit);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(drain_schedule_rules);

} // namespace
