// Divides the customers' limits among the entry hosts. Runs on the control leader.
//
// Owns what each host may hold at most, and the unassigned tokens of each customer. The hosts that may hold
// shares are replicated, so that a new leader knows whom to wait for. Deterministic: the time is passed in;
// acts through granter_ports, whose functions must not call back.
//
// Invariants, for each customer:
// - the rates that hosts may hold sum up to at most its rate, the capacities to at most total_capacity();
// - nothing is granted to a host before its entry in the replicated list of holders is committed, and nothing
// after its removal from the list was proposed;
// - until every listed holder has applied an answer of this leader or counted_lifetime has passed since it
// began to
//   lead, nothing is granted beyond what a host holds already.
#pragma once

#include "quotas/share.h"

#include <optional>
#include <set>

namespace mangoquay::quotas {

// The capacities of all shares of a limit together. What the tolerance allows beyond the rate is left for
// clocks that run fast, and half of the slack for statements in transit.
double total_capacity(const operation_limit& limit, const window_tolerance& tolerance);

class granter_ports {
public:
    granter_ports() = default;
    virtual ~granter_ports() = default;
    granter_ports(const granter_ports&) = delete;
    granter_ports& operator=(const granter_ports&) = delete;
    granter_ports(granter_ports&&) = delete;
    granter_ports& operator=(granter_ports&&) = delete;

    // Proposes to add a host to the replicated list of holders or to remove it. The result arrives by
    // quota_granter::set_holders().
    virtual void propose_holder(const core::entry_host_id& host, bool holds) = 0;
};

class quota_granter {
public:
    quota_granter(granter_ports& ports, window_tolerance tolerance)
        : m_ports(ports), m_tolerance(tolerance) {}

    // This host leads from now on, and grants only between these calls. The list of holders has to be
    // complete, and the term higher than those of earlier leaders.
    void begin_term(granter_term term, core::time_point now);
    void end_term();
    // The replicated list of holders, after each change. Hosts that appear without a proposal of this leader
    // may hold shares of an earlier one.
    void set_holders(std::set<core::entry_host_id> holders);
    void set_limits(limits_by_customer limits, core::time_point now);

    // The answer, or nothing if this host does not lead or the requesting host is not listed yet.
    std::optional<quota_grant> on_request(const core::entry_host_id& host, const quota_request& request,
                                          core::time_point now);
    // Forgets shares that have ended and proposes to remove hosts that have held nothing for a minute.
    void tick(core::time_point now);

    // Whether shares may grow: every listed holder is known, or the shares of earlier leaders have ended.
    [[nodiscard]] bool may_assign(core::time_point now) const;
    // What all hosts together may hold at most, for metrics and tests.
    [[nodiscard]] share assigned(const core::customer_name& customer, core::time_point now) const;

private:
    // A share that a host may hold until its time has passed or it has applied the answer to a later request.
    struct outstanding_share {
        request_number m_number;
        share m_share;
        // The limit that the share was granted under. A lower limit reduces what is counted only while it is
        // in effect, as a host that was cut off meanwhile did not apply it. Zero for shares of earlier
        // leaders, which may have been reduced already.
        operation_limit m_limit;
        share m_reported; // The most that the host may hold by its latest report.
        core::deadline m_counted_until;
    };
    struct holding {
        std::vector<outstanding_share> m_outstanding;
        double m_weight = 0.0; // Demand of the host; the customer's limit is divided in this proportion.
    };
    struct customer_record {
        operation_limit m_limit; // The last one, if the customer was removed.
        std::map<core::entry_host_id, holding> m_holdings;
        double m_pool_tokens = 0.0; // Unassigned tokens.
        share m_free;               // The refill of the pool and its capacity, by its last refill.
        core::time_point m_refilled_at{};
        // Kept for a time after the customer was removed, since it may return while hosts still hold shares.
        std::optional<core::time_point> m_removed_at;
    };
    struct host_record {
        core::incarnation m_incarnation;
        request_number m_last_number;
        // The host has applied an answer of this term, so it ignores all of earlier leaders.
        bool m_confirmed = false;
        core::time_point m_last_report{};
    };

    // What the host may hold at most.
    [[nodiscard]] static share counted(const customer_record& customer, const holding& held,
                                       core::time_point now);
    [[nodiscard]] static share sum_of_counted(const customer_record& customer, core::time_point now);
    void refill_pool(customer_record& customer, core::time_point now) const;
    // Null if the request is a late or repeated one.
    host_record* accept(const core::entry_host_id& host, const quota_request& request, core::time_point now);
    // Records what the host holds by its report, of the customers that this leader knows.
    void record_report(const core::entry_host_id& host, const host_record& record,
                       const quota_request& request, core::time_point now);
    granted_share grant_share(const core::entry_host_id& host, const quota_request& request,
                              const customer_demand& demand, core::time_point now);
    // The tokens of the pool that the grant hands over.
    [[nodiscard]] double tokens_wanted(const customer_record& customer, const share& present,
                                       const customer_demand& demand) const;
    [[nodiscard]] share target_share(const customer_record& customer, const holding& held,
                                     const share& present, double free_capacity,
                                     const customer_demand& demand) const;
    [[nodiscard]] bool is_scarce(const customer_record& customer, core::time_point now) const;
    customer_record& find_customer(const core::customer_name& customer, core::time_point now);
    void forget_shares(core::time_point now);
    void propose(const core::entry_host_id& host, bool holds, core::time_point now);

    granter_ports& m_ports;
    window_tolerance m_tolerance;
    limits_by_customer m_limits;
    std::set<core::entry_host_id> m_holders; // Hosts that may hold shares, from the replicated list.
    // Hosts that this leader proposed to add; they hold no shares of earlier leaders.
    std::set<core::entry_host_id> m_proposed;
    // Hosts that this leader proposed to remove; nothing is granted to them until the list shows the result.
    std::set<core::entry_host_id> m_leaving;
    std::optional<core::time_point> m_leading_since;
    granter_term m_term;
    bool m_pools_start_full = false; // Nothing was granted before this term.
    std::map<core::entry_host_id, host_record> m_hosts;
    std::map<core::customer_name, customer_record> m_customers;
    std::map<core::entry_host_id, core::deadline> m_next_proposals;
};

} // namespace mangoquay::quotas
