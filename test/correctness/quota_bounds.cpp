// Guards against customers that exceed their limit over all hosts, and against refusals below the limit.
#include "support/quota_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using test::quota_fault;
using test::quota_outcome;
using test::quota_scenario;

namespace {

constexpr std::uint32_t seeds = 60;

// The largest excess over the bound among all seeds.
double worst_excess(quota_scenario scenario) {
    double worst = -1e9;
    for (scenario.m_seed = 1; scenario.m_seed <= seeds; ++scenario.m_seed) {
        worst = std::max(worst, test::simulate_quotas(scenario).m_worst_excess);
    }
    return worst;
}

quota_scenario pressed() {
    quota_scenario scenario;
    scenario.m_limit = {200.0, 100.0};
    scenario.m_demand_per_s = 500.0;
    scenario.m_duration_s = 80.0;
    return scenario;
}

class quota_bounds : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(quota_bounds);
    CPPUNIT_TEST(no_window_exceeds_the_bound_under_disturbances);
    CPPUNIT_TEST(no_window_exceeds_the_bound_of_a_small_customer);
    CPPUNIT_TEST(a_lower_limit_binds_after_one_window);
    CPPUNIT_TEST(a_share_used_after_its_end_is_found);
    CPPUNIT_TEST(a_share_granted_twice_is_found);
    CPPUNIT_TEST(a_lost_list_of_holders_is_found);
    CPPUNIT_TEST(a_lower_limit_that_hosts_ignore_is_found);
    CPPUNIT_TEST(nothing_is_refused_below_the_limit_in_calm_operation);
    CPPUNIT_TEST(a_small_customer_on_many_hosts_is_not_refused);
    CPPUNIT_TEST_SUITE_END();

    static void no_window_exceeds_the_bound_under_disturbances() {
        CPPUNIT_ASSERT(worst_excess(pressed()) <= 0.0);
    }
    static void no_window_exceeds_the_bound_of_a_small_customer() {
        quota_scenario scenario = pressed();
        scenario.m_limit = {2.2, 2.2};
        scenario.m_demand_per_s = 30.0;
        CPPUNIT_ASSERT(worst_excess(scenario) <= 0.0);
    }
    static void a_lower_limit_binds_after_one_window() {
        quota_scenario scenario = pressed();
        scenario.m_limit_falls = true;
        CPPUNIT_ASSERT(worst_excess(scenario) <= 0.0);
    }
    static void finds(quota_fault fault) {
        quota_scenario scenario = pressed();
        scenario.m_fault = fault;
        scenario.m_limit_falls = fault == quota_fault::lower_limit_not_applied;
        CPPUNIT_ASSERT(worst_excess(scenario) > 0.0);
    }
    static void a_share_used_after_its_end_is_found() { finds(quota_fault::share_used_after_end); }
    static void a_share_granted_twice_is_found() { finds(quota_fault::share_granted_twice); }
    static void a_lost_list_of_holders_is_found() { finds(quota_fault::holders_lost_with_leader); }
    static void a_lower_limit_that_hosts_ignore_is_found() { finds(quota_fault::lower_limit_not_applied); }

    // 0.625 of the rate, as with a limit of 1.6 times the demand.
    static void nothing_is_refused_below_the_limit_in_calm_operation() {
        quota_scenario scenario;
        scenario.m_disturbed = false;
        scenario.m_limit = {40.0, 40.0};
        scenario.m_demand_per_s = 25.0;
        for (scenario.m_seed = 1; scenario.m_seed <= seeds; ++scenario.m_seed) {
            const quota_outcome outcome = test::simulate_quotas(scenario);
            CPPUNIT_ASSERT_EQUAL(outcome.m_arrived, outcome.m_admitted);
        }
    }
    static void a_small_customer_on_many_hosts_is_not_refused() {
        quota_scenario scenario;
        scenario.m_disturbed = false;
        scenario.m_hosts = 18;
        scenario.m_limit = {2.2, 2.2};
        scenario.m_demand_per_s = 1.4;
        for (scenario.m_seed = 1; scenario.m_seed <= seeds; ++scenario.m_seed) {
            const quota_outcome outcome = test::simulate_quotas(scenario);
            CPPUNIT_ASSERT_EQUAL(outcome.m_arrived, outcome.m_admitted);
        }
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(quota_bounds);
