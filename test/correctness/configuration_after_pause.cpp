// Guards against an entry host that handles new work by an old configuration after its process did not run
// for a while: the requests that queued up meanwhile were sent after the change had been acknowledged.
#include "documents/resume_check.h"
#include "support/fleet_hosts.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using documents::document_version;
using documents::max_confirmation_age;
using documents::max_confirmation_wait;
using documents::max_silent_wait;
using documents::min_pause;

namespace {

class configuration_after_pause : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(configuration_after_pause);
    CPPUNIT_TEST(new_work_waits_for_a_change_made_during_the_pause);
    CPPUNIT_TEST(new_work_goes_on_where_no_control_host_answers);
    CPPUNIT_TEST(short_delays_are_no_pause);
    CPPUNIT_TEST(a_confirmed_version_has_to_be_in_force);
    CPPUNIT_TEST(an_outdated_confirmation_does_not_end_the_wait);
    CPPUNIT_TEST(the_wait_of_a_process_that_pauses_again_and_again_ends);
    CPPUNIT_TEST(a_confirmation_reaches_a_process_that_pauses_again_and_again);
    CPPUNIT_TEST(the_wait_is_short_only_where_no_control_host_answers);
    CPPUNIT_TEST(a_late_answer_does_not_begin_the_wait_again);
    CPPUNIT_TEST_SUITE_END();

    static void new_work_waits_for_a_change_made_during_the_pause() {
        test::fleet_cell cell(3);
        CPPUNIT_ASSERT(cell.replace_document(1));
        const auto entry_host = cell.subscribe({0, 1, 2});
        CPPUNIT_ASSERT(test::wait_until([&] { return !entry_host->received_versions().empty(); }));
        auto resumed = std::async(std::launch::async, [&entry_host] {
            return entry_host->may_start_work_after_pause(2 * min_pause);
        });
        std::this_thread::sleep_for(min_pause / 2);
        CPPUNIT_ASSERT(cell.replace_document(2));
        CPPUNIT_ASSERT(!resumed.get());
        CPPUNIT_ASSERT(test::wait_until([&] { return entry_host->may_start_work(); }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, entry_host->received_versions().back());
    }

    static void new_work_goes_on_where_no_control_host_answers() {
        test::fleet_cell cell(3);
        CPPUNIT_ASSERT(cell.replace_document(1));
        const auto entry_host = cell.subscribe({0, 1, 2});
        CPPUNIT_ASSERT(test::wait_until([&] { return !entry_host->received_versions().empty(); }));
        entry_host->block({cell.id(0), cell.id(1), cell.id(2)});
        CPPUNIT_ASSERT(!entry_host->may_start_work_after_pause(2 * min_pause));
        CPPUNIT_ASSERT(test::wait_until([&] { return entry_host->may_start_work(); }));
    }

    static void short_delays_are_no_pause() {
        documents::resume_check check{documents::confirmation_number(7)};
        core::time_point now{};
        CPPUNIT_ASSERT(!check.on_running(now));
        now += min_pause - core::milliseconds(1);
        CPPUNIT_ASSERT(!check.on_running(now));
        CPPUNIT_ASSERT(!check.is_awaited());
        CPPUNIT_ASSERT(check.may_rely_on(document_version(1), now));
    }

    static void a_confirmed_version_has_to_be_in_force() {
        documents::resume_check check{documents::confirmation_number(7)};
        core::time_point now{};
        check.on_running(now);
        now += min_pause;
        CPPUNIT_ASSERT(check.on_running(now));
        CPPUNIT_ASSERT(!check.may_rely_on(document_version(3), now));
        check.on_confirmed(check.number(), document_version(4));
        CPPUNIT_ASSERT(!check.may_rely_on(document_version(3), now));
        CPPUNIT_ASSERT(check.may_rely_on(document_version(4), now));
        now += max_confirmation_wait;
        CPPUNIT_ASSERT(check.may_rely_on(document_version(3), now));
    }

    static void an_outdated_confirmation_does_not_end_the_wait() {
        documents::resume_check check{documents::confirmation_number(7)};
        core::time_point now{};
        check.on_running(now);
        now += min_pause;
        check.on_running(now);
        const documents::confirmation_number earlier = check.number();
        now += max_confirmation_age + core::milliseconds(1);
        CPPUNIT_ASSERT(check.on_running(now));
        CPPUNIT_ASSERT(check.on_confirmed(earlier, document_version(1)));
        CPPUNIT_ASSERT(!check.may_rely_on(document_version(1), now));
        CPPUNIT_ASSERT(!check.on_confirmed(documents::confirmation_number(1), document_version(1)));
        CPPUNIT_ASSERT(check.on_confirmed(check.number(), document_version(1)));
        CPPUNIT_ASSERT(check.may_rely_on(document_version(1), now));
    }

    static void the_wait_of_a_process_that_pauses_again_and_again_ends() {
        documents::resume_check check{documents::confirmation_number(7)};
        core::time_point now{};
        check.on_running(now);
        bool relied = false;
        for (int pause = 0; pause < 4; ++pause) {
            now += min_pause;
            check.on_running(now);
            relied = relied || check.may_rely_on(document_version(1), now + max_silent_wait);
            check.on_contact(now);
        }
        CPPUNIT_ASSERT(relied);
    }

    // The answer to each request arrives after the next pause only.
    static void a_confirmation_reaches_a_process_that_pauses_again_and_again() {
        documents::resume_check check{documents::confirmation_number(7)};
        core::time_point now{};
        check.on_running(now);
        now += min_pause;
        check.on_running(now);
        const documents::confirmation_number asked = check.number();
        now += min_pause;
        check.on_running(now);
        CPPUNIT_ASSERT(check.on_confirmed(asked, document_version(2)));
        CPPUNIT_ASSERT(!check.may_rely_on(document_version(1), now));
        CPPUNIT_ASSERT(check.may_rely_on(document_version(2), now));
    }

    static void the_wait_is_short_only_where_no_control_host_answers() {
        documents::resume_check check{documents::confirmation_number(7)};
        core::time_point now{};
        check.on_running(now);
        now += min_pause;
        check.on_running(now);
        CPPUNIT_ASSERT(check.may_rely_on(document_version(1), now + max_silent_wait));
        check.on_contact(now);
        CPPUNIT_ASSERT(!check.may_rely_on(document_version(1), now + max_silent_wait));
        CPPUNIT_ASSERT(check.may_rely_on(document_version(1), now + max_confirmation_wait));
    }

    // Messages that arrive after the end of the wait would otherwise be held with nothing to release them.
    static void a_late_answer_does_not_begin_the_wait_again() {
        documents::resume_check check{documents::confirmation_number(7)};
        core::time_point now{};
        check.on_running(now);
        now += min_pause;
        check.on_running(now);
        now += max_silent_wait;
        CPPUNIT_ASSERT(check.may_rely_on(document_version(1), now));
        check.on_contact(now);
        CPPUNIT_ASSERT(check.may_rely_on(document_version(1), now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_after_pause);

} // namespace
