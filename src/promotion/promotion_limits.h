// Time limits and periods of the steps of a replacement, and of the list of copies.
#pragma once

#include "core/clock.h"

namespace mangoquay::promotion {

// A probe is an empty transaction, which takes no execution slot at the database.
inline constexpr core::milliseconds probe_period{150};
// A primary that no entry host reaches counts as lost when probes have failed for this long, which allows for
// two lost answers.
inline constexpr core::milliseconds primary_lost_timeout{450};
// The same for a primary that some entry hosts still reach while more of them do not.
inline constexpr core::milliseconds primary_mostly_lost_timeout{2000};
// Time without a primary before a replacement starts. After a start, or a promotion that this leader did not
// order, the report of a new primary takes up to 1 s to arrive.
inline constexpr core::milliseconds no_primary_timeout{1500};
// An assigned endpoint without a report for this long has left: databases report about every 1.2 s.
inline constexpr core::milliseconds assigned_absent_timeout{3000};
inline constexpr core::milliseconds pause_timeout{350};
inline constexpr core::milliseconds step_down_timeout{500};
// Period of the requests to an endpoint that acts as a primary beside the assigned one.
inline constexpr core::milliseconds step_down_period{300};
// Exceeds the longest lease of an entry host by the time for a commit and several step-down requests.
inline constexpr core::milliseconds reserve_timeout{3000};
// Replicas lag by 60 to 150 ms on the target platform; a longer wait costs more writes than it saves.
inline constexpr core::milliseconds catch_up_timeout{800};
// Time for which a planned replacement waits for a replica with the position of the primary, before that is
// stepped down. Databases on the target platform serve for 7 s after their report that they leave.
inline constexpr core::milliseconds planned_wait{2000};
inline constexpr core::milliseconds planned_wait_synchronous{6500};
inline constexpr core::milliseconds successor_query_period{100};
// Shorter than the time after which an unused connection is closed.
inline constexpr core::milliseconds replica_query_period{1000};
// Exceeds the query period by the time for an answer.
inline constexpr core::milliseconds successor_answer_validity{250};
// Allows for three lost answers.
inline constexpr core::milliseconds old_primary_answer_lifetime{1000};
// When the executor does not answer in this time, the order is repeated under a higher fencing token.
inline constexpr core::milliseconds order_timeout{1500};
// A promotion takes about 1 s on the target platform.
inline constexpr core::milliseconds confirm_timeout{3000};
// An order that the executor has accepted, possibly from an earlier leader, takes effect within this time.
inline constexpr core::milliseconds settle_time{1500};
// The same, and the time for a probe that shows it.
inline constexpr core::milliseconds adoption_settle_time{2000};
inline constexpr core::milliseconds resume_period{500};
inline constexpr core::milliseconds resume_timeout{10000};
inline constexpr core::milliseconds confirm_probe_period{100};
inline constexpr core::milliseconds rejection_period{3000};
inline constexpr core::milliseconds catch_up_poll_period{40};
// A reported primary that is already monitored is preferred to others whose reports are newer by at most this
// much, which allows for two missed reports.
inline constexpr core::milliseconds watched_primary_preference{2500};

// A database that has deregistered ends within this time; until then it may receive commits.
inline constexpr core::milliseconds exit_time{500};
// A database at whose address another one has reported counts as ended if it reports nothing for this long,
// which allows for two lost reports.
inline constexpr core::milliseconds displacement_confirmation{3000};
// Control hosts compare their registries twice a second, so a report that any of them has arrives within this
// time.
inline constexpr core::milliseconds released_retention{10000};
// A change of the list of copies that is not committed by then is proposed again.
inline constexpr core::milliseconds copy_proposal_period{1000};

} // namespace mangoquay::promotion
