// Enforces on one entry host its shares of the customers' limits.
//
// Owns a token bucket for each customer with a share here, and the demand of each customer that has sessions
// or operations here. Deterministic: no socket, clock or log; the time is passed in and comes from a clock
// that counts suspension, so a host that was suspended finds its shares expired.
//
// Invariants:
// - a share is used only until share_lifetime after the request that it answers was sent;
// - tokens come only from the refill of a share that is in force and from a grant that was not applied
// before;
// - a share never exceeds the part of the present limit that it was of the limit it was granted under.
#pragma once

#include "quotas/share.h"

#include <optional>

namespace mangoquay::quotas {

enum class admission : std::uint8_t {
    admitted, // A token was taken.
    waiting,  // An answer of the leader may bring tokens; ask again when it arrives or after max_token_wait.
    over_limit, // The customer is over its limit, or this host has no share and gets none.
};

struct holder_counters {
    std::uint64_t m_admitted = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_shares_expired = 0;
};

class quota_holder {
public:
    explicit quota_holder(core::incarnation self) : m_incarnation(self) {}

    // Replaces the limits. Without limits nothing is limited: admit() admits customers that are not listed.
    void set_limits(limits_by_customer limits, core::time_point now);
    [[nodiscard]] bool has_limits() const { return !m_limits.empty(); }

    void on_session_opened(const core::customer_name& customer);
    void on_session_closed(const core::customer_name& customer);

    // Counts an operation that arrived, once for each operation.
    void on_operation_arrived(const core::customer_name& customer, core::time_point now);
    // Takes a token if there is one. `waited_since` is the time of the operation's first call.
    admission admit(const core::customer_name& customer, core::time_point waited_since, core::time_point now);
    // The admitted operation reached no database.
    void refund(const core::customer_name& customer, core::time_point now);

    // The request to send now, or nothing if it is too early or there is nothing to report. A request whose
    // answer did not arrive within 200 ms counts as lost.
    std::optional<quota_request> next_request(core::time_point now);
    // Returns false if the grant answers no request of this process, or an older one than was applied.
    bool on_grant(const quota_grant& grant, core::time_point now);

    [[nodiscard]] std::optional<share> held(const core::customer_name& customer, core::time_point now) const;
    [[nodiscard]] const holder_counters& counters() const { return m_counters; }

private:
    core::incarnation m_incarnation;
    limits_by_customer m_limits;
    holder_counters m_counters;
};

} // namespace mangoquay::quotas
