// Positions reported by a service's primary, each with the time of the request that it answers.
//
// A position that the primary reports in answer to a request sent at time t covers all commits acknowledged
// before t. A read with a staleness limit may therefore run on any endpoint that holds such a position, if t
// is no further back than that limit when the read arrives. Deterministic; clocks of different hosts are
// never compared.
//
// Invariant: samples are ordered by request time, and each comes from an answer that only a primary gives.
#pragma once

#include "core/clock.h"
#include "core/history_position.h"

#include <deque>
#include <optional>

namespace mangoquay::relay {

// A sample that is closer than this to the one before the last replaces the last one. Replicas usually lag by
// more.
inline constexpr core::milliseconds min_sample_spacing{25};
// Exceeds the staleness limits of all current routes, so older samples are of no use.
inline constexpr core::milliseconds sample_lifetime{10000};

class position_samples {
public:
    // `requested_at` is the time when the request was sent, not when its answer arrived. A sample whose
    // request is older than that of the newest one is ignored.
    void add(core::time_point requested_at, const core::history_position& position);
    // The lowest known position that covers all commits acknowledged before `moment`; empty if no sample was
    // requested at or after `moment`.
    [[nodiscard]] std::optional<core::history_position> position_covering(core::time_point moment) const;
    // Request time of the newest sample; empty if there is none.
    [[nodiscard]] std::optional<core::time_point> last_request_time() const;

private:
    struct sample {
        core::time_point m_requested_at;
        core::history_position m_position;
    };

    std::deque<sample> m_samples;
};

} // namespace mangoquay::relay
