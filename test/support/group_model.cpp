// Model of a database group: proxies, replication and faults.
#include "support/group_model.h"

namespace mangoquay::testing {

using core::milliseconds;

group_model::group_model(script& steps, int databases, injected_fault fault)
    : m_steps(steps), m_injected_fault(fault) {
    m_databases.resize(static_cast<std::size_t>(databases));
    for (int index = 0; index < 3; ++index) {
        model_proxy proxy;
        proxy.m_host = core::entry_host_id{"p" + std::to_string(index)};
        commit(control::register_proxy{proxy.m_host, {{}, {}, {}, core::incarnation{1}}});
        m_proxies.push_back(std::move(proxy));
    }
    for (int index = 0; index < databases; ++index) {
        const auto role = index == 0 ? control::endpoint_role::primary : control::endpoint_role::replica;
        commit(control::announce_endpoint{id_of(index), m_group, {}, {}, role, core::term{1}, 1, 2});
        commit(control::assign_owner{id_of(index), m_proxies[index % 3].m_host, core::owner_epoch{1}});
        m_databases[index].m_follows = index == 0 ? -1 : 0;
    }
    m_databases[0].m_in_recovery = false;
    m_leases.on_elected(m_now, m_state);
    m_core.on_elected(m_now, m_state);
}

void group_model::commit(const control::command& change) {
    const auto outcome = control::apply(m_state, change, core::revision{m_state.m_revision.value() + 1});
    m_committed.push_back(change);
    m_promotions += outcome.m_accepted && std::holds_alternative<control::finish_promotion>(change) ? 1 : 0;
}

void group_model::enqueue_actions(failover::actions requested) {
    for (failover::action& action : requested) {
        m_actions.push_back({m_leader, std::move(action)});
    }
}

void group_model::tick() {
    const bool without_leases =
        m_injected_fault == injected_fault::skips_wait_for_effect && record().m_promotion_in_progress;
    enqueue_actions(m_core.tick(m_now, m_state, without_leases ? m_empty_leases : m_leases));
}

std::string group_model::run() {
    while (!m_steps.finished()) {
        run_random_event();
        std::string violation_text = violation();
        if (!violation_text.empty()) {
            return violation_text;
        }
    }
    return "";
}

std::string group_model::violation() const {
    if (!m_acknowledgement_violation.empty()) {
        return m_acknowledgement_violation;
    }
    if (record().m_promotion_in_progress) {
        return "";
    }
    const auto& log = m_databases[index_of(record().m_primary)].m_log;
    const std::set<int> held(log.begin(), log.end());
    const bool all_present =
        std::includes(held.begin(), held.end(), m_acknowledged.begin(), m_acknowledged.end());
    return all_present ? "" : "an acknowledged write is not in the history of the primary";
}

void group_model::run_random_event() {
    model_proxy& proxy = m_proxies[m_steps.next_below(3)];
    switch (m_steps.next_below(16)) {
    case 0:
    case 1:
        m_now += milliseconds(m_steps.one_in(30) ? 1300 : 10 + m_steps.next_below(60));
        tick();
        break;
    case 2:
    case 3:
        replicate(random_database());
        break;
    case 4:
    case 5:
        heartbeat(proxy);
        break;
    case 6:
        apply_commands(proxy, 1 + m_steps.next_below(4));
        break;
    case 7:
    case 8:
        write(proxy);
        break;
    case 9:
        poll_replicas(proxy);
        break;
    case 10:
        acknowledge(proxy);
        break;
    case 11:
    case 12:
        if (!m_actions.empty()) {
            const auto pending = static_cast<std::uint32_t>(m_actions.size());
            execute_action(m_steps.one_in(4) ? m_steps.next_below(pending) : 0);
        }
        break;
    case 13:
        deliver_answer();
        break;
    case 14:
        m_steps.one_in(3) ? cause_fault() : run_fault_free_round();
        break;
    default:
        m_steps.one_in(4) ? rewind(random_database()) : replicate(random_database());
    }
}

void group_model::cause_fault() {
    database& random_target = m_databases[random_database()];
    const auto primary = record().m_primary;
    // Most faults affect the primary, because only those lead to promotions.
    database& target =
        !primary.value().empty() && m_steps.one_in(2) ? m_databases[index_of(primary)] : random_target;
    model_proxy& proxy = m_proxies[m_steps.next_below(3)];
    switch (m_steps.next_below(12)) {
    case 0:
        target.m_alive = false;
        break;
    case 1:
        target.m_unreachable_from_leader = !target.m_unreachable_from_leader;
        break;
    case 2:
        target.m_unreachable_from_proxies = !target.m_unreachable_from_proxies;
        break;
    case 3:
        target.m_in_second_partition = !target.m_in_second_partition;
        break;
    case 4:
        change_leader();
        break;
    case 5:
        random_target.m_checkpoint_term = random_target.m_term;
        break;
    case 6: {
        const int index = random_database();
        const auto epoch = m_state.m_endpoints.at(id_of(index)).m_owner_epoch.value() + 1;
        commit(control::assign_owner{id_of(index), m_proxies[m_steps.next_below(3)].m_host,
                                     core::owner_epoch{epoch}});
        break;
    }
    case 7:
        proxy.m_acknowledgements_paused = !proxy.m_acknowledgements_paused;
        break;
    case 8:
        proxy.m_paused = !proxy.m_paused;
        if (!proxy.m_paused) {
            acknowledge(proxy); // Acknowledgements run first after the pause.
        }
        break;
    default: // Repairs are about as frequent as faults.
        heal(random_target);
    }
}

void group_model::heal(database& server) {
    server.m_alive = true;
    server.m_unreachable_from_leader = server.m_unreachable_from_proxies = server.m_in_second_partition =
        false;
}

// Proposals of the old leader either commit before the new one starts or never; its steps remain in flight.
void group_model::change_leader() {
    std::vector<in_flight<failover::action>> steps;
    for (auto& pending : m_actions) {
        if (const auto* proposal = std::get_if<failover::propose>(&pending.m_message)) {
            if (m_steps.one_in(2)) {
                commit(proposal->m_command);
            }
        } else {
            steps.push_back(std::move(pending));
        }
    }
    m_actions = std::move(steps);
    ++m_leader;
    m_leases.on_elected(m_now, m_state);
    m_core.on_elected(m_now, m_state);
}

void group_model::replicate(int follower) {
    database& to = m_databases[follower];
    to.m_streaming = false;
    if (to.m_follows < 0 || !to.m_in_recovery || !to.m_alive) {
        return;
    }
    const database& from = m_databases[to.m_follows];
    if (!from.m_alive || from.m_in_recovery || from.m_in_second_partition != to.m_in_second_partition ||
        from.m_term < to.m_term || !is_prefix(to.m_log, from.m_log)) {
        return;
    }
    to.m_streaming = true;
    to.m_term = from.m_term;
    const std::size_t batch = m_steps.finished() ? from.m_log.size() : m_steps.next_below(4);
    const std::size_t more = std::min<std::size_t>(from.m_log.size() - to.m_log.size(), batch);
    to.m_log.insert(to.m_log.end(), from.m_log.begin() + static_cast<std::ptrdiff_t>(to.m_log.size()),
                    from.m_log.begin() + static_cast<std::ptrdiff_t>(to.m_log.size() + more));
}

failover::endpoint_status group_model::status_of(const database& target) const {
    const bool exact = !target.m_in_recovery || target.m_streaming;
    const std::uint32_t term = exact ? target.m_term : target.m_checkpoint_term;
    const core::log_position position{target.m_log.size()};
    return {target.m_in_recovery, {core::term{term}, position}, position, target.m_streaming};
}

membership::endpoint_report group_model::report_of(model_proxy& proxy, int index) {
    const database& target = m_databases[index];
    membership::endpoint_report report;
    report.m_endpoint = id_of(index);
    report.m_reachable = target.m_alive && !target.m_unreachable_from_proxies;
    if (!report.m_reachable) {
        return report;
    }
    report.m_lock_held = true;
    const auto status = status_of(target);
    std::uint32_t& seen = proxy.m_seen_terms[index];
    seen = std::max(seen, status.m_position.m_term.value());
    report.m_position = {core::term{seen}, status.m_position.m_position};
    report.m_follows = target.m_streaming ? id_of(target.m_follows) : core::endpoint_id{};
    const bool hidden = m_injected_fault == injected_fault::hides_writes_in_flight;
    report.m_writes_in_flight = hidden ? 0 : static_cast<std::uint32_t>(proxy.m_unacknowledged.size());
    report.m_writes_stalled = !proxy.m_unacknowledged.empty();
    return report;
}

void group_model::heartbeat(model_proxy& proxy) {
    if (proxy.m_paused) {
        return;
    }
    membership::heartbeat beat;
    beat.m_host = proxy.m_host;
    beat.m_incarnation = core::incarnation{1};
    beat.m_number = proxy.m_lease.record_heartbeat_sent(m_now);
    beat.m_applied = proxy.m_view.m_revision;
    for (int index = 0; index < static_cast<int>(m_databases.size()); ++index) {
        const auto endpoint = proxy.m_view.m_endpoints.find(id_of(index));
        if (endpoint != proxy.m_view.m_endpoints.end() && endpoint->second.m_owner == proxy.m_host) {
            beat.m_health.push_back(report_of(proxy, index));
        }
    }
    if (m_steps.one_in(6)) {
        return; // The message is lost.
    }
    const bool accepted = m_leases.on_heartbeat(m_now, m_state, beat, true);
    m_core.on_heartbeat(m_now, m_state, beat);
    tick();
    if (accepted && !m_steps.one_in(6)) {
        proxy.m_lease.on_lease_granted(core::incarnation{1}, beat.m_number);
    }
}

void group_model::apply_commands(model_proxy& proxy, std::size_t max_count) {
    for (std::size_t count = 0; !proxy.m_paused && count < max_count && proxy.m_applied < m_committed.size();
         ++count) {
        const core::revision next_revision{proxy.m_view.m_revision.value() + 1};
        control::apply(proxy.m_view, m_committed[proxy.m_applied++], next_revision);
    }
}

void group_model::write(model_proxy& proxy) {
    if (proxy.m_paused) {
        return;
    }
    const auto group = proxy.m_view.m_groups.find(m_group);
    if (group == proxy.m_view.m_groups.end() || group->second.m_primary.value().empty() ||
        group->second.m_writes_held) {
        return;
    }
    const auto& endpoint = proxy.m_view.m_endpoints.at(group->second.m_primary);
    const int index = index_of(group->second.m_primary);
    database& target = m_databases[index];
    if (endpoint.m_owner != proxy.m_host || !target.m_alive || target.m_unreachable_from_proxies ||
        target.m_in_recovery || endpoint.m_owner_epoch < target.m_session_epoch) {
        return;
    }
    target.m_session_epoch = endpoint.m_owner_epoch;
    target.m_log.push_back(m_next_entry);
    proxy.m_unacknowledged.push_back({m_next_entry++, index, target.m_log.size(), target.m_term, {}});
}

void group_model::poll_replicas(model_proxy& proxy) {
    for (unacknowledged_write& write : proxy.m_unacknowledged) {
        const database& target = m_databases[write.m_database];
        if (proxy.m_paused || !target.m_alive || target.m_unreachable_from_proxies ||
            target.m_term != write.m_term) {
            continue;
        }
        for (int index = 0; index < static_cast<int>(m_databases.size()); ++index) {
            const database& other = m_databases[index];
            if (other.m_alive && other.m_streaming && other.m_follows == write.m_database &&
                other.m_log.size() >= write.m_position && is_prefix(other.m_log, target.m_log)) {
                write.m_confirmed_replicas.insert(id_of(index));
            }
        }
    }
}

// Counts against the members in the proxy's view at the time of the acknowledgement: replicas that formed a
// quorum while the group had fewer members may no longer suffice.
bool group_model::held_by_quorum(const model_proxy& proxy, const unacknowledged_write& write) const {
    const auto& members = proxy.m_view.m_groups.at(m_group).m_members;
    const auto holding = std::count_if(write.m_confirmed_replicas.begin(), write.m_confirmed_replicas.end(),
                                       [&](const auto& id) { return members.contains(id); });
    return m_injected_fault == injected_fault::acknowledges_without_quorum ||
           static_cast<std::size_t>(holding) + 1 >= failover::quorum_size(members.size());
}

void group_model::acknowledge(model_proxy& proxy) {
    const auto& group = proxy.m_view.m_groups.find(m_group);
    if (group == proxy.m_view.m_groups.end() || proxy.m_paused || proxy.m_acknowledgements_paused ||
        (!proxy.m_lease.valid(m_now) && m_injected_fault != injected_fault::acknowledges_without_lease)) {
        return;
    }
    std::erase_if(proxy.m_unacknowledged, [&](const unacknowledged_write& write) {
        const bool is_current = group->second.m_term == core::term{write.m_term} &&
                                group->second.m_primary == id_of(write.m_database);
        if (!is_current && m_injected_fault != injected_fault::acknowledges_replaced_term) {
            return true; // The caller is answered may_have_run.
        }
        const bool held = held_by_quorum(proxy, write);
        if (held) {
            m_acknowledged.insert(write.m_entry);
            if (!record().m_promotion_in_progress && core::term{write.m_term} < record().m_term) {
                m_acknowledgement_violation = "a write was acknowledged under a replaced term";
            }
        }
        return held;
    });
}

} // namespace mangoquay::testing
