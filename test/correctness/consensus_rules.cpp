// Checks single safety rules of the Raft core, each in the scenario that it guards against: the property
// holds, and it is violated when the rule is disabled.
#include "support/consensus_simulation.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <functional>

using namespace mangoquay::consensus;
using mangoquay::core::entry_host_id;

namespace {

// Runs one scenario in a new simulation and returns the first violation.
using scenario = std::function<void(consensus_simulation&)>;

std::string run_and_find_violation(const scenario& run_scenario, const simulation_options& options,
                                   std::uint64_t seed) {
    consensus_simulation simulation(options, seed);
    simulation.run_for_ms(1500);
    run_scenario(simulation);
    const bool recovered = simulation.heal_and_recover();
    return !simulation.violation().empty() ? simulation.violation()
           : recovered                     ? ""
                                           : "the cell did not recover";
}

void check_rule(const char* name, const scenario& run_scenario, const simulation_options& options,
                const simulation_options& without_rule) {
    CPPUNIT_ASSERT(rc::check(name, [&] {
        RC_ASSERT(
            run_and_find_violation(run_scenario, options, *rc::gen::arbitrary<std::uint32_t>()).empty());
    }));
    bool found = false;
    for (std::uint64_t seed = 0; seed < 500 && !found; ++seed) {
        found = !run_and_find_violation(run_scenario, without_rule, seed).empty();
    }
    CPPUNIT_ASSERT_MESSAGE("no violation was found with the rule disabled", found);
}

// One follower and the leader cannot reach each other; the third host reaches both.
void disconnect_follower_from_leader(consensus_simulation& simulation) {
    const unsigned disconnected = simulation.host_after_leader(1);
    simulation.disconnect(simulation.host_after_leader(0), disconnected);
    simulation.apply_fault({fault_kind::none, 0, 0, false, 1500});
    simulation.run_for_ms(1500);
}

void restart_third_host_repeatedly(consensus_simulation& simulation) {
    const unsigned disconnected = simulation.host_after_leader(1);
    const unsigned third = simulation.host_after_leader(2);
    simulation.disconnect(simulation.host_after_leader(0), disconnected);
    simulation.apply_fault({fault_kind::none, 0, 0, false, 0});
    for (int round = 0; round < 10; ++round) {
        simulation.run_for_ms(150);
        simulation.crash(third);
        simulation.run_for_ms(5);
        simulation.restart(third);
    }
}

// Host 0 has a slow clock and is rarely elected, so the other hosts are paused until it leads. Then it is
// isolated.
void isolate_slow_leader(consensus_simulation& simulation) {
    for (int attempt = 0; attempt < 20 && simulation.host_after_leader(0) != 0; ++attempt) {
        simulation.pause(1, 700);
        simulation.pause(2, 700);
        simulation.run_for_ms(1200);
    }
    simulation.run_for_ms(500);
    simulation.apply_fault({fault_kind::isolate, 0, 0, false, 0});
    simulation.run_for_ms(900);
}

// The leader and one host are partitioned from the three others while two membership changes are requested.
void change_members_in_minority(consensus_simulation& simulation) {
    const unsigned hosts = 5;
    const unsigned leader = simulation.host_after_leader(0);
    const unsigned same_side = (leader + 1) % hosts;
    for (unsigned distance = 2; distance < hosts; ++distance) {
        simulation.disconnect(leader, (leader + distance) % hosts);
        simulation.disconnect(same_side, (leader + distance) % hosts);
    }
    simulation.replace((leader + 4) % hosts, 5);
    simulation.run_for_ms(20);
    simulation.replace((leader + 3) % hosts, 6);
    simulation.run_for_ms(3000);
}

raft_message reply(const raft_node& node, message_kind kind, const char* disk, log_index index) {
    raft_message message;
    message.m_kind = kind;
    message.m_from_disk = disk_id(disk);
    message.m_term = node.current_term();
    message.m_granted = true;
    message.m_index = index;
    return message;
}

// Leader a of the voters a, b, c and the learner d. Its own disk syncs immediately.
class single_leader {
public:
    explicit single_leader(raft_faults faults) {
        membership members;
        members.m_voters = {at("a"), at("b"), at("c")};
        members.m_learners = {at("d")};
        recovered_state disk;
        disk.m_hard_state.m_term = raft_term(1);
        disk.m_entries = {{raft_term(1), 1, entry_kind::members, encode_membership(members)}};
        raft_settings settings;
        settings.m_self = at("a");
        settings.m_faults = faults;
        m_node = std::make_unique<raft_node>(settings, disk, m_now);
        m_now += std::chrono::seconds(1);
        step(tick{});
        answer_vote(message_kind::pre_vote_reply);
        answer_vote(message_kind::vote_reply);
    }

