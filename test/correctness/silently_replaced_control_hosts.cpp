// Guards against an entry host that loses its last contact to the cell while all control hosts are replaced
// in turn: the hosts that are gone end without notice and close no connection.
#include "support/fleet_hosts.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;

namespace {

constexpr unsigned initial_hosts = 3;
// A change is in force at every entry host this long after its acknowledgement at the latest.
constexpr std::chrono::seconds apply_limit{3};
// Until the successor has the place of the host that is gone.
constexpr std::chrono::seconds replacement_time{4};

class silently_replaced_control_hosts : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(silently_replaced_control_hosts);
    CPPUNIT_TEST(an_entry_host_holds_each_change_in_time);
    CPPUNIT_TEST_SUITE_END();

    static void commit_and_check(test::fleet_cell& cell, test::subscribed_host& entry_host,
                                 std::uint64_t version) {
        CPPUNIT_ASSERT(cell.replace_document(version));
        const auto limit = std::chrono::steady_clock::now() + apply_limit;
        const auto held = [&] {
            const std::vector<std::uint64_t> received = entry_host.received_versions();
            return received.empty() ? 0 : received.back();
        };
        CPPUNIT_ASSERT(test::wait_until([&] { return held() == version; }));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() <= limit);
    }

    static void an_entry_host_holds_each_change_in_time() {
        test::fleet_cell cell(initial_hosts);
        std::uint64_t version = 1;
        CPPUNIT_ASSERT(cell.replace_document(version));
        const auto entry_host = cell.subscribe({0, 1, 2});
        commit_and_check(cell, *entry_host, ++version);
        const unsigned leader = cell.leading_host();
        std::vector<unsigned> running{0, 1, 2};
        for (unsigned step = 1; step <= initial_hosts; ++step) {
            const unsigned gone = (leader + step) % initial_hosts; // The leader is the last.
            cell.host(gone).isolate();
            std::erase(running, gone);
            running.push_back(cell.add(running));
            commit_and_check(cell, *entry_host, ++version);
            std::this_thread::sleep_for(replacement_time);
            commit_and_check(cell, *entry_host, ++version);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(silently_replaced_control_hosts);

} // namespace
