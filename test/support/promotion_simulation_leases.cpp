// Entry hosts of the promotion simulation that use primaries under leases.
#include "support/promotion_simulation.h"

#include <algorithm>
#include <utility>

namespace mangoquay::test {
namespace {

const core::service_name service_id("ledger");
constexpr std::size_t host_count = 5;
constexpr std::size_t hosts_cut_with_primary = 2;
constexpr std::uint64_t slowest_clock_percent = 82; // 0.9 / 1.1, as primary_leases::longest_lease assumes.
constexpr core::milliseconds self_step_down_time{1000};

} // namespace

bool authority_with_faults::reserve(const core::service_name& service, const core::endpoint_id& target,
                                    core::time_point now) {
    const auto assigned = m_authority.assigned_primary(service);
    if (m_faults.m_skip_lease_wait && assigned) {
        m_authority.on_stepped_down(service, *assigned);
    }
    return m_authority.reserve(service, target, now);
}

void promotion_simulation::add_entry_hosts() {
    if (!m_options.m_leased) {
        return;
    }
    for (std::size_t index = 0; index < host_count; ++index) {
        entry_host host;
        host.m_id = core::entry_host_id("host" + std::to_string(index));
        host.m_clock_percent = slowest_clock_percent + draw(101 - slowest_clock_percent);
        m_hosts.push_back(std::move(host));
        schedule(core::milliseconds(draw(200)), [this, index] { request_lease(index); });
        schedule(core::milliseconds(draw(50)), [this, index] { run_entry_host(index); });
    }
}

core::time_point promotion_simulation::clock_of(const entry_host& host) const {
    core::duration elapsed = m_now.time_since_epoch();
    if (m_options.m_injected_faults.m_exclude_suspension) {
        elapsed -= host.m_total_suspension;
    }
    return core::time_point(elapsed / 100 * static_cast<std::int64_t>(host.m_clock_percent));
}

bool promotion_simulation::may_use(const entry_host& host, const core::endpoint_id& endpoint) const {
    const auto listed = host.m_holder.primaries().find(service_id);
    return listed != host.m_holder.primaries().end() && listed->second == endpoint &&
           !host.m_holder.lease_end().passed(clock_of(host));
}

void promotion_simulation::deliver(std::size_t index, core::duration delay, std::function<void()> action) {
    schedule(delay, [this, index, action = std::move(action)] {
        const core::time_point resumes = m_hosts[index].m_suspended_until;
        if (resumes > m_now) {
            schedule(resumes - m_now, action);
        } else {
            action();
        }
    });
}

void promotion_simulation::request_lease(std::size_t index) {
    entry_host& host = m_hosts[index];
    const primary_leases::lease_request request = host.m_holder.next_request(clock_of(host));
    schedule(core::milliseconds(1 + draw(5)), [this, index, request] {
        if (m_hosts[index].m_cut) {
            return;
        }
        if (const auto grant = m_authority.on_request(m_hosts[index].m_id, request, m_now)) {
            send_grant(index, *grant);
        }
    });
    deliver(index, primary_leases::renewal_period, [this, index] { request_lease(index); });
}

void promotion_simulation::send_grant(std::size_t index, const primary_leases::lease_grant& grant) {
    deliver(index, core::milliseconds(1 + draw(5)), [this, index, grant] {
        if (!m_hosts[index].m_cut) {
            m_hosts[index].m_holder.on_grant(grant);
        }
    });
}

void promotion_simulation::announce_list() {
    const auto holders = m_authority.granter().current_holders(m_now);
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        if (std::ranges::find(holders, m_hosts[index].m_id) != holders.end()) {
            send_grant(index, m_authority.granter().announcement());
        }
    }
}

void promotion_simulation::propose_assignment(const core::service_name& service,
                                              const core::endpoint_id& endpoint) {
    const std::uint64_t issuing_leader = m_leader_number;
    schedule(core::milliseconds(2 + draw(8)), [this, service, endpoint, issuing_leader] {
        if (issuing_leader == m_leader_number) { // A later leader has committed entries of its own.
            m_assigned[service] = endpoint;
            m_authority.on_assigned(service, endpoint);
        }
    });
}

void promotion_simulation::run_entry_host(std::size_t index) {
    const entry_host& host = m_hosts[index];
    const auto listed = host.m_holder.primaries().find(service_id);
    if (listed != host.m_holder.primaries().end() && may_use(host, listed->second)) {
        write_under_lease(index, listed->second);
    }
    deliver(index, core::milliseconds(20 + draw(60)), [this, index] { run_entry_host(index); });
}

