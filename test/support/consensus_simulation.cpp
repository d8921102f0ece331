// Simulated time advances in steps of 5 ms; the clock rates of the hosts deviate from it by up to 10 %.
#include "support/consensus_simulation.h"

#include <algorithm>
#include <utility>

namespace mangoquay::consensus {
namespace {

constexpr std::int64_t step_us = 5000;
constexpr log_index snapshot_interval = 30;

void write_to_disk(recovered_state& disk, const raft_action& action) {
    if (const auto* state = std::get_if<save_hard_state>(&action)) {
        disk.m_hard_state = state->m_state;
    } else if (const auto* taken = std::get_if<save_snapshot>(&action)) {
        disk.m_snapshot = taken->m_snapshot;
        disk.m_entries = taken->m_kept;
    } else if (const auto* received = std::get_if<install_snapshot>(&action)) {
        disk.m_snapshot = received->m_snapshot;
        disk.m_entries.clear();
    } else if (const auto* appended = std::get_if<append_entries>(&action)) {
        const log_index first = appended->m_entries.front().m_index;
        std::erase_if(disk.m_entries, [first](const log_entry& entry) { return entry.m_index >= first; });
        disk.m_entries.insert(disk.m_entries.end(), appended->m_entries.begin(), appended->m_entries.end());
    }
}

std::uint64_t sequence_of(const raft_action& action) {
    return std::visit(
        []<class Action>(const Action& alternative) -> std::uint64_t {
            if constexpr (requires { alternative.m_sequence; }) {
                return alternative.m_sequence;
            } else {
                return 0;
            }
        },
        action);
}

std::uint64_t next_checksum(std::uint64_t state, const log_entry& entry) {
    return state * 1099511628211U + std::hash<std::string>{}(entry.m_payload) + entry.m_term.value();
}

} // namespace

std::ostream& operator<<(std::ostream& out, const fault_step& step) {
    return out << static_cast<int>(step.m_kind) << '(' << step.m_target << ',' << step.m_other << ") "
               << (step.m_load ? "load " : "") << step.m_duration_ms << "ms";
}

fault_step decode_fault(std::uint32_t number, fault_kind last) {
    const auto take = [&number](unsigned count) { return std::exchange(number, number / count) % count; };
    const auto kind = static_cast<fault_kind>(take(static_cast<unsigned>(last) + 1));
    const unsigned target = take(6);
    const unsigned other = take(6);
    const bool load = take(2) != 0;
    return {kind, target, other, load, 10 + take(900)};
}

consensus_simulation::consensus_simulation(simulation_options options, std::uint64_t seed)
    : m_options(options), m_random(seed), m_hosts(options.m_hosts + options.m_spare_hosts) {
    membership initial_members;
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        simulated_host& host = m_hosts[index];
        host.m_id = core::entry_host_id("host" + std::to_string(index));
        host.m_disk.m_disk = disk_id(host.m_id.value() + "/1");
        const std::int64_t extreme = index == 0 ? 90 : 110;
        const std::int64_t percent = m_options.m_extreme_clocks ? extreme : random_between(90, 110);
        host.m_clock_rate = 0.01 * static_cast<double>(percent);
        if (index < m_options.m_hosts) {
            initial_members.m_voters.insert({host.m_id, host.m_disk.m_disk});
        }
    }
    for (unsigned index = 0; index < m_hosts.size(); ++index) {
        if (!m_options.m_empty_disks && index < m_options.m_hosts) {
            recovered_state& disk = m_hosts[index].m_disk;
            disk.m_hard_state.m_term = raft_term(1);
            disk.m_entries = {{raft_term(1), 1, entry_kind::members, encode_membership(initial_members)}};
        }
        restart(index);
    }
}

std::int64_t consensus_simulation::random_between(std::int64_t min_value, std::int64_t max_value) {
    return min_value +
           static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(max_value - min_value + 1));
}

