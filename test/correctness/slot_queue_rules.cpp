// Guards against exceeding an endpoint's slots, long work that blocks short work or starves, one caller that
// crowds out the others, and dispatching refused work. Injected faults verify that the checks detect these
// violations.
#include "support/queue_simulation.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace mangoquay;
using namespace std::chrono_literals;
using admission::queue_rules;
using test::queue_load;
using test::queue_simulation;

namespace {

queue_load random_load(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    queue_load load;
    load.m_seed = seed;
    load.m_policy.m_slots = 1 + random() % 5;
    load.m_policy.m_reserved_short_slots = random() % 3;
    load.m_policy.m_bound_per_slot = 4 + random() % 40;
    load.m_policy.m_shed_wait = core::milliseconds(100 + random() % 2000);
    load.m_deadline = core::milliseconds(20 + random() % 2000);
    load.m_arrivals_per_step = static_cast<int>(1 + random() % 3);
    return load;
}

std::string violation(std::uint64_t seed, const queue_rules& rules) {
    return queue_simulation(random_load(seed), rules).run();
}

bool some_seed_violates(const queue_rules& rules) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        if (!violation(seed, rules).empty()) {
            return true;
        }
    }
    return false;
}

// More short work than the slots can serve, and some long work.
queue_load saturating_load() {
    queue_load load;
    load.m_policy = {3, 1, 40, 2000ms};
    load.m_steps = 2000;
    load.m_arrivals_per_step = 4;
    load.m_long_percent = 1;
    load.m_deadline = 60s;
    load.m_withdraw_percent = 0;
    return load;
}

} // namespace

class slot_queue_rules : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(slot_queue_rules);
    CPPUNIT_TEST(invariants_hold_under_any_load);
    CPPUNIT_TEST(injected_faults_are_detected);
    CPPUNIT_TEST(long_work_is_not_starved);
    CPPUNIT_TEST(burst_of_long_work_leaves_the_slots_that_short_work_needs);
    CPPUNIT_TEST(light_callers_are_served_beside_a_heavy_one);
    CPPUNIT_TEST(long_run_is_learned_while_it_is_in_progress);
    CPPUNIT_TEST(work_that_cannot_meet_its_deadline_is_refused_at_once);
    CPPUNIT_TEST(fingerprint_ignores_literals);
    CPPUNIT_TEST_SUITE_END();

public:
    void invariants_hold_under_any_load() {
        CPPUNIT_ASSERT(rc::check("slot queue invariants", [](std::uint64_t seed) {
            const std::string violated = violation(seed, {});
            if (!violated.empty()) {
                RC_FAIL(violated);
            }
        }));
    }

    void injected_faults_are_detected() {
        queue_rules no_slots;
        no_slots.m_count_slots = false;
        CPPUNIT_ASSERT(some_seed_violates(no_slots));
        queue_rules no_reserve;
        no_reserve.m_keep_reserve = false;
        CPPUNIT_ASSERT(some_seed_violates(no_reserve));
        queue_rules no_deadline;
        no_deadline.m_check_deadline = false;
        CPPUNIT_ASSERT(some_seed_violates(no_deadline));
        queue_rules no_shed;
        no_shed.m_shed = false;
        CPPUNIT_ASSERT(some_seed_violates(no_shed));
    }

    void long_work_is_not_starved() {
        const auto dispatched_long = [](const queue_rules& rules) {
            queue_simulation simulation(saturating_load(), rules);
            CPPUNIT_ASSERT_EQUAL(std::string(), simulation.run());
            return simulation.dispatched_long();
        };
        queue_rules no_ageing;
        no_ageing.m_age_long_work = false;
        CPPUNIT_ASSERT(dispatched_long({}) >= 10);
        CPPUNIT_ASSERT(dispatched_long(no_ageing) < 10);
    }

    void burst_of_long_work_leaves_the_slots_that_short_work_needs() {
        const auto short_wait = [](const queue_rules& rules) {
            queue_load load = saturating_load();
            load.m_policy = {5, 1, 40, 2000ms};
            load.m_arrivals_per_step = 1;
            load.m_steps = 20000;
            queue_simulation simulation(load, rules);
            CPPUNIT_ASSERT_EQUAL(std::string(), simulation.run());
            CPPUNIT_ASSERT(simulation.dispatched_long() > 100);
            return simulation.total_short_wait();
        };
        queue_rules fixed_reserve;
        fixed_reserve.m_adapt_reserve = false;
        CPPUNIT_ASSERT(short_wait({}) * 3 < short_wait(fixed_reserve) * 2);
    }

    void light_callers_are_served_beside_a_heavy_one() {
        const auto longest_wait = [](const queue_rules& rules) {
            queue_load load = saturating_load();
            load.m_long_percent = 0;
            load.m_heavy_caller_percent = 90;
            queue_simulation simulation(load, rules);
            CPPUNIT_ASSERT_EQUAL(std::string(), simulation.run());
            return simulation.longest_light_wait();
        };
        queue_rules unfair;
        unfair.m_share_fairly = false;
        CPPUNIT_ASSERT(longest_wait({}) * 2 < longest_wait(unfair));
    }

    void long_run_is_learned_while_it_is_in_progress() {
        admission::slot_queue queue({2, 1, 40, 2000ms});
        core::time_point now{1s};
        const auto offer = [&](std::uint64_t number, std::uint64_t text) {
            queue.offer({admission::work_number{number}, core::caller_id("a"), admission::fingerprint{text},
                         core::work_class::undeclared, core::deadline_after(now, 10s)},
                        now);
            return queue.advance(now).m_dispatched.size();
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, offer(1, 7));
        now += 100ms;
        // The same text is now long and must leave the reserved slot to short work.
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, offer(2, 7));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, offer(3, 8));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.running_long());
    }

    void work_that_cannot_meet_its_deadline_is_refused_at_once() {
        admission::slot_queue queue({1, 0, 40, 2000ms});
        const core::time_point now{1s};
        const auto offer = [&](std::uint64_t number, core::duration left, core::work_class declared) {
            const auto outcome =
                queue.offer({admission::work_number{number}, core::caller_id("a"),
                             admission::fingerprint{number}, declared, core::deadline_after(now, left)},
                            now);
            queue.advance(now);
            return outcome;
        };
        CPPUNIT_ASSERT(offer(1, 10s, core::work_class::long_work).m_accepted);
        CPPUNIT_ASSERT(offer(2, 10s, core::work_class::long_work).m_accepted);
        const auto too_late = offer(3, 100ms, core::work_class::long_work);
        CPPUNIT_ASSERT(!too_late.m_accepted && too_late.m_reason == core::reason::overloaded);
        CPPUNIT_ASSERT(too_late.m_retry_after >= 100ms);
        const auto expired = offer(4, 0s, core::work_class::undeclared);
        CPPUNIT_ASSERT(!expired.m_accepted && expired.m_reason == core::reason::deadline_exceeded);
    }

    void fingerprint_ignores_literals() {
        using admission::fingerprint_of;
        CPPUNIT_ASSERT(fingerprint_of("SELECT * FROM t WHERE id = 7 AND name = 'x'") ==
                       fingerprint_of("select * from t where id=1234 and name='longer'"));
        CPPUNIT_ASSERT(fingerprint_of("SELECT a FROM t") != fingerprint_of("SELECT b FROM t"));
        CPPUNIT_ASSERT(fingerprint_of("SELECT 'unterminated") == fingerprint_of("SELECT 'open"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slot_queue_rules);
