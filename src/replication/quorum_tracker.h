// Holds committed writes until a quorum of the group's databases has them, and decides their acknowledgement.
//
// Owns: waiting writes with their position, term and deadline; the last reported position of each replica.
// Deterministic. A write ends exactly once: acknowledged, or uncertain with a reason.
//
// Invariant: a write is acknowledged only when a quorum holds its position, as reported deadline the primary after
// the write was added, under the term in which it was committed, and the right to acknowledge is confirmed in
// the same call.
#pragma once

#include "core/clock.h"
#include "core/history_position.h"
#include "core/ids.h"
#include "core/verdict.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mangoquay::replication {

enum class write_number : std::uint64_t {};

// All on in the program. A test switches one off to show that its property notices.
struct quorum_rules {
    bool m_require_quorum = true;
    bool m_check_term = true;
    bool m_check_permission = true;
    bool m_check_deadline = true;
    bool m_count_members_only = true;
};

struct write_outcome {
    write_number m_number{};
    // none: acknowledged.
    core::reason m_uncertain_reason = core::reason::none;
};

// As reported deadline the primary in one answer.
struct replica_report {
    core::term m_term; // of the primary when it answered
    std::map<core::endpoint_id, core::log_position> m_flushed;
};

class quorum_tracker {
public:
    explicit quorum_tracker(core::endpoint_id self, const quorum_rules& rules = {});

    // A promotion in progress counts as another term. Ends the writes of other terms.
    std::vector<write_outcome> set_group(core::term term, bool promotion_in_progress,
                                     const std::set<core::endpoint_id>& members);
    void add_write(write_number number, const core::history_position& position, core::deadline deadline,
             core::time_point now);
    // `queried_at`: when the question was sent; `may_acknowledge`: the right as of `now`, asked in this very
    // turn.
    std::vector<write_outcome> on_replica_report(const replica_report& replicas, core::time_point queried_at,
                                  bool may_acknowledge, core::time_point now);
    std::vector<write_outcome> expire_writes(core::time_point now);
    // The lease lapsed.
    std::vector<write_outcome> end_all(core::reason why);

    [[nodiscard]] std::size_t waiting_write_count() const { return m_waiting.size(); }
    [[nodiscard]] std::optional<core::time_point> next_deadline() const;
    // When the longest waiting write was added.
    [[nodiscard]] std::optional<core::time_point> oldest_waiting_since() const;
    // The greatest position that a quorum holds according to `replicas`.
    [[nodiscard]] core::log_position quorum_position(const replica_report& replicas) const;

private:
    struct waiting_write {
        core::history_position m_position;
        core::deadline m_deadline;
        core::time_point m_added_at{};
    };

    [[nodiscard]] bool term_is_current(core::term term) const;

    core::endpoint_id m_self;
    quorum_rules m_rules;
    core::term m_term;
    bool m_promotion_in_progress = false;
    std::set<core::endpoint_id> m_members;
    std::map<write_number, waiting_write> m_waiting; // in order of number
};

} // namespace mangoquay::replication
