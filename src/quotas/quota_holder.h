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
#include <set>

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
    // Returns false if the grant answers no request of this process or an older one than was applied, or
    // comes from an earlier leader than the last one that was applied.
    bool on_grant(const quota_grant& grant, core::time_point now);

    [[nodiscard]] std::optional<share> held(const core::customer_name& customer, core::time_point now) const;
    [[nodiscard]] const holder_counters& counters() const { return m_counters; }

private:
    struct customer_state {
        share m_share;           // In force until m_share_end.
        operation_limit m_limit; // The limit that the share is a part of.
        core::deadline m_share_end;
        double m_tokens = 0.0;
        bool m_confirm = false;         // The leader waits to hear that a smaller share was applied.
        request_number m_applied;       // The request whose answer gave the share.
        double m_returned_tokens = 0.0; // Given up since the last request.
        core::time_point m_refilled_at{};
        double m_arrivals_per_s = 0.0;
        core::time_point m_demand_at{};
        core::time_point m_last_arrival_at{};
        double m_reported_demand = 0.0; // In the latest request.
        std::uint32_t m_sessions = 0;
        // When the operations that wait for tokens were first asked about. Operations of the same time count
        // as one, and ask again. Entries end after max_token_wait.
        std::set<core::time_point> m_waits;
        // The leader lacked tokens for operations that waited: when the request that told it of them was
        // sent, and until when new ones are refused without asking again.
        core::time_point m_denied_request_at{};
        core::deadline m_denied_until;
    };
    struct sent_request {
        core::time_point m_at{};
        bool m_partial = false;
        std::set<core::customer_name> m_customers; // Named by a partial request.
    };
    static constexpr std::size_t max_remembered_requests = 16;

    // Replaces the share; tokens beyond its capacity are returned to the leader.
    static void set_share(customer_state& state, const share& next);
    static void add_tokens(customer_state& state, double tokens);
    static void forget_old_waits(customer_state& state, core::time_point now);
    static void release_unused_capacity(customer_state& state);
    // `new_leader`: the answer before was that of another leader.
    void apply_grant(const quota_grant& grant, const sent_request& request, bool new_leader,
                     core::time_point now);
    // Whether the customer needs an answer before the next regular request.
    [[nodiscard]] static bool is_urgent(const customer_state& state, core::time_point now);
    enum class request_kind : std::uint8_t { whole, partial };
    std::optional<request_kind> due_request(core::time_point now);
    static void apply_limit(customer_state& state, const operation_limit& limit);
    void refill(customer_state& state, core::time_point now);
    // The average, or 0 if the demand has moved away.
    static double present_demand(const customer_state& state, core::time_point now);
    static void decay_demand(customer_state& state, core::time_point now);

    core::incarnation m_incarnation;
    limits_by_customer m_limits;
    std::map<core::customer_name, customer_state> m_customers;
    std::map<request_number, sent_request> m_sent; // The latest requests without an answer.
    std::uint64_t m_last_number = 0;
    std::uint64_t m_applied_number = 0; // The latest request whose answer was applied.
    granter_term m_applied_term;        // Of the leader that gave that answer.
    core::time_point m_last_sent = core::time_point::min();
    core::time_point m_last_whole_sent = core::time_point::min();
    bool m_unanswered = false; // The last request has no answer yet.
    bool m_confirm = false;    // The leader waits for the next request.
    holder_counters m_counters;
};

} // namespace mangoquay::quotas
