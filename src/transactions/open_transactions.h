// Table of the transactions that are open at an endpoint: who may continue them, and when they expire.
//
// Owns: the table. Deterministic. The endpoint's owner rolls back the transactions that expired() returns,
// and those that opened_through() returns for a lost entry host.
//
// Invariant: at most one step of a transaction is in progress, so that steps never overlap.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/verdict.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace mangoquay::transactions {

struct transaction_origin {
    core::service_name m_service;
    core::caller_id m_caller;
    core::entry_host_id m_entry_host; // Steps from another entry host are refused.

    friend bool operator==(const transaction_origin&, const transaction_origin&) = default;
};

class open_transactions {
public:
    // Limits of the time between two steps and of the whole transaction. A transaction holds a slot and row
    // locks even while its caller sends nothing.
    static constexpr core::duration max_idle_time = core::milliseconds(5000);
    static constexpr core::duration max_lifetime = core::milliseconds(60000);

    // Adds a transaction. Returns false if the id is already in use.
    bool open(const core::transaction_id& id, const transaction_origin& origin, core::time_point now);
    // Returns none if the step may be sent, otherwise the reason for its refusal.
    core::reason begin_step(const core::transaction_id& id, const transaction_origin& origin,
                            core::time_point now);
    // Ends the step in progress. `failed`: the database refuses further statements of the transaction.
    void end_step(const core::transaction_id& id, bool failed, core::time_point now);
    void close(const core::transaction_id& id) { m_open.erase(id); }

    [[nodiscard]] bool contains(const core::transaction_id& id) const { return m_open.contains(id); }
    [[nodiscard]] bool failed(const core::transaction_id& id) const;
    [[nodiscard]] bool step_in_progress(const core::transaction_id& id) const;
    [[nodiscard]] std::vector<core::transaction_id> expired(core::time_point now) const;
    [[nodiscard]] std::vector<core::transaction_id>
    opened_through(const core::entry_host_id& entry_host) const;
    [[nodiscard]] std::optional<core::time_point> next_expiry() const;
    [[nodiscard]] std::size_t size() const { return m_open.size(); }

private:
    struct entry {
        transaction_origin m_origin;
        core::deadline m_idle_until;
        core::deadline m_lifetime_until;
        bool m_step_in_progress = false;
        bool m_failed = false;
    };

    // A transaction with a step in progress does not expire, because the step has its own deadline.
    static core::time_point expiry_of(const entry& open) {
        return open.m_step_in_progress ? core::time_point::max()
                                       : std::min(open.m_idle_until.m_at, open.m_lifetime_until.m_at);
    }

    std::map<core::transaction_id, entry> m_open;
};

} // namespace mangoquay::transactions
