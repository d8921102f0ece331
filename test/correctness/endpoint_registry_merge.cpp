// Guards against control hosts that received the same endpoint reports and disagree, against a report of an
// earlier incarnation that replaces one of a later incarnation, and against a late report that restores a
// removed endpoint. Reports may arrive late, more than once and in a different order at each control host.
#include "registry/endpoint_registry.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace mangoquay;
using registry::endpoint_registry;
using registry::endpoint_report;
using registry::merge_outcome;
using registry::report_state;

namespace {

const core::time_point start{std::chrono::hours(1)};

endpoint_report report(const std::string& id, std::int64_t started_ms, std::uint64_t sequence,
                       bool primary = false, std::uint16_t port = 5000) {
    endpoint_report result;
    result.m_id = core::endpoint_id(id);
    result.m_service = core::service_name("ledger");
    result.m_address = {"10.0.0.1", port};
    result.m_zone = core::availability_zone("north");
    result.m_started_ms = started_ms;
    result.m_sequence = sequence;
    result.m_is_primary = primary;
    return result;
}

class endpoint_registry_merge : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_registry_merge);
    CPPUNIT_TEST(hosts_agree_regardless_of_report_order);
    CPPUNIT_TEST(a_late_report_of_an_earlier_incarnation_is_ignored);
    CPPUNIT_TEST(a_new_incarnation_restarts_the_sequence);
    CPPUNIT_TEST(the_latest_to_start_at_an_address_is_usable);
    CPPUNIT_TEST(a_report_after_removal_does_not_restore_the_endpoint);
    CPPUNIT_TEST(a_refresh_does_not_change_the_digest);
    CPPUNIT_TEST(an_invalid_report_of_another_host_is_ignored);
    CPPUNIT_TEST_SUITE_END();

    // A host of an earlier program version passes on what it has accepted; so does the file of the last
    // start.
    static void an_invalid_report_of_another_host_is_ignored() {
        endpoint_registry held;
        held.merge(report("i-1", 5, 1), start);
        endpoint_report late = report("i-1", registry::max_start_time_ms + 1, 2);
        endpoint_report wide = report("i-1", 6, 2);
        wide.m_slots = registry::max_slots + 1;
        std::vector<endpoint_report> odd_reports{late, wide, report("i-1", -1, 2)};
        // Each of them would leave a field out of a startup, or move the end of one.
        for (const std::string& text : {std::string(), std::string("i 1\r\n"), std::string("i\0", 2),
                                        std::string("i\xff"), std::string("i\xc2\x85")}) {
            odd_reports.push_back(report(text, 6, 2));
            odd_reports.push_back(report("i-1", 6, 2));
            odd_reports.back().m_service = core::service_name(text);
            odd_reports.push_back(report("i-1", 6, 2));
            odd_reports.back().m_zone = core::availability_zone(text);
            odd_reports.push_back(report("i-1", 6, 2));
            odd_reports.back().m_address.m_host = text;
        }
        for (const endpoint_report& odd : odd_reports) {
            CPPUNIT_ASSERT(held.merge(odd, start) == merge_outcome::stale);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), held.entries().size());
        CPPUNIT_ASSERT(held.merge(report("i-1", 6, 2), start) == merge_outcome::changed);
    }
    static void hosts_agree_regardless_of_report_order() {
        CPPUNIT_ASSERT(rc::check("the merge commutes", [] {
            std::vector<endpoint_report> reports;
            for (int count = *rc::gen::inRange(1, 12); count > 0; --count) {
                const auto started = *rc::gen::inRange(1, 4);
                const auto sequence = *rc::gen::inRange(1, 5);
                // Reports with the same start time and sequence number have the same content.
                reports.push_back(report("i-" + std::to_string(*rc::gen::inRange(0, 3)), started,
                                         static_cast<std::uint64_t>(sequence),
                                         (started + sequence) % 2 == 0));
            }
            endpoint_registry first;
            endpoint_registry second;
            for (const endpoint_report& each : reports) {
                first.merge(each, start);
            }
            std::ranges::reverse(reports);
            for (const endpoint_report& each : reports) {
                second.merge(each, start);
                second.merge(each, start);
            }
            RC_ASSERT(first.digest() == second.digest());
            RC_ASSERT(first.usable_reports() == second.usable_reports());
        }));
    }
    static void a_late_report_of_an_earlier_incarnation_is_ignored() {
        endpoint_registry endpoints;
        endpoints.merge(report("i-1", 200, 1), start);
        CPPUNIT_ASSERT(endpoints.merge(report("i-1", 100, 90, true), start) == merge_outcome::stale);
        CPPUNIT_ASSERT(!endpoints.find(core::endpoint_id("i-1"))->m_report.m_is_primary);
    }
    static void a_new_incarnation_restarts_the_sequence() {
        endpoint_registry endpoints;
        endpoints.merge(report("i-1", 100, 90), start);
        CPPUNIT_ASSERT(endpoints.merge(report("i-1", 200, 1), start) == merge_outcome::changed);
    }
    static void the_latest_to_start_at_an_address_is_usable() {
        endpoint_registry endpoints;
        endpoints.merge(report("i-2", 200, 1), start);
        endpoints.merge(report("i-1", 100, 9), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoints.usable_reports().size());
        CPPUNIT_ASSERT(endpoints.usable_reports().front().m_id == core::endpoint_id("i-2"));
    }
    static void a_report_after_removal_does_not_restore_the_endpoint() {
        endpoint_registry endpoints;
        endpoints.merge(report("i-1", 100, 3), start);
        CPPUNIT_ASSERT(endpoints.remove(core::endpoint_id("i-1"), start));
        CPPUNIT_ASSERT(endpoints.merge(report("i-1", 100, 9), start) == merge_outcome::stale);
        CPPUNIT_ASSERT(endpoints.usable_reports().empty());
        CPPUNIT_ASSERT(endpoints.merge(report("i-1", 300, 1), start) == merge_outcome::changed);
    }
    static void a_refresh_does_not_change_the_digest() {
        endpoint_registry endpoints;
        endpoints.merge(report("i-1", 100, 3), start);
        const auto before = endpoints.digest();
        CPPUNIT_ASSERT(endpoints.merge(report("i-1", 100, 4), start) == merge_outcome::refreshed);
        CPPUNIT_ASSERT_EQUAL(before, endpoints.digest());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_registry_merge);

} // namespace
