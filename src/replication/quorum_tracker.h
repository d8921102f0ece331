// Keeps committed writes until a quorum of the group's databases holds them, and decides whether they are
// acknowledged.
//
// Owns: waiting writes with their position, term and deadline; the term and the members of the group.
// Deterministic. Each write ends exactly once: acknowledged, or uncertain with a reason.
//
// Invariant: a write is acknowledged only if a quorum holds its position, the primary reported this after the
// write was added and under the term in which the write was committed, and the permission to acknowledge is
// confirmed in the same call.
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

// Safety rules, all enabled in production. Tests disable one to verify that the corresponding property fails.
struct quorum_rules {
    bool m_require_quorum = true;
    bool m_check_term = true;
    bool m_check_permission = true;
    bool m_check_deadline = true;
    bool m_count_members_only = true;
};

struct write_outcome {
    write_number m_number{};
    // Reason why the outcome is uncertain; none if the write is acknowledged.
    core::reason m_uncertain_reason = core::reason::none;
};

// Flushed positions of the replicas, as reported by the primary in one answer.
struct replica_report {
    core::term m_term; // Term of the primary when it answered.
    std::map<core::endpoint_id, core::log_position> m_flushed;
};

class quorum_tracker {
public:
    explicit quorum_tracker(core::endpoint_id self, const quorum_rules& rules = {});

    // Sets the state of the group and ends the writes of other terms. A promotion in progress counts as
    // another term.
    std::vector<write_outcome> set_group(core::term term, bool promotion_in_progress,
                                         const std::set<core::endpoint_id>& members);
    // Adds a committed write, which ends as uncertain if a quorum does not hold `position` before `deadline`.
    void add_write(write_number number, const core::history_position& position, core::deadline deadline,
                   core::time_point now);
    // Ends the writes whose outcome `replicas` decides. `queried_at` is the time at which the query to the
    // primary was sent. `may_acknowledge` is the permission to acknowledge as of `now`; it must be determined
    // right before the call.
    std::vector<write_outcome> on_replica_report(const replica_report& replicas, core::time_point queried_at,
                                                 bool may_acknowledge, core::time_point now);
    // Ends the writes whose deadline has passed.
    std::vector<write_outcome> expire_writes(core::time_point now);
    // Ends all writes with `reason`, for example because the lease has expired.
    std::vector<write_outcome> end_all(core::reason reason);

    [[nodiscard]] std::size_t waiting_write_count() const { return m_waiting.size(); }
    [[nodiscard]] std::optional<core::time_point> next_deadline() const;
    // Time at which the longest waiting write was added.
    [[nodiscard]] std::optional<core::time_point> oldest_waiting_since() const;
    // Returns the greatest position that a quorum of the members holds according to `replicas`.
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
    std::map<write_number, waiting_write> m_waiting; // In order of their numbers.
};

} // namespace mangoquay::replication
