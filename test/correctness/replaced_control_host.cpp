// Guards against a cell of control hosts that does not survive the loss of a disk after one of its hosts was
// replaced: a host that was removed counts as lost until its successor has its place.
#include "support/consensus_simulation.h"
#include "support/fleet_hosts.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;

namespace {

// The timing of the cell of a fleet.
constexpr consensus::raft_timing cell_timing{.m_heartbeat = core::milliseconds(60),
                                             .m_min_election_timeout = core::milliseconds(250),
                                             .m_max_election_timeout = core::milliseconds(500),
                                             .m_lease = core::milliseconds(180)};
constexpr std::uint64_t simulated_worlds = 150;
// A successor counts once it has run for this long.
constexpr core::milliseconds catch_up_time{4000};

struct removal {
    bool m_leader_goes = false;
    bool m_is_planned = true;         // Otherwise the host ends without notice.
    std::int64_t m_until_loss_ms = 0; // From its end to the loss of the disks.
};

// One host is replaced, then as many others lose their disks as the cell tolerates. Returns what went wrong.
std::string outcome_in_simulation(unsigned hosts, const removal& removed, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    consensus::consensus_simulation cell({.m_hosts = hosts,
                                          .m_spare_hosts = 1,
                                          .m_timing = cell_timing,
                                          .m_voter_target = hosts,
                                          .m_lossy_network = removed.m_is_planned},
                                         seed);
    cell.run_for_ms(1500);
    cell.admit(hosts);
    cell.run_for_ms(catch_up_time.count());
    const unsigned leader = cell.host_after_leader(0);
    const unsigned gone =
        removed.m_leader_goes ? leader : (leader + 1 + static_cast<unsigned>(random() % (hosts - 1))) % hosts;
    removed.m_is_planned ? cell.leave_and_end(gone) : cell.crash(gone);
    cell.run_for_ms(removed.m_until_loss_ms);
    std::set<unsigned> wiped;
    while (wiped.size() < (hosts - 1) / 2) {
        const auto drawn = static_cast<unsigned>(random() % (hosts + 1));
        if (drawn != gone && wiped.insert(drawn).second) {
            cell.lose_disk(drawn);
        }
    }
    cell.run_for_ms(6000);
    const std::size_t committed = cell.committed();
    cell.run_for_ms(4000);
    if (!cell.violation().empty()) {
        return cell.violation();
    }
    return cell.committed() > committed ? "" : "the cell commits nothing seed=" + std::to_string(seed);
}

class replaced_control_host : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(replaced_control_host);
    CPPUNIT_TEST(stops_counting_when_it_leaves_as_planned);
    CPPUNIT_TEST(stops_counting_soon_after_it_ends_without_notice);
    CPPUNIT_TEST(a_lost_disk_after_the_end_of_a_follower_is_survived);
    CPPUNIT_TEST(a_lost_disk_after_the_end_of_the_leader_is_survived);
    CPPUNIT_TEST(a_lost_disk_after_an_end_without_notice_is_survived);
    CPPUNIT_TEST(a_host_that_is_admitted_late_stays_a_standby);
    CPPUNIT_TEST(a_host_that_restarts_beside_a_standby_stays_in_the_cell);
    CPPUNIT_TEST_SUITE_END();

    static void check_simulated(bool planned, std::int64_t min_until_loss_ms) {
        for (std::uint64_t seed = 1; seed <= simulated_worlds; ++seed) {
            const removal removed{seed % 2 == 0, planned,
                                  min_until_loss_ms + static_cast<std::int64_t>(seed * 37 % 2500)};
            CPPUNIT_ASSERT_EQUAL(std::string(), outcome_in_simulation(seed % 3 == 0 ? 5 : 3, removed, seed));
        }
    }
    static void stops_counting_when_it_leaves_as_planned() { check_simulated(true, 0); }
    // The others need time to miss the host. Lost messages can make the election of a new leader longer than
    // that, so the network loses none here.
    static void stops_counting_soon_after_it_ends_without_notice() { check_simulated(false, 1500); }

    static void check_fleet(const removal& removed) {
        test::fleet_cell cell(3);
        CPPUNIT_ASSERT(cell.replace_document(1));
        const unsigned leader = cell.leading_host();
        const unsigned gone = removed.m_leader_goes ? leader : (leader + 1) % 3;
        const unsigned wiped = (leader + 2) % 3;
        cell.add();
        std::this_thread::sleep_for(catch_up_time);
        if (removed.m_is_planned) {
            cell.host(gone).leave();
        }
        cell.stop(gone);
        std::this_thread::sleep_for(core::milliseconds(removed.m_until_loss_ms));
        cell.stop(wiped);
        cell.lose_disk(wiped);
        cell.start(wiped);
        CPPUNIT_ASSERT(cell.replace_document(2));
    }
    static void a_lost_disk_after_the_end_of_a_follower_is_survived() {
        check_fleet({.m_leader_goes = false, .m_is_planned = true, .m_until_loss_ms = 0});
    }
    static void a_lost_disk_after_the_end_of_the_leader_is_survived() {
        check_fleet({.m_leader_goes = true, .m_is_planned = true, .m_until_loss_ms = 0});
    }
    static void a_lost_disk_after_an_end_without_notice_is_survived() {
        check_fleet({.m_leader_goes = false, .m_is_planned = false, .m_until_loss_ms = 1500});
    }
    // Guards against a standby that counts as lost since the election of the leader, although it has just
    // joined.
    static void a_host_that_is_admitted_late_stays_a_standby() {
        constexpr unsigned spare = 3;
        consensus::consensus_simulation cell(
            {.m_hosts = 3, .m_spare_hosts = 1, .m_timing = cell_timing, .m_voter_target = 3}, 1);
        cell.run_for_ms(15000);
        cell.admit(spare);
        for (int step = 0; step < 150; ++step) {
            cell.run_for_ms(20);
            CPPUNIT_ASSERT(cell.leader() != nullptr &&
                           cell.leader()->members().contains_host(cell.node(spare)->self().m_host));
        }
    }
    // A voter that only restarts may become the standby, but the cell keeps its size and loses nothing.
    static void a_host_that_restarts_beside_a_standby_stays_in_the_cell() {
        test::fleet_cell cell(3);
        CPPUNIT_ASSERT(cell.replace_document(1));
        const unsigned added = cell.add();
        std::this_thread::sleep_for(catch_up_time);
        for (unsigned host = 0; host < 3; ++host) {
            cell.stop(host);
            cell.start(host);
            CPPUNIT_ASSERT(test::wait_until([&] { return cell.host(host).applied_version() == 1; }));
        }
        cell.stop(added);
        CPPUNIT_ASSERT(cell.replace_document(2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replaced_control_host);

} // namespace