core::time_point consensus_simulation::local_time(const simulated_host& host) const {
    const double local = static_cast<double>(m_now_us) * host.m_clock_rate;
    return core::time_point{} + core::microseconds(1'000'000'000 + static_cast<std::int64_t>(local));
}

bool consensus_simulation::running(const simulated_host& host) const {
    return host.m_node && host.m_paused_until <= m_now_us;
}

void consensus_simulation::fail(const std::string& text) {
    if (m_violation.empty()) {
        m_violation = text;
    }
}

void consensus_simulation::crash(unsigned index) {
    simulated_host& host = m_hosts.at(index);
    if (!host.m_node) {
        return;
    }
    // A random prefix of the unsynced actions may have reached the disk.
    const auto reached = random_between(0, static_cast<std::int64_t>(host.m_unsynced.size()));
    for (std::int64_t count = 0; count < reached; ++count) {
        write_to_disk(host.m_disk, host.m_unsynced[static_cast<std::size_t>(count)].m_action);
    }
    host.m_unsynced.clear();
    host.m_node.reset();
    host.m_paused_until = 0;
}

void consensus_simulation::restart(unsigned index) {
    simulated_host& host = m_hosts.at(index);
    if (host.m_node) {
        return;
    }
    raft_settings settings;
    settings.m_self = {host.m_id, host.m_disk.m_disk};
    for (unsigned listed = 0; listed < m_options.m_hosts; ++listed) {
        settings.m_initial_hosts.insert(core::entry_host_id("host" + std::to_string(listed)));
    }
    settings.m_timing = m_options.m_timing;
    settings.m_faults = m_options.m_faults;
    settings.m_voter_target = m_options.m_voter_target;
    settings.m_limits = {.m_max_append_bytes = 200,
                         .m_snapshot_chunk_bytes = 8,
                         .m_max_unacknowledged = 20,
                         .m_kept_entries = 5};
    settings.m_seed = m_random();
    host.m_applied = 0;
    host.m_state = 0;
    host.m_last_snapshot = host.m_disk.m_snapshot.m_index;
    host.m_node = std::make_unique<raft_node>(settings, host.m_disk, local_time(host));
    step(host, tick{});
}

void consensus_simulation::lose_disk(unsigned index) {
    crash(index);
    simulated_host& host = m_hosts.at(index);
    const disk_id old = host.m_disk.m_disk;
    host.m_disk = {};
    host.m_disk.m_disk = m_options.m_keep_disk_id
                             ? old
                             : disk_id(host.m_id.value() + "/" + std::to_string(++host.m_disk_count));
    restart(index);
}

void consensus_simulation::replace(unsigned lost, unsigned replacement) {
    if (simulated_host* host = leading_host()) {
        step(*host, replace_host{m_hosts.at(lost).m_id, m_hosts.at(replacement).m_id});
    }
}

void consensus_simulation::admit(unsigned host) {
    if (simulated_host* leading = leading_host()) {
        step(*leading, replace_host{{}, m_hosts.at(host).m_id});
    }
}

void consensus_simulation::leave_and_end(unsigned index) {
    constexpr std::int64_t limit_us = 2'000'000;
    constexpr std::int64_t request_interval_ms = 50;
    const std::int64_t end = m_now_us + limit_us;
    simulated_host& host = m_hosts.at(index);
    while (m_now_us < end && host.m_node->members().is_voter(host.m_node->self())) {
        if (host.m_node->is_leader()) {
            step(host, abdicate{});
        } else if (simulated_host* leading = leading_host()) {
            step(*leading, host_leaving{host.m_id});
        }
        run_for_ms(request_interval_ms);
    }
    crash(index);
}

void consensus_simulation::isolate(unsigned index) {
    for (unsigned other = 0; other < m_hosts.size(); ++other) {
        disconnect(index, other);
    }
}

void consensus_simulation::disconnect(unsigned first, unsigned other) {
    m_blocked_paths.insert({m_hosts.at(first).m_id.value(), m_hosts.at(other).m_id.value()});
    m_blocked_paths.insert({m_hosts.at(other).m_id.value(), m_hosts.at(first).m_id.value()});
}

unsigned consensus_simulation::host_after_leader(unsigned distance) {
    const simulated_host* leading = leading_host();
    const auto base = leading ? static_cast<unsigned>(leading - m_hosts.data()) : 0U;
    return (base + distance) % static_cast<unsigned>(m_hosts.size());
}

consensus_simulation::simulated_host* consensus_simulation::leading_host() {
    simulated_host* found = nullptr;
    for (simulated_host& host : m_hosts) {
        const bool leads = running(host) && host.m_node->is_leader();
        if (leads && (!found || host.m_node->current_term() > found->m_node->current_term())) {
            found = &host;
        }
    }
    return found;
}

// Returns whether all voters have the disks that the membership lists and the last membership change is
// committed.
bool consensus_simulation::members_complete() {
    const simulated_host* host = leading_host();
    const raft_node* leading = host ? host->m_node.get() : nullptr;
    if (!leading || leading->log().members_index() > leading->commit_index() ||
        leading->members().m_voters.size() != m_options.m_hosts || !leading->holds_lease(local_time(*host))) {
        return false;
    }
    return std::ranges::all_of(leading->members().m_voters, [this](const member& voter) {
        return std::ranges::any_of(m_hosts, [&voter](const simulated_host& host) {
            return host.m_id == voter.m_host && host.m_disk.m_disk == voter.m_disk;
        });
    });
}

void consensus_simulation::apply_fault(const fault_step& fault) {
    const unsigned target = host_after_leader(fault.m_target);
    const unsigned other = host_after_leader(fault.m_other);
    m_load = fault.m_load;
    switch (fault.m_kind) {
    case fault_kind::none:
        break;
    case fault_kind::crash:
        crash(target);
        break;
    case fault_kind::restart:
        restart(target);
        break;
    case fault_kind::pause:
        pause(target, random_between(300, 2500));
        break;
    case fault_kind::block_one_way:
        m_blocked_paths.insert({m_hosts[target].m_id.value(), m_hosts[other].m_id.value()});
        break;
    case fault_kind::isolate:
        isolate(target);
        break;
    case fault_kind::heal:
        m_blocked_paths.clear();
        break;
    case fault_kind::slow_disk:
        m_hosts[target].m_slow_disk = !m_hosts[target].m_slow_disk;
        break;
    case fault_kind::lose_disk:
        if (members_complete()) {
            lose_disk(target);
        }
        break;
    case fault_kind::replace_host:
        if (members_complete()) {
            replace(target, other);
        }
        break;
    case fault_kind::leave_host:
        if (simulated_host* leading = leading_host()) {
            step(*leading, host_leaving{m_hosts[target].m_id});
        }
        break;
    }
}

void consensus_simulation::run_script(const std::vector<fault_step>& script) {
    run_for_ms(1200);
    for (const fault_step& fault : script) {
        apply_fault(fault);
        run_for_ms(fault.m_duration_ms);
    }
}

void consensus_simulation::run_for_ms(std::int64_t length) {
    const std::int64_t end = m_now_us + length * 1000;
    while (m_now_us < end && m_violation.empty()) {
        advance();
    }
}

bool consensus_simulation::heal_and_recover() {
    m_blocked_paths.clear();
    m_load = true;
    for (unsigned index = 0; index < m_hosts.size(); ++index) {
        m_hosts[index].m_paused_until = 0;
        m_hosts[index].m_slow_disk = false;
        m_hosts[index].m_disk_stalled = false;
        restart(index);
    }
    const std::size_t before = committed();
    for (unsigned attempt = 0; attempt < 100 && m_violation.empty(); ++attempt) {
        run_for_ms(100);
        const raft_node* leading = leader();
        if (leading && committed() > before + 1 && leading->applied_index() == committed() &&
            members_complete()) {
            return true;
        }
    }
    return false;
}

void consensus_simulation::advance() {
    m_now_us += step_us;
    // A resumed process may handle its timers or its sockets first.
    const bool sockets_first = random_between(0, 1) == 0;
    if (sockets_first) {
        deliver_due();
    }
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        advance_host(index);
    }
    if (!sockets_first) {
        deliver_due();
    }
    check_leases();
}

