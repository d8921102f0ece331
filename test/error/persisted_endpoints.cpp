// Endpoints that a control host kept over a restart: what was written comes back, and damaged bytes give
// nothing rather than a wrong address.
#include "fleet/registry_store.h"
#include "support/temporary_folder.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace mangoquay;
using fleet::decode_reports;
using fleet::encode_reports;

namespace {

registry::endpoint_report some_report() {
    registry::endpoint_report report;
    report.m_id = core::endpoint_id("i-1");
    report.m_service = core::service_name("ledger");
    report.m_address = {"10.0.0.1", 5000};
    report.m_zone = core::availability_zone("north");
    report.m_slots = 5;
    report.m_is_primary = true;
    report.m_started_ms = 1767225600000;
    report.m_sequence = 7;
    return report;
}

class persisted_endpoints : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(persisted_endpoints);
    CPPUNIT_TEST(reports_come_back_as_they_were);
    CPPUNIT_TEST(damaged_bytes_give_nothing);
    CPPUNIT_TEST(an_absent_file_gives_nothing);
    CPPUNIT_TEST_SUITE_END();

    static void reports_come_back_as_they_were() {
        const auto decoded = decode_reports(encode_reports({some_report()}));
        CPPUNIT_ASSERT(decoded && *decoded == std::vector{some_report()});
    }
    static void damaged_bytes_give_nothing() {
        const std::string whole = encode_reports({some_report()});
        CPPUNIT_ASSERT(rc::check("a cut or changed file is left out", [&whole] {
            const auto length = *rc::gen::inRange<std::size_t>(0, whole.size());
            RC_ASSERT(!decode_reports(whole.substr(0, length)));
            std::string changed = whole;
            changed[length] = static_cast<char>(changed[length] ^ 0x20);
            RC_ASSERT(!decode_reports(changed));
        }));
    }
    static void an_absent_file_gives_nothing() {
        const test::temporary_folder folder;
        CPPUNIT_ASSERT(fleet::registry_store(folder.path()).load().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(persisted_endpoints);

} // namespace
