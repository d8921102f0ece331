// How long each step of a replacement may take.
#pragma once

#include "core/clock.h"

namespace mangoquay::promotion {

// An empty transaction takes no slot at the database.
inline constexpr core::milliseconds probe_period{150};
// Probes fail for this long before a primary without contact to any entry host counts as lost: two lost
// answers.
inline constexpr core::milliseconds primary_lost_timeout{450};
// Some entry hosts still reach it, most do not.
inline constexpr core::milliseconds primary_mostly_lost_timeout{2000};
// Reports of a new primary take up to a second to arrive after a start or a promotion that was not ours.
inline constexpr core::milliseconds no_primary_timeout{1500};
inline constexpr core::milliseconds pause_timeout{350};
inline constexpr core::milliseconds step_down_timeout{500};
// Replicas lag by 60 to 150 ms (sheet); a longer wait costs more writes than it saves.
inline constexpr core::milliseconds catch_up_timeout{800};
// An executor that is slow or cut off is asked again under a higher fence.
inline constexpr core::milliseconds order_timeout{1500};
// A promotion takes about a second (sheet).
inline constexpr core::milliseconds confirm_timeout{3000};
// An order of an earlier leader that was accepted just before takes effect within this time.
inline constexpr core::milliseconds settle_time{1500};
inline constexpr core::milliseconds resume_period{500};
inline constexpr core::milliseconds resume_timeout{10000};
inline constexpr core::milliseconds confirm_probe_period{100};
inline constexpr core::milliseconds rejection_period{3000};
inline constexpr core::milliseconds catch_up_poll_period{40};
// Two missed reports.
inline constexpr core::milliseconds watched_primary_preference{2500};

} // namespace mangoquay::promotion
