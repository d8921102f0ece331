// The part of a customer's limit that one entry host may use, and the messages that assign it.
//
// A limit holds over all entry hosts, in contact or not. The control leader divides it into shares; each host
// enforces its shares with token buckets. docs/design/quotas.md explains why this bounds every window.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/strong_value.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mangoquay::quotas {

// A host counts a share until this long after it sent the request that the share answers, on a clock that
// counts suspension. Zones are cut off for 5 to 6 s and keep their shares meanwhile.
inline constexpr core::milliseconds share_lifetime{10'000};
// The leader counts a share for this long after it received the request. Clocks run at 0.9 to 1.1 of true
// time, so a share lasts up to 10 s x 1.1 / 0.9 = 12.23 s on the leader's clock. With 11 s a customer of 120
// operations/s exceeded the bound by 65 operations when the host's clock was slow and the leader's fast.
inline constexpr core::milliseconds counted_lifetime{12'300};
inline constexpr core::milliseconds request_period{1'000};
// Pause between two requests while operations wait for tokens.
inline constexpr core::milliseconds min_request_pause{20};
// An operation waits this long for an answer of the leader.
inline constexpr core::milliseconds max_token_wait{100};

// Number of a request, unique and increasing among those of one process.
using request_number = core::strong_value<struct quota_request_number_tag, std::uint64_t>;
// Identifies a leader, and increases with each.
using granter_term = core::strong_value<struct granter_term_tag, std::uint64_t>;

// The limit of one customer over all hosts.
struct operation_limit {
    double m_rate_per_s = 0.0;
    double m_burst = 0.0;

    friend bool operator==(const operation_limit&, const operation_limit&) = default;
};

using limits_by_customer = std::map<core::customer_name, operation_limit>;

// How far the operations of a window may exceed a limit: (rate x window + burst) x (1 + overage) + slack.
struct window_tolerance {
    core::milliseconds m_window{5000};
    double m_overage = 0.1;
    double m_slack = 20.0;
};

// A token bucket of one host: refilled at m_rate_per_s up to m_capacity.
struct share {
    double m_rate_per_s = 0.0;
    double m_capacity = 0.0;

    friend bool operator==(const share&, const share&) = default;
};

// What remains of a share when its limit falls, in the proportion of the limits, so that the shares of all
// hosts together stay within the new limit. A limit that rises leaves the share as it is.
inline share scaled(const share& held, const operation_limit& before, const operation_limit& after) {
    const auto ratio = [](double old_amount, double new_amount) {
        return new_amount < old_amount ? new_amount / old_amount : 1.0;
    };
    return {held.m_rate_per_s * ratio(before.m_rate_per_s, after.m_rate_per_s),
            held.m_capacity * ratio(before.m_burst, after.m_burst)};
}

// What an entry host reports about one customer.
struct customer_demand {
    core::customer_name m_customer;
    share m_held;                  // Empty if the host holds none, or an expired one.
    double m_arrivals_per_s = 0.0; // Moving average of the operations that arrived, refused ones included.
    std::uint32_t m_sessions = 0;
    std::uint32_t m_waiting = 0; // Operations that wait for tokens.
    // Tokens that the host gave up when its share shrank, since the last request.
    double m_returned_tokens = 0.0;
    // The request whose answer gave m_held; if empty, the one that the whole request names.
    std::optional<request_number> m_applied;
};

struct quota_request {
    core::incarnation m_incarnation; // Of the requesting process. A new one is higher and holds no shares.
    request_number m_number;
    // The last answer that was applied, and the term of the leader that gave it; 0 if none was.
    request_number m_applied;
    granter_term m_applied_term;
    std::vector<customer_demand> m_customers;
    // Only customers that need an answer at once are named; nothing changes for the others.
    bool m_partial = false;
};

struct granted_share {
    core::customer_name m_customer;
    share m_share;
    double m_tokens = 0.0;   // Added to the bucket once, up to its capacity.
    operation_limit m_limit; // The limit that the share is a part of.
};

// Answers the request of m_number. Customers of the request that it does not name keep no share.
struct quota_grant {
    core::incarnation m_incarnation;
    request_number m_number;
    granter_term m_term;
    // The leader waits for a request that confirms this answer, so the host sends one at once.
    bool m_confirm = false;
    std::vector<granted_share> m_shares;
};

} // namespace mangoquay::quotas