void promotion_simulation::write_under_lease(std::size_t index, const core::endpoint_id& endpoint) {
    // Includes the wait in the database's queue.
    schedule(core::milliseconds(1 + draw(chance(20) ? 800 : 60)),
             [this, index, endpoint] { commit(index, endpoint); });
}

bool promotion_simulation::is_replaced(const database& server) const {
    return std::ranges::any_of(m_databases, [&server](const database& other) {
        return other.m_acts_as_primary && other.m_term > server.m_term;
    });
}

void promotion_simulation::commit(std::size_t index, const core::endpoint_id& endpoint) {
    database& primary = *find_database(endpoint);
    if (!primary.m_up || !primary.m_acts_as_primary || primary.m_cut != m_hosts[index].m_cut) {
        return;
    }
    primary.m_log.push_back(++m_last_commit);
    const std::uint64_t committed = m_last_commit;
    std::uint32_t received = 0;
    for (database& server : m_databases) {
        if (&server != &primary && server.m_up && chance(60)) {
            replicate(primary, server);
        }
        received += &server != &primary && !server.m_log.empty() && server.m_log.back() == committed ? 1 : 0;
    }
    if (received < m_options.m_synchronous_replicas) {
        return; // The database does not answer.
    }
    deliver(index, core::milliseconds(1 + draw(30)),
            [this, index, endpoint, committed, was_replaced = is_replaced(primary)] {
                acknowledge(index, endpoint, committed, was_replaced);
            });
}

void promotion_simulation::acknowledge(std::size_t index, const core::endpoint_id& endpoint,
                                       std::uint64_t commit, bool was_replaced) {
    if (!may_use(m_hosts[index], endpoint) && !m_options.m_injected_faults.m_acknowledge_after_lease) {
        return;
    }
    m_acknowledged.push_back(commit);
    if (was_replaced) {
        report_violation("a commit of a replaced primary is acknowledged");
    }
}

void promotion_simulation::check_leases_at_promotion(const core::endpoint_id& promoted) {
    for (const entry_host& host : m_hosts) {
        const auto listed = host.m_holder.primaries().find(service_id);
        // One that was stepped down accepts nothing, so leases on it do not matter.
        if (listed != host.m_holder.primaries().end() && listed->second != promoted &&
            find_database(listed->second)->m_acts_as_primary && may_use(host, listed->second)) {
            report_violation("a host may use another primary at a promotion");
        }
    }
}

void promotion_simulation::check_hosts_at_end() {
    const database* primary = current_primary();
    for (const entry_host& host : m_hosts) {
        if (primary != nullptr && !may_use(host, primary->m_report.m_id)) {
            report_violation("a host cannot use the primary at the end");
        }
    }
}

void promotion_simulation::step_down_replaced_primaries() {
    for (database& server : m_databases) {
        const bool reaches_new_one =
            server.m_acts_as_primary && std::ranges::any_of(m_databases, [&](const database& other) {
                return other.m_acts_as_primary && other.m_up && other.m_cut == server.m_cut &&
                       other.m_term > server.m_term && other.m_promoted_at + self_step_down_time < m_now;
            });
        if (server.m_up && reaches_new_one) {
            server.m_acts_as_primary = false;
        }
    }
}

void promotion_simulation::inject_lease_fault() {
    if (m_hosts.empty()) {
        return;
    }
    database* primary = current_primary();
    if (m_options.m_cut && primary != nullptr && chance(40) &&
        std::ranges::none_of(m_databases, &database::m_cut)) {
        m_replacement_justified = true;
        primary->m_cut = true;
        const std::size_t first = draw(m_hosts.size() - hosts_cut_with_primary + 1);
        for (std::size_t index = first; index < first + hosts_cut_with_primary; ++index) {
            m_hosts[index].m_cut = true;
        }
        schedule(core::milliseconds(200 + draw(5000)), [this] {
            std::ranges::for_each(m_databases, [](database& server) { server.m_cut = false; });
            std::ranges::for_each(m_hosts, [](entry_host& host) { host.m_cut = false; });
        });
    }
    if (m_options.m_suspend_hosts && chance(50)) {
        entry_host& host = m_hosts[draw(m_hosts.size())];
        if (host.m_suspended_until <= m_now) {
            const core::milliseconds length(200 + draw(3000));
            host.m_suspended_until = m_now + length;
            // The clock that ignores suspensions is behind from the end of this one on.
            schedule(length, [&host, length] { host.m_total_suspension += length; });
        }
    }
}

} // namespace mangoquay::test
