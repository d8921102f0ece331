// Guards against endpoint reports that are lost or altered when a control host restarts, and against wrong
// addresses from a truncated or damaged file of reports.
#include "fleet/registry_store.h"
#include "support/temporary_folder.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace mangoquay;
using fleet::decode_reports;
using fleet::encode_reports;

namespace {

registry::endpoint_report sample_report() {
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
    CPPUNIT_TEST(decoding_restores_the_encoded_reports);
    CPPUNIT_TEST(damaged_bytes_are_rejected);
    CPPUNIT_TEST(an_absent_file_yields_no_reports);
    CPPUNIT_TEST_SUITE_END();

    static void decoding_restores_the_encoded_reports() {
        const auto decoded = decode_reports(encode_reports({sample_report()}));
        CPPUNIT_ASSERT(decoded && *decoded == std::vector{sample_report()});
    }
    static void damaged_bytes_are_rejected() {
        const std::string encoded = encode_reports({sample_report()});
        CPPUNIT_ASSERT(rc::check("a truncated or changed file is rejected", [&encoded] {
            const auto length = *rc::gen::inRange<std::size_t>(0, encoded.size());
            RC_ASSERT(!decode_reports(encoded.substr(0, length)));
            std::string changed = encoded;
            changed[length] = static_cast<char>(changed[length] ^ 0x20);
            RC_ASSERT(!decode_reports(changed));
        }));
    }
    static void an_absent_file_yields_no_reports() {
        const test::temporary_folder folder;
        CPPUNIT_ASSERT(fleet::registry_store(folder.path()).load().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(persisted_endpoints);

} // namespace
