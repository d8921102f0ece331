// What an entry proxy knows about endpoints from their answers: their last reported positions, the number of
// its own outstanding requests there, and which endpoints and owners failed recently.
//
// All entries are hints that avoid futile attempts. The owner of an endpoint checks positions itself, so a
// wrong hint costs time but never correctness. Owns: the table. Time is passed in.
#pragma once

#include "control/control_state.h"
#include "core/clock.h"
#include "core/history_position.h"
#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace mangoquay::routing {

// A failed endpoint or owner gets no reads for this time, doubled with each further failure up to the
// maximum. 1 s is about the duration of a lease, after which the replacement of a lost owner has begun.
inline constexpr core::milliseconds initial_failure_backoff{1000};
inline constexpr core::milliseconds max_failure_backoff{8000};
// Time for which reads do not wait for a replica that did not reach a position in time.
inline constexpr core::milliseconds lag_backoff{1000};

struct failure_backoff {
    std::uint32_t m_failures = 0; // Number of consecutive failures.
    core::deadline m_suspect_until;

    [[nodiscard]] bool is_suspect(core::time_point now) const {
        return m_failures > 0 && !m_suspect_until.passed(now);
    }
    void record_failure(core::time_point now);
    void reset() { m_failures = 0; }
};

struct endpoint_hints {
    std::optional<core::history_position> m_position;
    std::uint32_t m_outstanding = 0; // Number of this proxy's requests in progress there.
    failure_backoff m_failure;
    core::deadline m_behind_until;
};

class position_table {
public:
    // Replaces the known position, even by a lower one: an endpoint that was rebuilt may be at an earlier
    // position.
    void set_position(const core::endpoint_id& endpoint, const core::history_position& position);
    void record_attempt_start(const core::endpoint_id& endpoint);
    void record_attempt_end(const core::endpoint_id& endpoint);
    void record_lag(const core::endpoint_id& endpoint, core::time_point now);
    void record_endpoint_failure(const core::endpoint_id& endpoint, core::time_point now);
    void record_success(const core::endpoint_id& endpoint, const core::entry_host_id& owner);
    void record_owner_failure(const core::entry_host_id& owner, core::time_point now);

    // Returns null if nothing is known about the endpoint.
    [[nodiscard]] const endpoint_hints* find(const core::endpoint_id& endpoint) const;
    [[nodiscard]] bool is_owner_suspect(const core::entry_host_id& owner, core::time_point now) const;

    // Removes hosts that are no longer in `state`, and endpoints that are not and have no outstanding
    // requests.
    void prune(const control::control_state& state);
    [[nodiscard]] std::size_t size() const { return m_endpoints.size(); }

private:
    std::unordered_map<core::endpoint_id, endpoint_hints> m_endpoints;
    std::unordered_map<core::entry_host_id, failure_backoff> m_owners;
};

} // namespace mangoquay::routing
