// Replacing a primary through an outside executor: fences, the choice of the successor and the reasons to
// act, whatever becomes of leaders, calls and databases. Each check notices a fault that is planted for it.
#include "support/promotion_world.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace mangoquay::test;

namespace {

constexpr std::uint64_t planted_seeds = 300;

std::string violation_of(const promotion_world_options& options) {
    promotion_world world(options);
    world.run();
    return world.violation();
}

void check_holds(const promotion_world_options& options) {
    CPPUNIT_ASSERT(rc::check("replacements are safe", [&options] {
        promotion_world_options seeded = options;
        seeded.m_seed = *rc::gen::arbitrary<std::uint32_t>();
        const std::string violation = violation_of(seeded);
        RC_LOG() << violation;
        RC_ASSERT(violation.empty());
    }));
}

void check_notices(promotion_world_options options) {
    bool noticed = false;
    for (std::uint64_t seed = 1; seed <= planted_seeds && !noticed; ++seed) {
        options.m_seed = seed;
        noticed = !violation_of(options).empty();
    }
    CPPUNIT_ASSERT_MESSAGE("the planted fault was not noticed", noticed);
}

class promotion_safety : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(promotion_safety);
    CPPUNIT_TEST(a_healthy_primary_is_left_alone);
    CPPUNIT_TEST(a_primary_that_only_the_leader_cannot_reach_is_left_alone);
    CPPUNIT_TEST(a_crashed_primary_is_replaced);
    CPPUNIT_TEST(replacements_hold_with_a_synchronous_replica);
    CPPUNIT_TEST(leaving_primaries_are_replaced);
    CPPUNIT_TEST(replacements_hold_with_nine_databases);
    CPPUNIT_TEST(seeds_that_failed_hold);
    CPPUNIT_TEST(an_order_that_shuts_out_others_may_itself_come_late);
    CPPUNIT_TEST(a_reused_fence_is_noticed);
    CPPUNIT_TEST(a_missing_quorum_is_noticed);
    CPPUNIT_TEST(missing_entry_hosts_are_noticed);
    CPPUNIT_TEST_SUITE_END();

    static void a_healthy_primary_is_left_alone() {
        promotion_world_options options;
        options.m_crash = false;
        check_holds(options);
    }
    static void a_primary_that_only_the_leader_cannot_reach_is_left_alone() {
        promotion_world_options options;
        options.m_crash = false;
        options.m_only_leader_is_cut = true;
        check_holds(options);
    }
    static void a_crashed_primary_is_replaced() {
        promotion_world_options options;
        options.m_leader_changes = false;
        options.m_lose_calls = false;
        promotion_world world(options);
        world.run();
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
        CPPUNIT_ASSERT(world.promotions() > 0);
        check_holds({});
    }
    static void replacements_hold_with_a_synchronous_replica() {
        promotion_world_options options;
        options.m_synchronous_replicas = 1;
        check_holds(options);
    }
    static void leaving_primaries_are_replaced() {
        promotion_world_options options;
        options.m_databases = 5;
        options.m_crash = false;
        options.m_drain = true;
        check_holds(options);
    }
    static void replacements_hold_with_nine_databases() {
        promotion_world_options options;
        options.m_databases = 9;
        options.m_synchronous_replicas = 1;
        check_holds(options);
    }
    // 13: positions of an earlier pause; 2639: positions taken before a promotion that an earlier order
    // caused.
    static void seeds_that_failed_hold() {
        for (const std::uint64_t seed : {13, 2639}) {
            CPPUNIT_ASSERT_EQUAL(std::string(), violation_of({.m_seed = seed, .m_synchronous_replicas = 1}));
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), violation_of({.m_seed = 1004})); // a lost request to resume
    }
    // The order that names the present primary is carried out after that primary was replaced by an older
    // late order.
    static void an_order_that_shuts_out_others_may_itself_come_late() {
        CPPUNIT_ASSERT_EQUAL(
            std::string(), violation_of({.m_seed = 18974053, .m_synchronous_replicas = 1, .m_databases = 9}));
    }
    static void a_reused_fence_is_noticed() { check_notices({.m_planted = {.m_reuse_fences = true}}); }
    static void a_missing_quorum_is_noticed() {
        check_notices({.m_synchronous_replicas = 1, .m_planted = {.m_ignore_quorum = true}});
    }
    static void missing_entry_hosts_are_noticed() {
        check_notices(
            {.m_crash = false, .m_only_leader_is_cut = true, .m_planted = {.m_ignore_entry_hosts = true}});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(promotion_safety);

} // namespace