void consensus_simulation::advance_host(std::size_t index) {
    simulated_host& host = m_hosts[index];
    if (!running(host)) {
        return;
    }
    complete_storage(host);
    if (host.m_node->next_tick() <= local_time(host)) {
        step(host, tick{});
    }
    if (m_load && host.m_node->is_leader() && random_between(0, 5) == 0) {
        step(host, propose_batch{{std::to_string(++m_proposed)}});
    }
    if (host.m_applied >= host.m_last_snapshot + snapshot_interval) {
        host.m_last_snapshot = host.m_applied;
        step(host, snapshot_taken{std::to_string(host.m_state)});
    }
}

void consensus_simulation::deliver_due() {
    while (!m_network.empty() && m_network.begin()->first <= m_now_us) {
        const delivery due = std::move(m_network.begin()->second);
        m_network.erase(m_network.begin());
        simulated_host& host = m_hosts[due.m_to];
        if (running(host)) {
            step(host, due.m_event);
        } else if (host.m_node) {
            m_network.insert({host.m_paused_until, due}); // Waits in the socket of the paused process.
        }
    }
}

void consensus_simulation::complete_storage(simulated_host& host) {
    std::uint64_t synced = 0;
    while (!host.m_disk_stalled && !host.m_unsynced.empty() && host.m_unsynced.front().m_due <= m_now_us) {
        write_to_disk(host.m_disk, host.m_unsynced.front().m_action);
        synced = sequence_of(host.m_unsynced.front().m_action);
        host.m_unsynced.pop_front();
    }
    if (synced != 0) {
        step(host, storage_synced{synced});
    }
}

