// Choice of the control host that a joining host replaces. Guards against the removal of a working member,
// and against a lost member that is never replaced because the joining host sent its first request before the
// loss.
#include "fleet/admission_choice.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using fleet::admission_request;
using fleet::choose_admission;

namespace {

const core::time_point now{std::chrono::hours(1)};
const core::time_point recent = now - core::milliseconds(100);
const core::time_point long_ago = now - core::milliseconds(4000);

admission_request request_with_contacts(core::time_point second_contact, core::time_point third_contact) {
    return {core::entry_host_id("10.4.0.1"),
            core::entry_host_id("10.1.0.1"),
            {{core::entry_host_id("10.1.0.1"), now},
             {core::entry_host_id("10.2.0.1"), second_contact},
             {core::entry_host_id("10.3.0.1"), third_contact}},
            3};
}

class control_admission : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(control_admission);
    CPPUNIT_TEST(a_complete_cell_without_a_loss_admits_no_host);
    CPPUNIT_TEST(the_member_out_of_contact_for_longest_is_replaced);
    CPPUNIT_TEST(the_leader_does_not_replace_itself);
    CPPUNIT_TEST(a_member_is_not_admitted_again);
    CPPUNIT_TEST(an_incomplete_cell_admits_a_host_without_replacement);
    CPPUNIT_TEST_SUITE_END();

    static void a_complete_cell_without_a_loss_admits_no_host() {
        CPPUNIT_ASSERT(!choose_admission(request_with_contacts(recent, recent), now));
    }
    static void the_member_out_of_contact_for_longest_is_replaced() {
        const auto chosen =
            choose_admission(request_with_contacts(long_ago, long_ago - core::milliseconds(1)), now);
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
    static void an_incomplete_cell_admits_a_host_without_replacement() {
        admission_request request = request_with_contacts(recent, recent);
        request.m_target_size = 5;
        const auto chosen = choose_admission(request, now);
        CPPUNIT_ASSERT(chosen && chosen->m_replaced_host.value().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_admission);

} // namespace
