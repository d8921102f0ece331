// The steps of a reservation.
#include "primary_leases/lease_authority.h"

namespace mangoquay::primary_leases {
namespace {

// A commit takes about two disk writes and one round trip.
constexpr core::milliseconds proposal_retry_period{1000};

} // namespace

void lease_authority::set_leading(bool leading, leader_term term, const primary_list& assigned,
                                  const std::set<core::service_name>& withheld, core::time_point now) {
    if (leading && (!m_granter.leads() || m_granter.version().m_term != term)) {
        m_reservations.clear();
        m_granter.start_leading(term, assigned, now);
        for (const core::service_name& service : withheld) {
            m_granter.withdraw(service);
        }
        m_ports.record_event("grants leases term=" + std::to_string(term.value()) +
                             " assigned=" + std::to_string(assigned.size()) +
                             " withheld=" + std::to_string(withheld.size()));
    } else if (!leading && m_granter.leads()) {
        m_granter.stop_leading();
        m_reservations.clear();
        m_ports.record_event("grants no leases any more");
    }
}

void lease_authority::announce_changes() {
    if (m_granter.leads() && m_announced != m_granter.version()) {
        m_announced = m_granter.version();
        m_ports.announce_list();
    }
}

void lease_authority::on_assigned(const core::service_name& service, const core::endpoint_id& endpoint) {
    if (!m_granter.leads()) {
        return; // set_leading() passes all assignments to a host that becomes the leader.
    }
    const auto found = m_reservations.find(service);
    if (found != m_reservations.end() && found->second.m_target == endpoint) {
        found->second.m_committed = true;
    }
    m_granter.assign(service, endpoint);
    m_ports.record_event("primary assigned service=" + service.value() + " endpoint=" + endpoint.value());
    announce_changes();
}

std::optional<core::endpoint_id> lease_authority::assigned_primary(const core::service_name& service) const {
    return m_granter.assigned(service);
}

void lease_authority::withdraw(const core::service_name& service) {
    m_reservations.erase(service);
    m_granter.withdraw(service);
    announce_changes();
}

void lease_authority::restore(const core::service_name& service) {
    m_reservations.erase(service);
    m_granter.restore(service);
    announce_changes();
}

void lease_authority::on_stepped_down(const core::service_name& service, const core::endpoint_id& endpoint) {
    m_granter.on_stepped_down(service, endpoint);
    announce_changes();
}

bool lease_authority::reserve(const core::service_name& service, const core::endpoint_id& target,
                              core::time_point now) {
    m_granter.withdraw(service);
    announce_changes();
    reservation& wanted = m_reservations[service];
    if (wanted.m_target != target) {
        wanted = {target, now, false, {}, false};
        m_ports.record_event(
            "waits for leases to end service=" + service.value() + " successor=" + target.value() +
            " old_primary=" + m_granter.assigned(service).value_or(core::endpoint_id("none")).value() +
            " hosts=" + std::to_string(m_granter.waiting_for(service, now)));
    }
    if (wanted.m_committed) {
        return true;
    }
    if (!m_granter.leases_ended(service, now)) {
        return false;
    }
    if (!wanted.m_leases_ended) {
        wanted.m_leases_ended = true;
        const auto waited = std::chrono::duration_cast<core::milliseconds>(now - wanted.m_started);
        m_total_wait += waited;
        m_ports.record_event("leases ended service=" + service.value() +
                             " waited_ms=" + std::to_string(waited.count()));
    }
    if (wanted.m_next_proposal.passed(now)) {
        wanted.m_next_proposal = core::deadline_after(now, proposal_retry_period);
        m_ports.propose_assignment(service, target);
    }
    return false;
}

bool lease_authority::may_use_primaries(const core::entry_host_id& host, core::time_point now) const {
    return m_granter.may_hold_lease(host, now);
}

} // namespace mangoquay::primary_leases
