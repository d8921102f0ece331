// Primary leases as the promotion core uses them: reserves the successor of a primary once all leases on the
// old one have ended, and commits the assignment before a promotion is ordered, so that the next leader
// continues with it.
//
// Owns the granter and the reservations. Deterministic: acts through authority_ports, whose functions must
// not call back.
#pragma once

#include "primary_leases/lease_granter.h"
#include "promotion/primary_authority.h"

#include <string>

namespace mangoquay::primary_leases {

class authority_ports {
public:
    authority_ports() = default;
    virtual ~authority_ports() = default;
    authority_ports(const authority_ports&) = delete;
    authority_ports& operator=(const authority_ports&) = delete;
    authority_ports(authority_ports&&) = delete;
    authority_ports& operator=(authority_ports&&) = delete;

    // Proposes the assignment to the Raft log. lease_authority::on_assigned() reports its commit.
    virtual void propose_assignment(const core::service_name& service, const core::endpoint_id& endpoint) = 0;
    // The list of primaries has changed: sends it to the hosts that hold leases.
    virtual void announce_list() = 0;
    virtual void record_event(const std::string& text) = 0;
};

class lease_authority final : public promotion::primary_authority {
public:
    explicit lease_authority(authority_ports& ports) : m_ports(ports) {}

    // Called periodically. `assigned` contains every committed assignment. `withheld` are the services that a
    // new leader does not list until restore().
    void set_leading(bool leading, leader_term term, const primary_list& assigned,
                     const std::set<core::service_name>& withheld, core::time_point now);
    // The assignment was committed, by this host or an earlier leader.
    void on_assigned(const core::service_name& service, const core::endpoint_id& endpoint);
    // Empty unless this host leads.
    std::optional<lease_grant> on_request(const core::entry_host_id& host, const lease_request& request,
                                          core::time_point now) {
        return m_granter.on_request(host, request, now);
    }

    [[nodiscard]] std::optional<core::endpoint_id>
    assigned_primary(const core::service_name& service) const override;
    void withdraw(const core::service_name& service) override;
    void restore(const core::service_name& service) override;
    void on_stepped_down(const core::service_name& service, const core::endpoint_id& endpoint) override;
    bool reserve(const core::service_name& service, const core::endpoint_id& target,
                 core::time_point now) override;
    [[nodiscard]] bool may_use_primaries(const core::entry_host_id& host,
                                         core::time_point now) const override;

    [[nodiscard]] const lease_granter& granter() const { return m_granter; }
    // Total time for which promotions waited for leases to end.
    [[nodiscard]] core::milliseconds total_wait() const { return m_total_wait; }

private:
    struct reservation {
        core::endpoint_id m_target;
        core::time_point m_started{};
        bool m_leases_ended = false;
        core::deadline m_next_proposal;
        bool m_committed = false;
    };

    // Announces the list unless it has not changed since the last call.
    void announce_changes();

    authority_ports& m_ports;
    lease_granter m_granter;
    list_version m_announced;
    std::map<core::service_name, reservation> m_reservations;
    core::milliseconds m_total_wait{};
};

} // namespace mangoquay::primary_leases
