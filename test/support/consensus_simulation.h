// Simulates a cell of Raft cores with a simulated network, simulated disks and individual clocks, under the
// faults of a script. Checks every commit, every election and every leader lease, and records the first
// violation.
#pragma once

#include "consensus/raft_node.h"

#include <deque>
#include <map>
#include <memory>
#include <ostream>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mangoquay::consensus {

enum class fault_kind : std::uint8_t {
    none,
    crash, // Loses a part of the unsynced data.
    restart,
    pause, // Pauses the process for longer than a lease.
    block_one_way,
    isolate,
    heal,
    slow_disk,
    lose_disk,    // Only while the membership is complete, so that a quorum keeps its disks.
    replace_host, // The other host replaces the target if it is a spare.
    last = replace_host,
    leave_host, // The target asks the leader to let a standby take its place. Drawn only where a test says
                // so.
};

// One step of a script. Hosts are numbered relative to the current leader, so that faults affect leaders
// often.
struct fault_step {
    fault_kind m_kind = fault_kind::none;
    unsigned m_target = 0;
    unsigned m_other = 0;
    bool m_load = false;        // Whether the leader receives proposals until the next step.
    unsigned m_duration_ms = 0; // Time until the next step.
};

// Decodes any number to a step of a kind up to `last`.
fault_step decode_fault(std::uint32_t number, fault_kind last);

std::ostream& operator<<(std::ostream& out, const fault_step& step);

struct simulation_options {
    unsigned m_hosts = 3;
    bool m_empty_disks = false; // The hosts start without stored state and bootstrap the cell.
    unsigned m_spare_hosts = 0; // Additional hosts that are not members at first.
    raft_faults m_faults = {};
    raft_timing m_timing = {};
    std::size_t m_voter_target = 0; // See raft_settings.
    unsigned m_latency_ms = 10;     // Maximum latency of disks and of all but a few messages.
    bool m_lossy_network = true;    // Some messages are lost, duplicated or late by up to 2 s.
    bool m_extreme_clocks = false;  // The first host is 10 % slow, all others are 10 % fast.
    bool m_keep_disk_id = false;    // Injected fault: a lost disk returns with the same id.
};

class consensus_simulation {
public:
    consensus_simulation(simulation_options options, std::uint64_t seed);

    void run_script(const std::vector<fault_step>& script);
    void apply_fault(const fault_step& step);
    void run_for_ms(std::int64_t length);
    // Ends all faults. Returns false when the cell does not resume committing within 10 s of simulated time
    // or a violation is found.
    bool heal_and_recover();

    [[nodiscard]] const std::string& violation() const { return m_violation; }
    [[nodiscard]] std::size_t committed() const { return m_committed.size(); }
    // Returns the running leader with the highest term, or null.
    [[nodiscard]] raft_node* leader() {
        const simulated_host* host = leading_host();
        return host ? host->m_node.get() : nullptr;
    }
    [[nodiscard]] bool members_complete();
    [[nodiscard]] raft_node* node(unsigned host) { return m_hosts.at(host).m_node.get(); }
    void lose_disk(unsigned host);
    void crash(unsigned host);
    void restart(unsigned host);
    void replace(unsigned lost, unsigned replacement);
    // Adds the spare host as a learner.
    void admit(unsigned host);
    // The host stops as planned: it hands its place to a standby, for at most 2 s, and ends.
    void leave_and_end(unsigned host);
    void isolate(unsigned host);
    void disconnect(unsigned first, unsigned other); // In both directions.
    void pause(unsigned host, std::int64_t length_ms) {
        m_hosts.at(host).m_paused_until = m_now_us + 1000 * length_ms;
    }
    void stall_disk(unsigned host) { m_hosts.at(host).m_disk_stalled = true; }
    // Returns the index of the host `distance` positions after the leader, wrapping around.
    [[nodiscard]] unsigned host_after_leader(unsigned distance);

private:
    struct stored_action {
        std::int64_t m_due = 0;
        raft_action m_action;
    };
    struct simulated_host {
        core::entry_host_id m_id;
        recovered_state m_disk;
        std::deque<stored_action> m_unsynced;
        std::unique_ptr<raft_node> m_node; // Null while crashed.
        double m_clock_rate = 1;
        std::int64_t m_paused_until = 0;
        bool m_slow_disk = false;
        bool m_disk_stalled = false;
        log_index m_applied = 0;
        std::uint64_t m_state = 0; // Checksum of all applied entries.
        log_index m_last_snapshot = 0;
        unsigned m_disk_count = 1;
    };
    struct delivery {
        std::size_t m_to = 0;
        message_received m_event;
    };

    simulated_host* leading_host();
    void advance();
    void advance_host(std::size_t index);
    void deliver_due();
    void complete_storage(simulated_host& host);
    void step(simulated_host& host, const raft_event& event);
    void handle(simulated_host& host, raft_action& action);
    void transmit(const simulated_host& from, const send_message& action);
    void commit(simulated_host& host, const log_entry& entry);
    void restore(simulated_host& host, const restore_state& action);
    void check_leases();
    void fail(const std::string& text);
    [[nodiscard]] std::int64_t random_between(std::int64_t min_value, std::int64_t max_value);
    [[nodiscard]] core::time_point local_time(const simulated_host& host) const;
    [[nodiscard]] bool running(const simulated_host& host) const;

    simulation_options m_options;
    std::mt19937_64 m_random;
    std::int64_t m_now_us = 0;
    std::vector<simulated_host> m_hosts;
    std::multimap<std::int64_t, delivery> m_network;
    std::set<std::pair<std::string, std::string>> m_blocked_paths; // Pairs of sender and receiver.
    std::vector<log_entry> m_committed;                            // Entries applied by any host, by index.
    std::vector<std::uint64_t> m_states{0};                        // Checksum after each index.
    std::map<raft_term, member> m_leaders;
    bool m_load = true;
    std::uint64_t m_proposed = 0;
    std::string m_violation;
};

} // namespace mangoquay::consensus
