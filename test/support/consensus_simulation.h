// Several Raft cores with a fake network, fake disks and clocks of their own, under faults that a script
// names. Observes every commit, every election and every leader lease, and keeps the first violation.
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
    crash, // loses a part of what was not synced
    restart,
    freeze, // longer than any lease
    block_one_way,
    isolate,
    heal,
    slow_disk,
    lose_disk,    // only while the members are complete, so that a quorum keeps its disks
    replace_host, // the other host, when it is a spare one, takes the place of the target
    last = replace_host,
};

// Hosts are counted from the present leader, so that scripts hit leaders often.
struct fault_step {
    fault_kind m_kind = fault_kind::none;
    unsigned m_target = 0;
    unsigned m_other = 0;
    bool m_load = false;        // whether the leader gets proposals until the next step
    unsigned m_duration_ms = 0; // until the next step
};

// Every number stands for a step; only kinds up to `last` are used.
fault_step decode_fault(std::uint32_t number, fault_kind last);

std::ostream& operator<<(std::ostream& out, const fault_step& step);

struct simulation_options {
    unsigned m_hosts = 3;
    bool m_empty_disks = false;  // the hosts found the cell themselves
    unsigned m_spare_hosts = 0; // more hosts, which are not members
    raft_faults m_faults = {};
    raft_timing m_timing = {};
    unsigned m_latency_ms = 10;    // at most, but for a few messages; also of a disk
    bool m_extreme_clocks = false; // the first host is 10 % slow, all others 10 % fast
    bool m_keep_disk_id = false;   // planted fault: a lost disk comes back under the same id
};

class consensus_simulation {
public:
    consensus_simulation(simulation_options options, std::uint64_t seed);

    void run_script(const std::vector<fault_step>& script);
    void apply_fault(const fault_step& step);
    void run_for_ms(std::int64_t length);
    // Ends all faults. False when the cell does not commit again, or has lost something.
    bool heal_and_recover();

    [[nodiscard]] const std::string& violation() const { return m_violation; }
    [[nodiscard]] std::size_t committed() const { return m_committed.size(); }
    // The node that leads with the highest term; null when there is none.
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
    void isolate(unsigned host);
    void disconnect(unsigned first, unsigned other); // in both directions
    void freeze(unsigned host, std::int64_t length_ms) {
        m_hosts.at(host).m_frozen_until = m_now_us + 1000 * length_ms;
    }
    void stall_disk(unsigned host) { m_hosts.at(host).m_disk_stalled = true; }
    // The place of the leader, counted on by `distance` places.
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
        std::unique_ptr<raft_node> m_node; // null while crashed
        double m_clock_rate = 1;
        std::int64_t m_frozen_until = 0;
        bool m_slow_disk = false;
        bool m_disk_stalled = false;
        log_index m_applied = 0;
        std::uint64_t m_state = 0; // checksum of everything applied
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
    [[nodiscard]] std::int64_t random_between(std::int64_t least, std::int64_t largest);
    [[nodiscard]] core::time_point local_time(const simulated_host& host) const;
    [[nodiscard]] bool running(const simulated_host& host) const;

    simulation_options m_options;
    std::mt19937_64 m_random;
    std::int64_t m_now_us = 0;
    std::vector<simulated_host> m_hosts;
    std::multimap<std::int64_t, delivery> m_network;
    std::set<std::pair<std::string, std::string>> m_blocked_paths; // from, to
    std::vector<log_entry> m_committed;                   // what any host applied, by index
    std::vector<std::uint64_t> m_states{0};               // checksum after each index
    std::map<raft_term, member> m_leaders;
    bool m_load = true;
    std::uint64_t m_proposed = 0;
    std::string m_violation;
};

} // namespace mangoquay::consensus