void consensus_simulation::step(simulated_host& host, const raft_event& event) {
    for (raft_action& action : host.m_node->step(event, local_time(host))) {
        handle(host, action);
    }
}

void consensus_simulation::handle(simulated_host& host, raft_action& action) {
    if (const auto* sent = std::get_if<send_message>(&action)) {
        transmit(host, *sent);
    } else if (const auto* applied = std::get_if<apply_entries>(&action)) {
        for (const log_entry& entry : applied->m_entries) {
            commit(host, entry);
        }
    } else if (const auto* restored = std::get_if<restore_state>(&action)) {
        restore(host, *restored);
    } else if (std::holds_alternative<became_leader>(action)) {
        const auto [known, added] = m_leaders.insert({host.m_node->current_term(), host.m_node->self()});
        if (!added && known->second != host.m_node->self()) {
            fail("two leaders in term " + std::to_string(known->first.value()));
        }
    } else if (sequence_of(action) != 0) {
        const std::int64_t latency =
            host.m_slow_disk ? random_between(50, 400) : random_between(0, m_options.m_latency_ms);
        const std::int64_t earliest = host.m_unsynced.empty() ? 0 : host.m_unsynced.back().m_due;
        host.m_unsynced.push_back({std::max(earliest, m_now_us + latency * 1000), std::move(action)});
    }
}

void consensus_simulation::transmit(const simulated_host& from, const send_message& action) {
    const auto to = std::ranges::find(m_hosts, action.m_to, &simulated_host::m_id);
    if (to == m_hosts.end() || m_blocked_paths.contains({from.m_id.value(), action.m_to.value()}) ||
        (m_options.m_lossy_network && random_between(0, 49) == 0)) {
        return;
    }
    const int copies = m_options.m_lossy_network && random_between(0, 29) == 0 ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const bool is_late = m_options.m_lossy_network && random_between(0, 39) == 0;
        const std::int64_t latency =
            is_late ? random_between(50, 2000) : random_between(0, m_options.m_latency_ms);
        const auto index = static_cast<std::size_t>(to - m_hosts.begin());
        m_network.insert({m_now_us + latency * 1000, {index, {from.m_id, action.m_message}}});
    }
}

void consensus_simulation::commit(simulated_host& host, const log_entry& entry) {
    if (entry.m_index != host.m_applied + 1 || entry.m_index > m_committed.size() + 1) {
        fail("gap before entry " + std::to_string(entry.m_index));
        return;
    }
    if (entry.m_index == m_committed.size() + 1) {
        m_committed.push_back(entry);
        m_states.push_back(next_checksum(m_states.back(), entry));
    } else if (m_committed[entry.m_index - 1] != entry) {
        fail("committed entry " + std::to_string(entry.m_index) + " was changed");
    }
    host.m_applied = entry.m_index;
    host.m_state = next_checksum(host.m_state, entry);
}

void consensus_simulation::restore(simulated_host& host, const restore_state& action) {
    const bool known =
        action.m_index < m_states.size() && action.m_state == std::to_string(m_states[action.m_index]);
    if (!known) {
        fail("snapshot at " + std::to_string(action.m_index) + " does not match the committed state");
        return;
    }
    host.m_applied = action.m_index;
    host.m_state = m_states[action.m_index];
    host.m_last_snapshot = action.m_index;
}

void consensus_simulation::check_leases() {
    for (const simulated_host& host : m_hosts) {
        if (!running(host) || !host.m_node->holds_lease(local_time(host))) {
            continue;
        }
        // This is stricter than necessary: a later leader must not be elected at all during the lease, even
        // if it commits nothing.
        if (host.m_node->current_term() < m_leaders.rbegin()->first) {
            fail("a later leader was elected while " + host.m_id.value() + " held the lease");
        }
        if (host.m_applied < m_committed.size()) {
            fail("the lease holder has not applied every committed entry");
        }
    }
}

} // namespace mangoquay::consensus
