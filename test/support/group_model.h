// A database group, three proxies and a control leader, driven by a script: crashes, cuts, pauses, changes of
// leader and owner, delayed steps and answers. The failover core runs unchanged; everything around it is a
// model.
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
    skips_wait_for_effect,       // promotes before the old term has ended everywhere
    acknowledges_without_lease,  // a proxy does not check its lease when it acknowledges
    acknowledges_without_quorum, // ... or does not wait for replicas
    acknowledges_replaced_term,  // ... or does not compare the term with its view
    hides_writes_in_flight,      // an owner reports no write in flight
};

struct database {
    bool m_alive = true;
    bool m_unreachable_from_leader = false;
    bool m_unreachable_from_proxies = false;
    bool m_in_second_partition = false; // of a cut between databases: replication needs both on the same side
    bool m_in_recovery = true;
    bool m_streaming = false;
    std::uint32_t m_term = 1;
    std::uint32_t m_checkpoint_term = 1; // what a replica reports while it does not stream
    int m_follows = -1;
    std::vector<int> m_log; // entries are unique, so equal entries at an index mean equal history up to it
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
    std::set<core::endpoint_id> m_confirmed_replicas{}; // replicas seen to hold it under its term
};

struct model_proxy {
    core::entry_host_id m_host;
    control::control_state m_view = control::initial_state();
    std::size_t m_applied = 0;
    membership::proxy_lease m_lease{core::incarnation{1}};
    std::vector<unacknowledged_write> m_unacknowledged;
    std::map<int, std::uint32_t> m_seen_terms;
    bool m_paused = false;                  // the whole process
    bool m_acknowledgements_paused = false; // only acknowledgements
};

class group_model {
public:
    group_model(script& steps, int databases, injected_fault fault);

    std::string run();
    // After all faults have healed a promotion that was begun ends and a write can be acknowledged.
    std::string heal_and_finish();
    // The primary is drained in a healthy system: another member takes over, and no write that was in flight
    // is left without an acknowledgement.
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
        return static_cast<int>(m_steps.below(static_cast<std::uint32_t>(m_databases.size())));
    }
    [[nodiscard]] const control::group_record& record() const { return m_state.m_groups.at(m_group); }

    void commit(const control::command& change);
    void tick();
    void heal(database& one);
    void enqueue_actions(failover::actions wanted);
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
    void answer_proxy_probe(const failover::request_proxy_probe& ask);
    void rewind(int index);
    void run_fault_free_round();
    [[nodiscard]] membership::endpoint_report report_of(model_proxy& proxy, int index);
    [[nodiscard]] failover::endpoint_status status_of(const database& of) const;
    [[nodiscard]] std::string violation() const;
    [[nodiscard]] bool held_by_quorum(const model_proxy& proxy, const unacknowledged_write& write) const;
    // A step's effect; false: refused.
    bool apply_step(const failover::action& wanted, std::uint64_t leader, database& at);

    script& m_steps;
    injected_fault m_injected_fault;
    core::group_id m_group{"g"};
    core::time_point m_now{std::chrono::hours(1)};
    control::control_state m_state = control::initial_state();
    std::vector<control::command> m_committed;
    std::vector<database> m_databases;
    std::vector<model_proxy> m_proxies;
    membership::lease_table m_leases;
    membership::lease_table m_empty_leases; // for planted::no_wait_in_force: everything is in force at once
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
