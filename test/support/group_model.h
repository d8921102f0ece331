// Model of a database group, three proxies and a control leader, driven by a script of crashes, network
// partitions, pauses, changes of leader and owner, and delayed steps and answers. The failover core is the
// production code; everything around it is a model.
#pragma once

#include "control/apply.h"
#include "failover/failover_core.h"
#include "membership/proxy_lease.h"
#include "support/scripted_property.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mangoquay::testing {

enum class injected_fault {
    none,
    skips_wait_for_effect,       // The leader promotes before the old term has ended everywhere.
    acknowledges_without_lease,  // A proxy does not check its lease when it acknowledges.
    acknowledges_without_quorum, // A proxy does not wait for replicas.
    acknowledges_replaced_term,  // A proxy does not compare the term with its view.
    hides_writes_in_flight,      // An owner reports no writes in flight.
};

struct database {
    bool m_alive = true;
    bool m_unreachable_from_leader = false;
    bool m_unreachable_from_proxies = false;
    // Side of a network partition between databases; replication requires both on the same side.
    bool m_in_second_partition = false;
    bool m_in_recovery = true;
    bool m_streaming = false;
    std::uint32_t m_term = 1;
    std::uint32_t m_checkpoint_term = 1; // Term that a replica reports while it does not stream.
    int m_follows = -1;
    // Entries are unique, so equal entries at an index imply equal history up to it.
    std::vector<int> m_log;
    // Leader and attempt of the latest step; steps with lower numbers are refused.
    std::pair<std::uint64_t, std::uint64_t> m_last_step;
    core::owner_epoch m_session_epoch;
};

inline bool is_prefix(const std::vector<int>& part, const std::vector<int>& whole) {
    return part.size() <= whole.size() && (part.empty() || part.back() == whole[part.size() - 1]);
}

struct unacknowledged_write {
    int m_entry = 0;
    int m_database = 0;
    std::size_t m_position = 0;
    std::uint32_t m_term = 0;
    // Replicas that were observed to hold it under its term.
    std::set<core::endpoint_id> m_confirmed_replicas{};
};

struct model_proxy {
    core::entry_host_id m_host;
    control::control_state m_view = control::initial_state();
    std::size_t m_applied = 0;
    membership::proxy_lease m_lease{core::incarnation{1}};
    std::vector<unacknowledged_write> m_unacknowledged;
    std::map<int, std::uint32_t> m_seen_terms;
    bool m_paused = false;                  // The whole process is paused.
    bool m_acknowledgements_paused = false; // Only acknowledgements are paused.
};

class group_model {
public:
    group_model(script& steps, int databases, injected_fault fault);

    // The functions that drive the model return a description of the violation, or an empty string.

    std::string run();
    // Checks that, once all faults have ended, a promotion in progress finishes and writes are acknowledged.
    std::string heal_and_finish();
    // Drains the primary of a healthy group. Checks that another member takes over and that every write in
    // flight is acknowledged.
    std::string hand_over();

    [[nodiscard]] int promotions() const { return m_promotions; }
    [[nodiscard]] std::size_t acknowledged() const { return m_acknowledged.size(); }

private:
    template <class Message>
    struct in_flight {
        std::uint64_t m_leader = 0;
        Message m_message;
    };

    static core::endpoint_id id_of(int index) { return core::endpoint_id{"e" + std::to_string(index)}; }
    static int index_of(const core::endpoint_id& id) { return std::stoi(id.value().substr(1)); }
    int random_database() {
        return static_cast<int>(m_steps.next_below(static_cast<std::uint32_t>(m_databases.size())));
    }
    [[nodiscard]] const control::group_record& record() const { return m_state.m_groups.at(m_group); }

    void commit(const control::command& change);
    void tick();
    void heal(database& server);
    void enqueue_actions(failover::actions requested);
    void run_random_event();
    void cause_fault();
    void change_leader();
    void replicate(int follower);
    void heartbeat(model_proxy& proxy);
    void apply_commands(model_proxy& proxy, std::size_t max_count);
    void write(model_proxy& proxy);
    void poll_replicas(model_proxy& proxy);
    void acknowledge(model_proxy& proxy);
    void execute_action(std::size_t index);
    void deliver_answer();
    void answer_proxy_probe(const failover::request_proxy_probe& probe_request);
    void rewind(int index);
    void run_fault_free_round();
    [[nodiscard]] membership::endpoint_report report_of(model_proxy& proxy, int index);
    [[nodiscard]] failover::endpoint_status status_of(const database& target) const;
    [[nodiscard]] std::string violation() const;
    [[nodiscard]] bool held_by_quorum(const model_proxy& proxy, const unacknowledged_write& write) const;
    // Applies a step to its target; returns false if the step is refused.
    bool apply_step(const failover::action& requested, std::uint64_t leader, database& target);

    script& m_steps;
    injected_fault m_injected_fault;
    core::group_id m_group{"g"};
    core::time_point m_now{std::chrono::hours(1)};
    control::control_state m_state = control::initial_state();
    std::vector<control::command> m_committed;
    std::vector<database> m_databases;
    std::vector<model_proxy> m_proxies;
    membership::lease_table m_leases;
    // For injected_fault::skips_wait_for_effect: without leases every revision is in effect immediately.
    membership::lease_table m_empty_leases;
    failover::failover_core m_core;
    std::uint64_t m_leader = 1;
    std::vector<in_flight<failover::action>> m_actions;
    std::vector<in_flight<failover::step_answer>> m_answers;
    std::set<int> m_acknowledged;
    std::string m_acknowledgement_violation;
    int m_next_entry = 1;
    int m_promotions = 0;
};

} // namespace mangoquay::testing
