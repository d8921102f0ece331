// Positions of a service's primary with the moments before which they cover every acknowledged commit.
//
// A position that the primary reports in answer to a request sent at time t covers all commits acknowledged
// before t. A read that must show every commit older than its largest age may therefore run wherever such a
// position is held, provided that t is not longer ago than that age when the read arrives. Deterministic; no
// clocks of two hosts are compared.
//
// Invariant: samples are in order of the time asked; each is from an answer that only a primary gives.
#pragma once

#include "core/clock.h"
#include "core/history_position.h"

#include <deque>
#include <optional>

namespace mangoquay::relay {

// Samples closer together than this replace each other; a replica usually lags by more.
inline constexpr core::milliseconds min_sample_spacing{25};
// Longer than any age that routes allow today; older samples prove nothing useful.
inline constexpr core::milliseconds sample_lifetime{10000};

class position_samples {
public:
    void add(core::time_point requested, const core::history_position& position);
    // The least position that covers all commits acknowledged before `moment`.
    [[nodiscard]] std::optional<core::history_position> position_covering(core::time_point moment) const;
    // When the newest sample was asked for.
    [[nodiscard]] std::optional<core::time_point> last_request_time() const;

private:
    struct sample {
        core::time_point m_requested_at;
        core::history_position m_position;
    };

    std::deque<sample> m_samples;
};

} // namespace mangoquay::relay
