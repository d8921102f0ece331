// What an entry proxy has learned about endpoints from answers: their last known positions, how much of its
// own work is outstanding there, and which endpoints and owners failed recently.
//
// All of it is a hint that saves attempts. An owner checks positions itself, so a wrong hint costs time,
// never correctness. Owns: the table. Time is passed in.
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

// A failed endpoint or owner gets no reads for this long, doubled with each further failure up to the limit.
// 1 s is about one lease: by then a lost owner is being replaced.
inline constexpr core::milliseconds first_failure_pause{1000};
inline constexpr core::milliseconds longest_failure_pause{8000};
// A replica that did not reach a position in time is not waited for again for this long.
inline constexpr core::milliseconds behind_pause{1000};

struct failure_memory {
    std::uint32_t m_failures = 0; // in a row
    core::deadline m_until;

    [[nodiscard]] bool suspect(core::time_point now) const { return m_failures > 0 && !m_until.passed(now); }
    void failed(core::time_point now);
    void succeeded() { m_failures = 0; }
};

struct endpoint_knowledge {
    std::optional<core::history_position> m_position;
    std::uint32_t m_outstanding = 0; // requests of this proxy
    failure_memory m_failure;
    core::deadline m_behind_until;
};

class position_table {
public:
    // The latest report wins, also when it is lower: an endpoint that was rebuilt is behind what it had.
    void position_learned(const core::endpoint_id& endpoint, const core::history_position& position);
    void attempt_started(const core::endpoint_id& endpoint);
    void attempt_ended(const core::endpoint_id& endpoint);
    void fell_behind(const core::endpoint_id& endpoint, core::time_point now);
    void endpoint_failed(const core::endpoint_id& endpoint, core::time_point now);
    void endpoint_succeeded(const core::endpoint_id& endpoint, const core::entry_host_id& owner);
    void owner_failed(const core::entry_host_id& owner, core::time_point now);

    // Null: nothing is known.
    [[nodiscard]] const endpoint_knowledge* find(const core::endpoint_id& endpoint) const;
    [[nodiscard]] bool owner_suspect(const core::entry_host_id& owner, core::time_point now) const;

    // Forgets endpoints and hosts that are gone from the state and have nothing outstanding.
    void prune(const control::control_state& state);
    [[nodiscard]] std::size_t size() const { return m_endpoints.size(); }

private:
    std::unordered_map<core::endpoint_id, endpoint_knowledge> m_endpoints;
    std::unordered_map<core::entry_host_id, failure_memory> m_owners;
};

} // namespace mangoquay::routing
