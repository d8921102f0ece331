// Guards against lost or changed committed entries, two leaders in one term, a leader that serves reads after
// it was replaced, and unsafe membership changes. The faults are crashes, lost disks, message delays,
// duplicates and reordering, pauses longer than the lease, one-way partitions and clock rates that deviate by
// up to 10 %.
#include "support/consensus_simulation.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace mangoquay::consensus;

namespace {

using script = std::vector<fault_step>;

script decode_script(const std::vector<std::uint32_t>& numbers, fault_kind last) {
    script faults;
    for (const std::uint32_t number : numbers) {
        faults.push_back(decode_fault(number, last));
    }
    return faults;
}

// Returns the first violation. The runs differ in clock rates, latencies, message losses and election
// timeouts.
std::string first_violation(const simulation_options& options, const script& faults, std::uint64_t seed,
                            unsigned runs) {
    for (unsigned run = 0; run < runs; ++run) {
        consensus_simulation simulation(options, seed + run);
        simulation.run_script(faults);
        const bool recovered = simulation.heal_and_recover();
        if (!simulation.violation().empty()) {
            return simulation.violation();
        }
        if (!recovered) {
            return "the cell did not recover";
        }
    }
    return {};
}

void check_safety(const char* name, const simulation_options& options, fault_kind last) {
    CPPUNIT_ASSERT(rc::check(name, [&options, last] {
        const auto number_generator = rc::gen::inRange<std::uint32_t>(0, 1U << 31U);
        const auto faults =
            decode_script(*rc::gen::container<std::vector<std::uint32_t>>(number_generator), last);
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        RC_ASSERT(first_violation(options, faults, seed, 5).empty());
    }));
}

// Checks that the simulation detects an injected fault: one of the scripts must lead to a violation.
void check_detects(const simulation_options& options, fault_kind last) {
    std::mt19937 random(20261204);
    for (unsigned attempt = 0; attempt < 1500; ++attempt) {
        std::vector<std::uint32_t> numbers(30);
        std::ranges::generate(numbers, std::ref(random));
        if (!first_violation(options, decode_script(numbers, last), attempt, 1).empty()) {
            return;
        }
    }
    CPPUNIT_FAIL("the injected fault was not detected");
}

} // namespace

class consensus_safety : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(consensus_safety);
    CPPUNIT_TEST(three_hosts_stay_consistent);
    CPPUNIT_TEST(five_hosts_stay_consistent);
    CPPUNIT_TEST(members_change_safely);
    CPPUNIT_TEST(standbys_take_places_safely);
    CPPUNIT_TEST(empty_hosts_bootstrap_one_cell);
    CPPUNIT_TEST(detects_counted_unsynced_entries);
    CPPUNIT_TEST(detects_missing_log_check);
    CPPUNIT_TEST(detects_second_vote_in_term);
    CPPUNIT_TEST(detects_lease_without_margin);
    CPPUNIT_TEST(detects_lost_disk_with_same_id);
    CPPUNIT_TEST_SUITE_END();

public:
    void three_hosts_stay_consistent() {
        check_safety("three hosts stay consistent", {}, fault_kind::slow_disk);
    }
    void five_hosts_stay_consistent() {
        check_safety("five hosts stay consistent", {.m_hosts = 5}, fault_kind::slow_disk);
    }
    void members_change_safely() {
        check_safety("members change safely", {.m_spare_hosts = 1}, fault_kind::last);
    }
    // Voters leave, are lost or go silent while standbys wait for their places.
    void standbys_take_places_safely() {
        for (const unsigned hosts : {3U, 5U}) {
            check_safety("standbys take places safely",
                         {.m_hosts = hosts, .m_spare_hosts = 2, .m_voter_target = hosts},
                         fault_kind::leave_host);
        }
    }

    void empty_hosts_bootstrap_one_cell() {
        check_safety("empty hosts bootstrap one cell", {.m_empty_disks = true}, fault_kind::slow_disk);
    }

    // The following tests check that the simulation detects the absence of single safety rules.
    void detects_counted_unsynced_entries() {
        check_detects({.m_faults = {.m_count_unsynced = true}}, fault_kind::slow_disk);
    }
    void detects_missing_log_check() {
        check_detects({.m_faults = {.m_skip_log_check = true}}, fault_kind::slow_disk);
    }
    void detects_second_vote_in_term() {
        check_detects({.m_faults = {.m_vote_twice = true}}, fault_kind::slow_disk);
    }
    void detects_lease_without_margin() {
        simulation_options options;
        options.m_timing.m_lease = mangoquay::core::milliseconds(800);
        check_detects(options, fault_kind::slow_disk);
    }
    void detects_lost_disk_with_same_id() {
        check_detects({.m_spare_hosts = 1, .m_keep_disk_id = true}, fault_kind::last);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(consensus_safety);
