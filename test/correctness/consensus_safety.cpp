// Guards against losing or changing committed entries, two leaders in a term, a leader that serves reads
// after it was replaced, and unsafe changes of members, under crashes, lost disks, delays, duplicates,
// reordering, pauses longer than the lease, one-way cuts and clock rates off by up to 10 %.
#include "support/consensus_world.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace mangoquay::consensus;

namespace {

using script = std::vector<fault_step>;

script script_from(const std::vector<std::uint32_t>& numbers, fault_kind last) {
    script faults;
    for (const std::uint32_t number : numbers) {
        faults.push_back(fault_from(number, last));
    }
    return faults;
}

// The first violation; several runs differ in clock rates, latencies, losses and election timeouts.
std::string first_violation(const world_options& options, const script& faults, std::uint64_t seed,
                            unsigned runs) {
    for (unsigned run = 0; run < runs; ++run) {
        consensus_world world(options, seed + run);
        world.play(faults);
        const bool recovered = world.recovers();
        if (!world.violation().empty()) {
            return world.violation();
        }
        if (!recovered) {
            return "the cell did not recover";
        }
    }
    return {};
}

void check(const char* name, const world_options& options, fault_kind last) {
    CPPUNIT_ASSERT(rc::check(name, [&options, last] {
        const auto one = rc::gen::inRange<std::uint32_t>(0, 1U << 31U);
        const auto faults = script_from(*rc::gen::container<std::vector<std::uint32_t>>(one), last);
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        RC_ASSERT(first_violation(options, faults, seed, 5).empty());
    }));
}

// The same body finds a planted fault: one of the scripts leads to a violation.
void check_catches(const world_options& options, fault_kind last) {
    std::mt19937 random(20261204);
    for (unsigned attempt = 0; attempt < 1500; ++attempt) {
        std::vector<std::uint32_t> numbers(30);
        std::ranges::generate(numbers, std::ref(random));
        if (!first_violation(options, script_from(numbers, last), attempt, 1).empty()) {
            return;
        }
    }
    CPPUNIT_FAIL("the planted fault was not found");
}

} // namespace

class consensus_safety : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(consensus_safety);
    CPPUNIT_TEST(three_hosts);
    CPPUNIT_TEST(five_hosts);
    CPPUNIT_TEST(lost_disks_and_replaced_hosts);
    CPPUNIT_TEST(blank_hosts_found_one_cell);
    CPPUNIT_TEST(catches_unsynced_entries_that_count);
    CPPUNIT_TEST(catches_a_missing_log_check);
    CPPUNIT_TEST(catches_a_second_vote_in_a_term);
    CPPUNIT_TEST(catches_a_lease_without_margin);
    CPPUNIT_TEST(catches_a_lost_disk_that_keeps_its_id);
    CPPUNIT_TEST_SUITE_END();

public:
    void three_hosts() { check("three hosts stay consistent", {}, fault_kind::slow_disk); }
    void five_hosts() { check("five hosts stay consistent", {.m_hosts = 5}, fault_kind::slow_disk); }
    void lost_disks_and_replaced_hosts() {
        check("members change safely", {.m_spares = 1}, fault_kind::last);
    }

    void blank_hosts_found_one_cell() {
        check("blank hosts found one cell", {.m_blank = true}, fault_kind::slow_disk);
    }

    void catches_unsynced_entries_that_count() {
        check_catches({.m_faults = {.m_count_unsynced = true}}, fault_kind::slow_disk);
    }
    void catches_a_missing_log_check() {
        check_catches({.m_faults = {.m_skip_log_check = true}}, fault_kind::slow_disk);
    }
    void catches_a_second_vote_in_a_term() {
        check_catches({.m_faults = {.m_vote_twice = true}}, fault_kind::slow_disk);
    }
    void catches_a_lease_without_margin() {
        world_options options;
        options.m_timing.m_lease = mangoquay::core::milliseconds(800);
        check_catches(options, fault_kind::slow_disk);
    }
    void catches_a_lost_disk_that_keeps_its_id() {
        check_catches({.m_spares = 1, .m_keep_disk_id = true}, fault_kind::last);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(consensus_safety);
