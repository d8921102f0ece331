// Guards against an endpoint that was deregistered and is in use again after a restart of the control hosts.
#include "support/fleet_hosts.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;

namespace {

constexpr core::milliseconds observation_time{1500};

registry::endpoint_report report_of(const char* id, const char* address) {
    registry::endpoint_report report;
    report.m_id = core::endpoint_id(id);
    report.m_service = core::service_name("ledger");
    report.m_address = {address, 5000};
    report.m_zone = core::availability_zone("makati");
    report.m_slots = 4;
    report.m_started_ms = 1767225600000;
    report.m_sequence = 1;
    return report;
}

class removed_endpoint_after_restart : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(removed_endpoint_after_restart);
    CPPUNIT_TEST(is_not_passed_on_by_a_control_host_that_missed_its_removal);
    CPPUNIT_TEST_SUITE_END();

    // A control host is down while an endpoint is removed. Then all of them start from their files.
    static void is_not_passed_on_by_a_control_host_that_missed_its_removal() {
        test::fleet_cell cell(3);
        const registry::endpoint_report removed = report_of("i-1", "10.0.0.1");
        const registry::endpoint_report kept = report_of("i-2", "10.0.0.2");
        CPPUNIT_ASSERT(cell.replace_document(1));
        cell.host(0).merge_report(removed);
        cell.host(0).merge_report(kept);
        for (unsigned host = 0; host < 3; ++host) {
            CPPUNIT_ASSERT(test::wait_until([&] { return cell.persisted_endpoint_count(host) == 2; }));
        }
        cell.stop(2);
        cell.host(0).deregister_endpoint(removed.m_id);
        for (unsigned host = 0; host < 2; ++host) {
            CPPUNIT_ASSERT(test::wait_until([&] { return cell.persisted_endpoint_count(host) == 1; }));
        }
        cell.stop(0);
        cell.stop(1);
        for (unsigned host = 0; host < 3; ++host) {
            cell.start(host);
        }
        const auto entry_host = cell.subscribe({0, 1, 2});
        std::this_thread::sleep_for(observation_time);
        CPPUNIT_ASSERT(entry_host->usable_endpoints() == std::vector{kept});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(removed_endpoint_after_restart);

} // namespace
