// Single rules of the Raft core in the situations that they are for: each property holds, and fails when the
// rule is switched off.
#include "support/consensus_world.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <functional>

using namespace mangoquay::consensus;
using mangoquay::core::entry_host_id;

namespace {

// Plays one situation in a fresh world and returns the first violation.
using situation = std::function<void(consensus_world&)>;

std::string violation_of(const situation& played, const world_options& options, std::uint64_t seed) {
    consensus_world world(options, seed);
    world.run_ms(1500);
    played(world);
    const bool recovered = world.recovers();
    return !world.violation().empty() ? world.violation() : recovered ? "" : "the cell did not recover";
}

void check_rule(const char* name, const situation& played, const world_options& options,
                const world_options& without_rule) {
    CPPUNIT_ASSERT(rc::check(name, [&] {
        RC_ASSERT(violation_of(played, options, *rc::gen::arbitrary<std::uint32_t>()).empty());
    }));
    bool found = false;
    for (std::uint64_t seed = 0; seed < 500 && !found; ++seed) {
        found = !violation_of(played, without_rule, seed).empty();
    }
    CPPUNIT_ASSERT_MESSAGE("switching the rule off was not noticed", found);
}

// One host and the leader cannot reach each other; the third reaches both.
void separate_one_from_leader(consensus_world& world) {
    const unsigned cut_off = world.from_leader(1);
    world.cut(world.from_leader(0), cut_off);
    world.apply({fault_kind::none, 0, 0, false, 1500});
    world.run_ms(1500);
}

void restart_the_third(consensus_world& world) {
    const unsigned cut_off = world.from_leader(1);
    const unsigned third = world.from_leader(2);
    world.cut(world.from_leader(0), cut_off);
    world.apply({fault_kind::none, 0, 0, false, 0});
    for (int round = 0; round < 10; ++round) {
        world.run_ms(150);
        world.crash(third);
        world.run_ms(5);
        world.restart(third);
    }
}

// The first host's clock is slow, so that it is rarely elected without help.
void lose_a_slow_leader(consensus_world& world) {
    for (int attempt = 0; attempt < 20 && world.from_leader(0) != 0; ++attempt) {
        world.freeze(1, 700);
        world.freeze(2, 700);
        world.run_ms(1200);
    }
    world.run_ms(500);
    world.apply({fault_kind::isolate, 0, 0, false, 0});
    world.run_ms(900);
}

// The leader and one host are separated from three others while two changes of members are asked for.
void change_members_in_a_minority(consensus_world& world) {
    const unsigned hosts = 5;
    const unsigned leader = world.from_leader(0);
    const unsigned near = (leader + 1) % hosts;
    for (unsigned distance = 2; distance < hosts; ++distance) {
        world.cut(leader, (leader + distance) % hosts);
        world.cut(near, (leader + distance) % hosts);
    }
    world.replace((leader + 4) % hosts, 5);
    world.run_ms(20);
    world.replace((leader + 3) % hosts, 6);
    world.run_ms(3000);
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

// A leader of the voters a, b, c with the learner d, whose own disk is always synced at once.
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
                // Requests for votes have the highest number; greetings have none.
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

// Whether a commit follows exactly when a voter besides the leader has acknowledged.
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
    CPPUNIT_TEST(no_vote_while_a_leader_is_heard);
    CPPUNIT_TEST(no_vote_right_after_a_restart);
    CPPUNIT_TEST(the_lease_allows_for_clock_rates);
    CPPUNIT_TEST(one_change_of_members_at_a_time);
    CPPUNIT_TEST(learners_count_toward_no_commit);
    CPPUNIT_TEST(a_leader_with_a_stalled_disk_is_replaced);
    CPPUNIT_TEST(a_second_host_lost_after_a_repair_loses_nothing);
    CPPUNIT_TEST(a_lost_host_is_replaced_by_another);
    CPPUNIT_TEST(two_of_three_blank_hosts_found_nothing);
    CPPUNIT_TEST(messages_survive_the_wire);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against reads from a leader whose promised lease has been broken by a vote.
    void no_vote_while_a_leader_is_heard() {
        check_rule("no vote while a leader is heard", separate_one_from_leader, {},
                   {.m_faults = {.m_ignore_heard_leader = true}});
    }

    // Guards against a process that forgets by restarting what it has promised to the leader.
    void no_vote_right_after_a_restart() {
        check_rule("no vote right after a restart", restart_the_third, {},
                   {.m_faults = {.m_skip_restart_wait = true}});
    }

    // Guards against a lease that ends before the followers' promise only when all clocks have the same rate.
    void the_lease_allows_for_clock_rates() {
        world_options options;
        options.m_extreme_clocks = true;
        options.m_latency_ms = 0;
        options.m_timing.m_largest_election = mangoquay::core::milliseconds(410);
        world_options without_margin = options;
        without_margin.m_timing.m_lease = options.m_timing.m_least_election;
        check_rule("the lease allows for clock rates", lose_a_slow_leader, options, without_margin);
    }

    void one_change_of_members_at_a_time() {
        check_rule("one change of members at a time", change_members_in_a_minority,
                   {.m_hosts = 5, .m_spares = 2},
                   {.m_hosts = 5, .m_spares = 2, .m_faults = {.m_overlapping_changes = true}});
    }

    void learners_count_toward_no_commit() {
        CPPUNIT_ASSERT(rc::check("learners count toward no commit", [] {
            const auto hosts = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
            RC_ASSERT(commits_with_voters_only(hosts, {}));
        }));
        CPPUNIT_ASSERT(!commits_with_voters_only({2}, {.m_count_learners = true}));
    }

    // Guards against a leader that keeps its followers waiting for a disk that hangs.
    void a_leader_with_a_stalled_disk_is_replaced() {
        consensus_world world({}, 7);
        world.run_ms(1500);
        const unsigned stalled = world.from_leader(0);
        world.stall_disk(stalled);
        world.run_ms(200);
        const std::size_t before = world.committed();
        world.run_ms(6000);
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
        CPPUNIT_ASSERT(world.from_leader(0) != stalled);
        CPPUNIT_ASSERT(world.committed() > before + 10);
    }

    void a_second_host_lost_after_a_repair_loses_nothing() {
        consensus_world world({}, 11);
        world.run_ms(1500);
        for (unsigned lost = 0; lost < 6; ++lost) {
            CPPUNIT_ASSERT(world.recovers());
            world.lose_disk(lost % 3);
        }
        CPPUNIT_ASSERT(world.recovers());
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
    }

    void a_lost_host_is_replaced_by_another() {
        consensus_world world({.m_spares = 1}, 13);
        world.run_ms(1500);
        const unsigned lost = (world.from_leader(0) + 1) % 3;
        world.crash(lost);
        world.replace(lost, 3);
        world.run_ms(3000);
        CPPUNIT_ASSERT(world.members_complete());
        CPPUNIT_ASSERT(world.node(3)->members().is_voter(world.node(3)->self()));
    }

    // Guards against a second cell beside one that the two hosts have not heard of.
    void two_of_three_blank_hosts_found_nothing() {
        consensus_world world({.m_blank = true}, 17);
        world.crash(2);
        world.run_ms(5000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.committed());
        world.restart(2);
        world.run_ms(3000);
        CPPUNIT_ASSERT(world.committed() > 0);
    }

    void messages_survive_the_wire() {
        CPPUNIT_ASSERT(rc::check("messages survive the wire", [] {
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
