// Which control host a newcomer replaces: a member that works is never removed, and a member that is lost
// makes room also when its successor asked before it was gone.
#include "fleet/admission_choice.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using fleet::admission_request;
using fleet::choose_admission;

namespace {

const core::time_point now{std::chrono::hours(1)};
const core::time_point recent = now - core::milliseconds(100);
const core::time_point long_ago = now - core::milliseconds(4000);

admission_request request_with_contacts(core::time_point second, core::time_point third) {
    return {core::entry_host_id("10.4.0.1"),
            core::entry_host_id("10.1.0.1"),
            {{core::entry_host_id("10.1.0.1"), now},
             {core::entry_host_id("10.2.0.1"), second},
             {core::entry_host_id("10.3.0.1"), third}},
            3};
}

class control_admission : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(control_admission);
    CPPUNIT_TEST(a_full_cell_without_a_loss_admits_nobody);
    CPPUNIT_TEST(the_member_out_of_contact_for_longest_makes_room);
    CPPUNIT_TEST(the_leader_does_not_replace_itself);
    CPPUNIT_TEST(a_member_is_not_admitted_again);
    CPPUNIT_TEST(a_cell_that_is_too_small_grows);
    CPPUNIT_TEST_SUITE_END();

    static void a_full_cell_without_a_loss_admits_nobody() {
        CPPUNIT_ASSERT(!choose_admission(request_with_contacts(recent, recent), now));
    }
    static void the_member_out_of_contact_for_longest_makes_room() {
        const auto chosen = choose_admission(request_with_contacts(long_ago, long_ago - core::milliseconds(1)), now);
        CPPUNIT_ASSERT(chosen && chosen->m_replaced_host == core::entry_host_id("10.3.0.1"));
    }
    static void the_leader_does_not_replace_itself() {
        admission_request request = request_with_contacts(recent, recent);
        request.m_members[0].m_last_contact = long_ago;
        CPPUNIT_ASSERT(!choose_admission(request, now));
    }
    static void a_member_is_not_admitted_again() {
        admission_request request = request_with_contacts(recent, long_ago);
        request.m_joining_host = core::entry_host_id("10.3.0.1");
        CPPUNIT_ASSERT(!choose_admission(request, now));
    }
    static void a_cell_that_is_too_small_grows() {
        admission_request request = request_with_contacts(recent, recent);
        request.m_target_size = 5;
        const auto chosen = choose_admission(request, now);
        CPPUNIT_ASSERT(chosen && chosen->m_replaced_host.value().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_admission);

} // namespace
