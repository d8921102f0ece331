// Replacement of a primary through an external executor. Guards against lost acknowledged commits, needless
// replacements and services left without a primary, whichever leaders, calls and databases fail. Faults
// injected into the simulation must be detected.
#include "support/promotion_simulation.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace mangoquay::test;

namespace {

constexpr std::uint64_t injected_fault_seeds = 300;

std::string violation_of(const promotion_simulation_options& options) {
    promotion_simulation simulation(options);
    simulation.run();
    return simulation.violation();
}

void check_holds(const promotion_simulation_options& options) {
    CPPUNIT_ASSERT(rc::check("replacements are safe", [&options] {
        promotion_simulation_options seeded = options;
        seeded.m_seed = *rc::gen::arbitrary<std::uint32_t>();
        const std::string violation = violation_of(seeded);
        RC_LOG() << violation;
        RC_ASSERT(violation.empty());
    }));
}

void check_detects(promotion_simulation_options options) {
    bool detected = false;
    for (std::uint64_t seed = 1; seed <= injected_fault_seeds && !detected; ++seed) {
        options.m_seed = seed;
        detected = !violation_of(options).empty();
    }
    CPPUNIT_ASSERT_MESSAGE("the injected fault was not detected", detected);
}

class promotion_safety : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(promotion_safety);
    CPPUNIT_TEST(a_healthy_primary_is_not_replaced);
    CPPUNIT_TEST(a_primary_that_only_the_leader_cannot_reach_is_not_replaced);
    CPPUNIT_TEST(a_crashed_primary_is_replaced);
    CPPUNIT_TEST(replacements_are_safe_with_a_synchronous_replica);
    CPPUNIT_TEST(draining_primaries_are_replaced);
    CPPUNIT_TEST(replacements_are_safe_with_nine_databases);
    CPPUNIT_TEST(formerly_failing_seeds_pass);
    CPPUNIT_TEST(an_order_that_shuts_out_others_may_itself_come_late);
    CPPUNIT_TEST(a_reused_fencing_token_is_detected);
    CPPUNIT_TEST(a_missing_quorum_is_detected);
    CPPUNIT_TEST(ignored_entry_hosts_are_detected);
    CPPUNIT_TEST_SUITE_END();

    static void a_healthy_primary_is_not_replaced() {
        promotion_simulation_options options;
        options.m_crash = false;
        check_holds(options);
    }
    static void a_primary_that_only_the_leader_cannot_reach_is_not_replaced() {
        promotion_simulation_options options;
        options.m_crash = false;
        options.m_only_leader_is_cut_off = true;
        check_holds(options);
    }
    static void a_crashed_primary_is_replaced() {
        promotion_simulation_options options;
        options.m_leader_changes = false;
        options.m_lose_calls = false;
        promotion_simulation simulation(options);
        simulation.run();
        CPPUNIT_ASSERT_EQUAL(std::string(), simulation.violation());
        CPPUNIT_ASSERT(simulation.promotions() > 0);
        check_holds({});
    }
    static void replacements_are_safe_with_a_synchronous_replica() {
        promotion_simulation_options options;
        options.m_synchronous_replicas = 1;
        check_holds(options);
    }
    static void draining_primaries_are_replaced() {
        promotion_simulation_options options;
        options.m_databases = 5;
        options.m_crash = false;
        options.m_drain = true;
        check_holds(options);
    }
    static void replacements_are_safe_with_nine_databases() {
        promotion_simulation_options options;
        options.m_databases = 9;
        options.m_synchronous_replicas = 1;
        check_holds(options);
    }
    // Guards against faults that these seeds found. Seed 13: the positions of an earlier pause were compared.
    // Seed 2639: the compared positions dated from before a promotion that an earlier order caused.
    static void formerly_failing_seeds_pass() {
        for (const std::uint64_t seed : {13, 2639}) {
            CPPUNIT_ASSERT_EQUAL(std::string(), violation_of({.m_seed = seed, .m_synchronous_replicas = 1}));
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), violation_of({.m_seed = 1004})); // A resume request was lost.
    }
    // Guards against an order naming the current primary that is carried out after an older order, itself
    // late, has replaced that primary.
    static void an_order_that_shuts_out_others_may_itself_come_late() {
        CPPUNIT_ASSERT_EQUAL(
            std::string(), violation_of({.m_seed = 18974053, .m_synchronous_replicas = 1, .m_databases = 9}));
    }
    static void a_reused_fencing_token_is_detected() {
        check_detects({.m_injected_faults = {.m_reuse_fencing_tokens = true}});
    }
    static void a_missing_quorum_is_detected() {
        check_detects({.m_synchronous_replicas = 1, .m_injected_faults = {.m_ignore_quorum = true}});
    }
    static void ignored_entry_hosts_are_detected() {
        check_detects({.m_crash = false,
                       .m_only_leader_is_cut_off = true,
                       .m_injected_faults = {.m_ignore_entry_hosts = true}});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(promotion_safety);

} // namespace
