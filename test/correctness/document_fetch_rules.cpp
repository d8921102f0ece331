// Guards against network saturation by a burst of configuration changes. If every control host sent every
// version, each host would receive six copies of each change, and a burst would interrupt service for 4 s.
#include "documents/document_fetch.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace mangoquay;
using documents::document_fetch;
using documents::document_version;

namespace {

const core::time_point start{std::chrono::hours(1)};
const core::entry_host_id self("10.1.0.9");
constexpr int control_host_count = 6;

core::entry_host_id control_host(int number) {
    return core::entry_host_id("10.2.0." + std::to_string(number));
}

class document_fetch_rules : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(document_fetch_rules);
    CPPUNIT_TEST(a_single_change_is_fetched_immediately_from_one_host);
    CPPUNIT_TEST(a_burst_of_changes_takes_few_fetches_and_ends_with_the_newest_version);
    CPPUNIT_TEST(another_host_is_queried_after_a_timeout);
    CPPUNIT_TEST(a_version_already_held_is_not_fetched);
    CPPUNIT_TEST(a_removed_host_is_not_queried);
    CPPUNIT_TEST(a_host_without_a_newer_version_is_not_queried);
    CPPUNIT_TEST(a_host_that_has_lost_its_state_is_not_queried);
    CPPUNIT_TEST(the_first_document_waits_for_a_confirmed_version);
    CPPUNIT_TEST_SUITE_END();

    static void a_single_change_is_fetched_immediately_from_one_host() {
        document_fetch fetch(self);
        int query_count = 0;
        for (int host = 0; host < control_host_count; ++host) {
            fetch.on_version_announced(control_host(host), document_version(4));
            query_count += fetch.next_host(document_version(3), start) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(1, query_count);
    }

    // 25 changes at intervals of 60 ms, each announced by every control host. An answer takes 5 ms.
    static void a_burst_of_changes_takes_few_fetches_and_ends_with_the_newest_version() {
        document_fetch fetch(self);
        document_version held(1);
        document_version newest(1);
        int fetch_count = 0;
        core::time_point now = start;
        std::optional<core::time_point> answered_at;
        for (int step = 0; step < 3000; ++step, now += core::milliseconds(1)) {
            if (step % 60 == 0 && step < 1500) {
                newest = document_version(newest.value() + 3);
                for (int host = 0; host < control_host_count; ++host) {
                    fetch.on_version_announced(control_host(host), newest);
                }
            }
            if (answered_at && now >= *answered_at) {
                held = newest;
                fetch.on_document_arrived(now);
                answered_at.reset();
            }
            if (fetch.next_host(held, now)) {
                ++fetch_count;
                answered_at = now + core::milliseconds(5);
            }
        }
        CPPUNIT_ASSERT(held == newest);
        // There would be 150 fetches if every control host sent every change.
        CPPUNIT_ASSERT(fetch_count <= 1500 / documents::fetch_pause.count() + 1);
    }

    static void another_host_is_queried_after_a_timeout() {
        document_fetch fetch(self);
        fetch.on_version_announced(control_host(1), document_version(4));
        fetch.on_version_announced(control_host(2), document_version(4));
        const auto first = fetch.next_host(document_version(3), start);
        CPPUNIT_ASSERT(first.has_value());
        const core::time_point later = start + documents::fetch_timeout;
        CPPUNIT_ASSERT(!fetch.next_host(document_version(3), later - core::milliseconds(1)));
        const auto second = fetch.next_host(document_version(3), later);
        CPPUNIT_ASSERT(second.has_value());
        CPPUNIT_ASSERT(*first != *second);
    }

    static void a_version_already_held_is_not_fetched() {
        document_fetch fetch(self);
        fetch.on_version_announced(control_host(1), document_version(4));
        CPPUNIT_ASSERT(!fetch.next_host(document_version(4), start));
        CPPUNIT_ASSERT(fetch.next_attempt(document_version(4)).m_at == core::time_point::max());
    }

    static void a_removed_host_is_not_queried() {
        document_fetch fetch(self);
        fetch.on_version_announced(control_host(1), document_version(4));
        fetch.remove_host(control_host(1));
        CPPUNIT_ASSERT(!fetch.next_host(document_version(3), start));
    }

    // Guards against a change that is late because hosts that are behind are queried, 600 ms each: five of
    // eight control hosts miss it, and the first query to each of the others is lost.
    static void a_host_without_a_newer_version_is_not_queried() {
        document_fetch fetch(self);
        for (int host = 0; host < 8; ++host) {
            fetch.on_version_announced(control_host(host), document_version(host < 3 ? 4 : 3));
        }
        core::time_point now = start;
        for (int query = 0; query < 8; ++query, now += documents::fetch_timeout) {
            const auto queried = fetch.next_host(document_version(3), now);
            CPPUNIT_ASSERT(queried.has_value());
            CPPUNIT_ASSERT(fetch.announced_version(*queried) == document_version(4));
        }
    }

    static void a_host_that_has_lost_its_state_is_not_queried() {
        document_fetch fetch(self);
        fetch.on_version_announced(control_host(1), document_version(4));
        fetch.on_version_announced(control_host(1), document_version(0));
        CPPUNIT_ASSERT(!fetch.next_host(document_version(3), start));
    }

    static void the_first_document_waits_for_a_confirmed_version() {
        document_fetch fetch(self);
        fetch.on_version_announced(control_host(1), document_version(31));
        CPPUNIT_ASSERT(!fetch.next_host(document_version(0), start));
        fetch.on_current_version_confirmed(document_version(40));
        CPPUNIT_ASSERT(!fetch.next_host(document_version(0), start));
        CPPUNIT_ASSERT(!fetch.usable(document_version(39), document_version(0)));
        fetch.on_version_announced(control_host(2), document_version(41));
        CPPUNIT_ASSERT(fetch.next_host(document_version(0), start) == control_host(2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(document_fetch_rules);

} // namespace
