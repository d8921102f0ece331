// Guards against a control host that takes its state for current although it lacks commits from before the
// time in question: an answer to an earlier request, or a commit that is not applied yet, proves nothing.
#include "fleet/read_barrier.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using fleet::read_barrier;
using fleet::read_index_number;

namespace {

const core::time_point start{std::chrono::hours(1)};

core::time_point after_ms(std::int64_t length) {
    return start + core::milliseconds(length);
}

class read_barrier_rules : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(read_barrier_rules);
    CPPUNIT_TEST(nothing_is_known_before_an_answer);
    CPPUNIT_TEST(an_applied_answer_confirms_the_time_of_its_request);
    CPPUNIT_TEST(a_commit_that_is_not_applied_confirms_nothing);
    CPPUNIT_TEST(a_late_answer_confirms_only_the_time_of_its_own_request);
    CPPUNIT_TEST(unknown_answers_are_ignored);
    CPPUNIT_TEST(an_answer_to_an_earlier_process_confirms_nothing);
    CPPUNIT_TEST(a_host_that_lags_behind_a_busy_leader_makes_progress);
    CPPUNIT_TEST(requests_are_repeated_after_the_interval_only);
    CPPUNIT_TEST_SUITE_END();

    static void nothing_is_known_before_an_answer() {
        read_barrier barrier;
        barrier.on_applied(core::revision(31));
        CPPUNIT_ASSERT(barrier.next_request(start));
        CPPUNIT_ASSERT(!barrier.current_as_of());
    }

    static void an_applied_answer_confirms_the_time_of_its_request() {
        read_barrier barrier;
        barrier.on_applied(core::revision(40));
        const auto number = barrier.next_request(start);
        barrier.on_answer(*number, core::revision(40));
        CPPUNIT_ASSERT(barrier.current_as_of() == start);
    }

    static void a_commit_that_is_not_applied_confirms_nothing() {
        read_barrier barrier;
        barrier.on_applied(core::revision(31));
        barrier.on_answer(*barrier.next_request(start), core::revision(40));
        CPPUNIT_ASSERT(!barrier.current_as_of());
        barrier.on_applied(core::revision(39));
        CPPUNIT_ASSERT(!barrier.current_as_of());
        barrier.on_applied(core::revision(40));
        CPPUNIT_ASSERT(barrier.current_as_of() == start);
    }

    static void a_late_answer_confirms_only_the_time_of_its_own_request() {
        read_barrier barrier;
        const auto first = barrier.next_request(start);
        const auto second = barrier.next_request(start + fleet::read_index_retry_interval);
        CPPUNIT_ASSERT(second);
        barrier.on_answer(*first, core::revision(0));
        CPPUNIT_ASSERT(barrier.current_as_of() == start);
        barrier.on_answer(*second, core::revision(0));
        CPPUNIT_ASSERT(barrier.current_as_of() == start + fleet::read_index_retry_interval);
    }

    static void unknown_answers_are_ignored() {
        read_barrier barrier;
        const auto number = barrier.next_request(start);
        barrier.on_answer(read_index_number(number->value() + 1), core::revision(0));
        CPPUNIT_ASSERT(!barrier.current_as_of());
        barrier.on_answer(*number, core::revision(0));
        barrier.on_answer(*number, core::revision(99));
        CPPUNIT_ASSERT(barrier.current_as_of() == start);
    }

    // The leader commits ten entries in the time in which this host applies nine.
    // An answer may be delayed over a restart of the host.
    static void an_answer_to_an_earlier_process_confirms_nothing() {
        read_barrier earlier_process;
        const auto number = earlier_process.next_request(start);
        read_barrier restarted;
        restarted.on_applied(core::revision(31));
        CPPUNIT_ASSERT(restarted.next_request(after_ms(1500)));
        restarted.on_answer(*number, core::revision(31));
        CPPUNIT_ASSERT(!restarted.current_as_of());
    }

    static void a_host_that_lags_behind_a_busy_leader_makes_progress() {
        read_barrier barrier;
        for (std::int64_t ms = 0; ms < 2000; ms += 10) {
            if (const auto number = barrier.next_request(after_ms(ms))) {
                barrier.on_answer(*number, core::revision(1000 + static_cast<std::uint64_t>(ms)));
            }
            barrier.on_applied(core::revision(900 + static_cast<std::uint64_t>(ms) * 9 / 10));
        }
        CPPUNIT_ASSERT(barrier.current_as_of() > after_ms(500));
    }

    static void requests_are_repeated_after_the_interval_only() {
        read_barrier barrier;
        CPPUNIT_ASSERT(barrier.next_request(start));
        const core::time_point due = start + fleet::read_index_retry_interval;
        CPPUNIT_ASSERT(!barrier.next_request(due - core::milliseconds(1)));
        CPPUNIT_ASSERT(barrier.next_request(due));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(read_barrier_rules);

} // namespace
