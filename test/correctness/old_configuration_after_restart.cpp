// Guards against an entry host that starts and puts a configuration in force that is older than one
// acknowledged before its start, because a control host that does not know what is committed supplied it.
#include "support/fleet_hosts.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;

namespace {

// More changes than entries between two snapshots, so that a control host starts with a configuration.
constexpr std::uint64_t newest_version = 40;
// An entry host queries every 100 ms until it has a configuration.
constexpr core::milliseconds observation_time{1000};

class old_configuration_after_restart : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(old_configuration_after_restart);
    CPPUNIT_TEST(is_not_taken_from_a_control_host_that_knows_no_leader);
    CPPUNIT_TEST(is_not_taken_from_a_control_host_that_is_cut_off);
    CPPUNIT_TEST_SUITE_END();

    // All hosts start again after a loss of power; one control host is up before the others.
    static void is_not_taken_from_a_control_host_that_knows_no_leader() {
        test::fleet_cell cell(3);
        for (std::uint64_t version = 1; version <= newest_version; ++version) {
            CPPUNIT_ASSERT(cell.replace_document(version));
        }
        for (unsigned host = 0; host < 3; ++host) {
            cell.stop(host);
        }
        cell.start(0);
        const std::uint64_t restored = cell.host(0).applied_version();
        CPPUNIT_ASSERT(restored > 0 && restored < newest_version);
        const auto entry_host = cell.subscribe({0, 1, 2});
        std::this_thread::sleep_for(observation_time);
        CPPUNIT_ASSERT(entry_host->received_versions().empty());
        cell.start(1);
        CPPUNIT_ASSERT(test::wait_until([&] { return !entry_host->received_versions().empty(); }));
        CPPUNIT_ASSERT_EQUAL(newest_version, entry_host->received_versions().front());
    }

    // A zone with one control host is cut off, and an entry host of this zone starts.
    static void is_not_taken_from_a_control_host_that_is_cut_off() {
        test::fleet_cell cell(3);
        CPPUNIT_ASSERT(cell.replace_document(1));
        const unsigned leader = cell.leading_host();
        const unsigned cut_off = (leader + 1) % 3;
        const unsigned third = (leader + 2) % 3;
        CPPUNIT_ASSERT(test::wait_until([&] { return cell.host(cut_off).applied_version() == 1; }));
        cell.host(cut_off).block({cell.id(leader), cell.id(third)});
        CPPUNIT_ASSERT(cell.replace_document(2));
        const auto entry_host = cell.subscribe({cut_off}, {leader, third});
        std::this_thread::sleep_for(observation_time);
        CPPUNIT_ASSERT(entry_host->received_versions().empty());
        cell.host(cut_off).block({});
        entry_host->block({});
        CPPUNIT_ASSERT(test::wait_until([&] { return !entry_host->received_versions().empty(); }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, entry_host->received_versions().front());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(old_configuration_after_restart);

} // namespace
