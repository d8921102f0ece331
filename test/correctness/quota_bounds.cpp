// Guards against customers that exceed their limit over all hosts, and against refusals below the limit.
#include "support/quota_simulation.h"

#include <algorithm>
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <numbers>

using namespace mangoquay;
using test::operation_record;
using test::quota_fault;
using test::quota_outcome;
using test::quota_scenario;

namespace {

constexpr std::uint32_t seeds = 60;

// The largest excess over the bound among all seeds; ends at the first excess.
double worst_excess(quota_scenario scenario) {
    double worst = -1e9;
    for (scenario.m_seed = 1; scenario.m_seed <= seeds && worst <= 0.0; ++scenario.m_seed) {
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

// The tolerance of the bound would hide faults that admit little, so there is none here, and the clocks run
// at equal speed. Long cuts leave the leader without news of the shares that hosts use.
quota_scenario exact() {
    quota_scenario scenario;
    scenario.m_hosts = 3;
    scenario.m_limit = {100.0, 20.0};
    scenario.m_tolerance.m_overage = 0.0;
    scenario.m_tolerance.m_slack = 0.0;
    scenario.m_demand_per_s = 240.0;
    scenario.m_duration_s = 80.0;
    scenario.m_clock_spread = 0.0;
    scenario.m_disturbances = {.m_cuts = 0.1,
                               .m_suspensions = 0.05,
                               .m_restarts = 0.005,
                               .m_leader_losses = 0.05,
                               .m_full_restarts = 0.005,
                               .m_longest_s = 30.0};
    return scenario;
}

// Hosts apply a lower limit while there is no leader that would replace their shares.
quota_scenario lowered_without_leader() {
    quota_scenario scenario = exact();
    scenario.m_disturbances.reset();
    scenario.m_duration_s = 50.0;
    scenario.m_limit_falls = true;
    scenario.m_longest_document_delay_s = 0.5;
    scenario.m_leader_absent = {29.9, 45.0};
    return scenario;
}

// One customer with 1.6 times its average demand as the limit, and a burst of one second.
quota_scenario calm(double rate_per_s, int hosts) {
    quota_scenario scenario;
    scenario.m_disturbances.reset();
    scenario.m_limit = {rate_per_s, rate_per_s};
    scenario.m_demand_per_s = 0.625 * rate_per_s;
    scenario.m_hosts = hosts;
    return scenario;
}

// Operations that were refused although one token bucket for all hosts would have admitted them.
std::size_t refused_below_limit(const quota_scenario& scenario) {
    std::vector<operation_record> operations = test::simulate_quotas(scenario).m_operations;
    std::ranges::sort(operations, {}, &operation_record::m_arrived_at);
    std::size_t refused = 0;
    double tokens = scenario.m_limit.m_burst;
    double refilled_at = 0.0;
    for (const operation_record& operation : operations) {
        tokens = std::min(scenario.m_limit.m_burst,
                          tokens + scenario.m_limit.m_rate_per_s * (operation.m_arrived_at - refilled_at));
        refilled_at = operation.m_arrived_at;
        if (tokens >= 1.0) {
            tokens -= 1.0;
            refused += operation.m_admitted ? 0 : 1;
        }
    }
    return refused;
}

struct decision_count {
    std::size_t m_admitted = 0;
    std::size_t m_refused = 0;

    decision_count& operator+=(const decision_count& other) {
        m_admitted += other.m_admitted;
        m_refused += other.m_refused;
        return *this;
    }
    [[nodiscard]] double admitted_fraction() const {
        return static_cast<double>(m_admitted) / static_cast<double>(m_admitted + m_refused);
    }
};

// Decisions between two times, of every third host (the zone that is cut off) or of all.
decision_count decided(const quota_outcome& outcome, test::time_span span, int host_step = 1) {
    decision_count count;
    for (const operation_record& operation : outcome.m_operations) {
        if (span.contains(operation.m_decided_at) && operation.m_host % host_step == 0) {
            ++(operation.m_admitted ? count.m_admitted : count.m_refused);
        }
    }
    return count;
}

class quota_bounds : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(quota_bounds);
    CPPUNIT_TEST(no_window_exceeds_the_bound_under_disturbances);
    CPPUNIT_TEST(no_window_exceeds_the_bound_of_a_small_customer);
    CPPUNIT_TEST(no_window_exceeds_the_bound_with_the_slowest_hosts);
    CPPUNIT_TEST(no_window_exceeds_a_bound_without_tolerance);
    CPPUNIT_TEST(a_lower_limit_binds);
    CPPUNIT_TEST(a_lower_limit_binds_without_a_leader);
    CPPUNIT_TEST(a_share_used_after_its_end_is_found);
    CPPUNIT_TEST(a_share_granted_twice_is_found);
    CPPUNIT_TEST(a_lost_list_of_holders_is_found);
    CPPUNIT_TEST(a_lower_limit_that_hosts_ignore_is_found);
    CPPUNIT_TEST(nothing_is_refused_below_the_limit_in_calm_operation);
    CPPUNIT_TEST(a_small_customer_on_many_hosts_is_not_refused);
    CPPUNIT_TEST(a_demand_that_moves_between_hosts_is_not_refused);
    CPPUNIT_TEST(a_customer_far_over_its_limit_gets_its_limit);
    CPPUNIT_TEST(a_zone_that_is_cut_off_is_served);
    CPPUNIT_TEST(operations_are_admitted_soon_after_a_full_restart);
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
    // The first host is cut off with most of the customer's share, fills its bucket and uses the share to its
    // end; meanwhile the leader assigns the share to others.
    static void no_window_exceeds_the_bound_with_the_slowest_hosts() {
        quota_scenario scenario = exact();
        scenario.m_disturbances.reset();
        scenario.m_limit = {120.0, 12.0};
        scenario.m_tolerance = {};
        scenario.m_clock_spread = 0.1;
        scenario.m_first_clock_slowest = true;
        scenario.m_zone_cut = {20.0, 40.0};
        scenario.m_duration_s = 45.0;
        scenario.m_demand_factor = [](int host, double time) {
            const bool active = host == 0 ? time < 20.0 || time >= 28.5 : time >= 27.0;
            return active ? 1.0 : 0.0;
        };
        CPPUNIT_ASSERT(worst_excess(scenario) <= 0.0);
    }
    static void no_window_exceeds_a_bound_without_tolerance() {
        CPPUNIT_ASSERT(worst_excess(exact()) <= 0.0);
    }
    static void a_lower_limit_binds() {
        quota_scenario scenario = pressed();
        scenario.m_limit_falls = true;
        CPPUNIT_ASSERT(worst_excess(scenario) <= 0.0);
    }
    static void a_lower_limit_binds_without_a_leader() {
        CPPUNIT_ASSERT(worst_excess(lowered_without_leader()) <= 0.0);
    }
    static void finds(quota_scenario scenario, quota_fault fault) {
        scenario.m_fault = fault;
        CPPUNIT_ASSERT(worst_excess(scenario) > 0.0);
    }
    static void a_share_used_after_its_end_is_found() { finds(exact(), quota_fault::share_used_after_end); }
    static void a_share_granted_twice_is_found() { finds(exact(), quota_fault::share_granted_twice); }
    static void a_lost_list_of_holders_is_found() { finds(exact(), quota_fault::holders_lost_with_leader); }
    static void a_lower_limit_that_hosts_ignore_is_found() {
        finds(lowered_without_leader(), quota_fault::lower_limit_not_applied);
    }

    static void refuses_nothing(quota_scenario scenario) {
        for (scenario.m_seed = 1; scenario.m_seed <= seeds; ++scenario.m_seed) {
            const quota_outcome outcome = test::simulate_quotas(scenario);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decided(outcome, {0.0, scenario.m_duration_s}).m_refused);
        }
    }
    // An operation that the reference bucket refuses may be refused.
    static void admits_what_one_bucket_admits(quota_scenario scenario) {
        for (scenario.m_seed = 1; scenario.m_seed <= seeds; ++scenario.m_seed) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, refused_below_limit(scenario));
        }
    }
    // A leader that had tokens refused operations that began to wait after a request was sent.
    static void nothing_is_refused_below_the_limit_in_calm_operation() {
        refuses_nothing(calm(40.0, 6));
        admits_what_one_bucket_admits(calm(10.0, 18));
    }
    // Capacity without tokens stayed assigned to hosts that had used theirs.
    static void a_small_customer_on_many_hosts_is_not_refused() { refuses_nothing(calm(2.2, 18)); }
    static void a_demand_that_moves_between_hosts_is_not_refused() {
        quota_scenario waves = calm(40.0, 6);
        waves.m_demand_factor = [](int host, double time) {
            return 1.0 + 0.27 * std::sin(2.0 * std::numbers::pi * time / 11.0) * (host < 3 ? 1.0 : -1.0);
        };
        admits_what_one_bucket_admits(waves);
        // All of the demand is at one half of the hosts at a time.
        quota_scenario alternating = calm(40.0, 6);
        alternating.m_demand_per_s = 0.8 * alternating.m_limit.m_rate_per_s;
        alternating.m_demand_factor = [](int host, double time) {
            return (std::fmod(time, 11.0) < 5.5) == (host < 3) ? 2.0 : 0.0;
        };
        decision_count all;
        for (alternating.m_seed = 1; alternating.m_seed <= seeds; ++alternating.m_seed) {
            all += decided(test::simulate_quotas(alternating), {0.0, alternating.m_duration_s});
        }
        CPPUNIT_ASSERT(all.admitted_fraction() >= 0.99);
    }
    static void a_customer_far_over_its_limit_gets_its_limit() {
        quota_scenario scenario = calm(40.0, 6);
        scenario.m_demand_factor = [](int, double time) { return time >= 20.0 && time < 40.0 ? 8.0 : 1.0; };
        for (scenario.m_seed = 1; scenario.m_seed <= seeds; ++scenario.m_seed) {
            const quota_outcome outcome = test::simulate_quotas(scenario);
            const auto admitted = static_cast<double>(decided(outcome, {20.0, 40.0}).m_admitted);
            CPPUNIT_ASSERT(admitted >= 0.9 * 20.0 * scenario.m_limit.m_rate_per_s);
            CPPUNIT_ASSERT(outcome.m_worst_excess <= 0.0);
        }
    }
    static void a_zone_that_is_cut_off_is_served() {
        quota_scenario scenario = calm(40.0, 6);
        scenario.m_zone_cut = {20.0, 26.0};
        scenario.m_duration_s = 30.0;
        decision_count all;
        for (scenario.m_seed = 1; scenario.m_seed <= seeds; ++scenario.m_seed) {
            const quota_outcome outcome = test::simulate_quotas(scenario);
            const decision_count zone = decided(outcome, scenario.m_zone_cut, 3);
            // A host whose callers paused before the cut may have a small share.
            CPPUNIT_ASSERT(zone.admitted_fraction() >= 0.6);
            all += zone;
        }
        CPPUNIT_ASSERT(all.admitted_fraction() >= 0.93);
    }
    static void operations_are_admitted_soon_after_a_full_restart() {
        quota_scenario scenario = calm(40.0, 6);
        scenario.m_full_restart_at = 20.0;
        scenario.m_duration_s = 30.0;
        for (scenario.m_seed = 1; scenario.m_seed <= seeds; ++scenario.m_seed) {
            const quota_outcome outcome = test::simulate_quotas(scenario);
            CPPUNIT_ASSERT(decided(outcome, {20.0, 22.0}).m_admitted > 0);
            CPPUNIT_ASSERT(decided(outcome, {22.0, 30.0}).admitted_fraction() >= 0.9);
        }
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(quota_bounds);