    void acknowledge(const char* host) {
        step(message_received{entry_host_id(host),
                              reply(*m_node, message_kind::append_reply, host, m_node->log().last_index())});
    }

    raft_node& node() { return *m_node; }

private:
    static member at(const char* host) { return {entry_host_id(host), disk_id(host)}; }

    void answer_vote(message_kind kind) {
        raft_message answer = reply(*m_node, kind, "b", 0);
        answer.m_round = m_round;
        step(message_received{entry_host_id("b"), answer});
    }

    void step(const raft_event& event) {
        std::uint64_t sequence = 0;
        for (const raft_action& action : m_node->step(event, m_now)) {
            if (const auto* sent = std::get_if<send_message>(&action)) {
                // Vote requests have the highest round; hello messages have none.
                m_round = std::max(m_round, sent->m_message.m_round);
            } else if (const auto* state = std::get_if<save_hard_state>(&action)) {
                sequence = state->m_sequence;
            } else if (const auto* appended = std::get_if<append_entries>(&action)) {
                sequence = appended->m_sequence;
            }
        }
        if (sequence != 0) {
            step(storage_synced{sequence});
        }
    }

    mangoquay::core::time_point m_now{std::chrono::hours(1)};
    std::unique_ptr<raft_node> m_node;
    std::uint64_t m_round = 0;
};

// Returns whether entries are committed exactly when a voter other than the leader has acknowledged them.
bool commits_with_voters_only(const std::vector<int>& acknowledging, raft_faults faults) {
    single_leader leader(faults);
    bool voter_acknowledged = false;
    for (const int host : acknowledging) {
        leader.acknowledge(host == 0 ? "b" : host == 1 ? "c" : "d");
        voter_acknowledged = voter_acknowledged || host < 2;
        const bool committed = leader.node().commit_index() == leader.node().log().last_index();
        if (committed != voter_acknowledged) {
            return false;
        }
    }
    return leader.node().is_leader();
}

} // namespace

