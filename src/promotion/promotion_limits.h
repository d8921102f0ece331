// How long each step of a replacement may take.
#pragma once

#include "core/clock.h"

namespace mangoquay::promotion {

// An empty transaction takes no slot at the database.
inline constexpr core::milliseconds probe_period{150};
// Probes fail for this long before a primary without contact to any entry host counts as lost: two lost
// answers.
inline constexpr core::milliseconds lost_after{450};
// Some entry hosts still reach it, most do not.
inline constexpr core::milliseconds mostly_lost_after{2000};
// Reports of a new primary take up to a second to arrive after a start or a promotion that was not ours.
inline constexpr core::milliseconds missing_limit{1500};
inline constexpr core::milliseconds pause_limit{350};
inline constexpr core::milliseconds step_down_limit{500};
// Replicas lag by 60 to 150 ms (sheet); a longer wait costs more writes than it saves.
inline constexpr core::milliseconds catch_up_limit{800};
// An executor that is slow or cut off is asked again under a higher fence.
inline constexpr core::milliseconds order_limit{1500};
// A promotion takes about a second (sheet).
inline constexpr core::milliseconds confirm_limit{3000};
// An order of an earlier leader that was accepted just before takes effect within this time.
inline constexpr core::milliseconds settle_limit{1500};
inline constexpr core::milliseconds resume_period{500};
inline constexpr core::milliseconds resume_limit{10000};
inline constexpr core::milliseconds confirm_probe_period{100};
inline constexpr core::milliseconds rejected_for{3000};
inline constexpr core::milliseconds catch_up_poll{40};
// Two missed reports.
inline constexpr core::milliseconds watched_credit{2500};

} // namespace mangoquay::promotion