class consensus_rules : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(consensus_rules);
    CPPUNIT_TEST(voters_in_contact_with_leader_refuse_votes);
    CPPUNIT_TEST(restarted_voters_refuse_votes);
    CPPUNIT_TEST(lease_tolerates_clock_rate_differences);
    CPPUNIT_TEST(membership_changes_do_not_overlap);
    CPPUNIT_TEST(learners_do_not_count_toward_commits);
    CPPUNIT_TEST(leader_with_stalled_disk_is_replaced);
    CPPUNIT_TEST(repeated_disk_losses_keep_committed_entries);
    CPPUNIT_TEST(lost_host_is_replaced_by_spare);
    CPPUNIT_TEST(two_of_three_empty_hosts_do_not_bootstrap);
    CPPUNIT_TEST(messages_round_trip_through_wire_encoding);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against reads from a leader whose lease was violated by a vote for another host.
    void voters_in_contact_with_leader_refuse_votes() {
        check_rule("voters in contact with a leader refuse votes", disconnect_follower_from_leader, {},
                   {.m_faults = {.m_ignore_leader_contact = true}});
    }

    // Guards against a vote of a restarted process while the promise that it gave to the leader before the
    // restart still holds.
    void restarted_voters_refuse_votes() {
        check_rule("restarted voters refuse votes", restart_third_host_repeatedly, {},
                   {.m_faults = {.m_skip_restart_wait = true}});
    }

    // Guards against a lease that outlasts the followers' promise when clock rates differ.
    void lease_tolerates_clock_rate_differences() {
        simulation_options options;
        options.m_extreme_clocks = true;
        options.m_latency_ms = 0;
        options.m_timing.m_max_election_timeout = mangoquay::core::milliseconds(410);
        simulation_options without_margin = options;
        without_margin.m_timing.m_lease = options.m_timing.m_min_election_timeout;
        check_rule("the lease tolerates clock rate differences", isolate_slow_leader, options,
                   without_margin);
    }

    // Guards against two quorums without a common member, which overlapping membership changes can create.
    void membership_changes_do_not_overlap() {
        check_rule("membership changes do not overlap", change_members_in_minority,
                   {.m_hosts = 5, .m_spare_hosts = 2},
                   {.m_hosts = 5, .m_spare_hosts = 2, .m_faults = {.m_overlapping_changes = true}});
    }

    // Guards against a commit that is stored by fewer voters than a quorum.
    void learners_do_not_count_toward_commits() {
        CPPUNIT_ASSERT(rc::check("learners do not count toward commits", [] {
            const auto hosts = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
            RC_ASSERT(commits_with_voters_only(hosts, {}));
        }));
        CPPUNIT_ASSERT(!commits_with_voters_only({2}, {.m_count_learners = true}));
    }

    // Guards against a cell that stops committing because its leader's disk hangs while its heartbeats
    // continue.
    void leader_with_stalled_disk_is_replaced() {
        consensus_simulation simulation({}, 7);
        simulation.run_for_ms(1500);
        const unsigned stalled = simulation.host_after_leader(0);
        simulation.stall_disk(stalled);
        simulation.run_for_ms(200);
        const std::size_t before = simulation.committed();
        simulation.run_for_ms(6000);
        CPPUNIT_ASSERT_EQUAL(std::string(), simulation.violation());
        CPPUNIT_ASSERT(simulation.host_after_leader(0) != stalled);
        CPPUNIT_ASSERT(simulation.committed() > before + 10);
    }

    // Guards against losing entries when hosts lose their disks one after another, each after the previous
    // host has caught up.
    void repeated_disk_losses_keep_committed_entries() {
        consensus_simulation simulation({}, 11);
        simulation.run_for_ms(1500);
        for (unsigned lost = 0; lost < 6; ++lost) {
            CPPUNIT_ASSERT(simulation.heal_and_recover());
            simulation.lose_disk(lost % 3);
        }
        CPPUNIT_ASSERT(simulation.heal_and_recover());
        CPPUNIT_ASSERT_EQUAL(std::string(), simulation.violation());
    }

    // Guards against a replacement that never becomes a voter.
    void lost_host_is_replaced_by_spare() {
        consensus_simulation simulation({.m_spare_hosts = 1}, 13);
        simulation.run_for_ms(1500);
        const unsigned lost = (simulation.host_after_leader(0) + 1) % 3;
        simulation.crash(lost);
        simulation.replace(lost, 3);
        simulation.run_for_ms(3000);
        CPPUNIT_ASSERT(simulation.members_complete());
        CPPUNIT_ASSERT(simulation.node(3)->members().is_voter(simulation.node(3)->self()));
    }

    // Guards against bootstrapping a second cell beside one that exists and is unknown to the two hosts.
    void two_of_three_empty_hosts_do_not_bootstrap() {
        consensus_simulation simulation({.m_empty_disks = true}, 17);
        simulation.crash(2);
        simulation.run_for_ms(5000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation.committed());
        simulation.restart(2);
        simulation.run_for_ms(3000);
        CPPUNIT_ASSERT(simulation.committed() > 0);
    }

    // Guards against fields that are lost in the wire encoding, and against accepting an unknown kind.
    void messages_round_trip_through_wire_encoding() {
        CPPUNIT_ASSERT(rc::check("messages round-trip through the wire encoding", [] {
            raft_message sent;
            sent.m_kind = static_cast<message_kind>(*rc::gen::inRange(0, 10));
            sent.m_from_disk = disk_id(*rc::gen::arbitrary<std::string>());
            sent.m_term = raft_term(*rc::gen::arbitrary<std::uint64_t>());
            sent.m_index = *rc::gen::inRange<log_index>(0, 1U << 30U);
            sent.m_round = *rc::gen::arbitrary<std::uint64_t>();
            sent.m_granted = *rc::gen::arbitrary<bool>();
            sent.m_state = *rc::gen::arbitrary<std::string>();
            sent.m_offset = *rc::gen::arbitrary<std::uint64_t>();
            sent.m_total = *rc::gen::arbitrary<std::uint64_t>();
            for (const auto& payload : *rc::gen::arbitrary<std::vector<std::string>>()) {
                const log_index index = sent.m_index + sent.m_entries.size() + 1;
                sent.m_entries.push_back({sent.m_term, index, entry_kind::command, payload});
                sent.m_members.m_learners.insert({entry_host_id(payload), disk_id("d")});
            }
            const auto received = from_wire(to_wire(sent));
            RC_ASSERT(received);
            RC_ASSERT(*received == sent);
        }));
        mangoquay::wire::raft_messageT unknown;
        unknown.kind = 10;
        CPPUNIT_ASSERT(!from_wire(unknown));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(consensus_rules);
