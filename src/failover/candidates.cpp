// Selects the replica to promote.
#include "failover/candidates.h"

#include <algorithm>

namespace mangoquay::failover {
namespace {

core::term latest_term(const control::group_record& group) {
    return group.m_fork_positions.empty() ? core::term{} : group.m_fork_positions.rbegin()->first;
}

} // namespace

std::optional<core::history_position> trusted_position(const control::group_record& group,
                                                       core::history_position reported) {
    const core::term latest = latest_term(group);
    if (reported.m_term >= latest) {
        return reported;
    }
    const bool common =
        std::all_of(group.m_fork_positions.upper_bound(reported.m_term), group.m_fork_positions.end(),
                    [&](const auto& fork) { return reported.m_position <= fork.second; });
    if (!common) {
        return std::nullopt;
    }
    return core::history_position{latest, reported.m_position};
}

bool promoted_already(const control::group_record& group, const core::endpoint_id& endpoint,
                      const endpoint_status& status) {
    return !status.m_in_recovery && status.m_position.m_term >= group.m_term &&
           !group.m_needs_rewind.contains(endpoint);
}

std::optional<core::endpoint_id> most_advanced(const control::group_record& group,
                                               const std::map<core::endpoint_id, stopped_member>& stopped,
                                               const std::optional<core::history_position>& old_primary) {
    std::optional<core::endpoint_id> best;
    core::history_position best_position;
    const core::term latest = latest_term(group);
    std::size_t counted = 0;
    for (const auto& [id, member] : stopped) {
        core::history_position reported = member.m_status.m_position;
        reported.m_term = std::max(reported.m_term, member.m_seen_term);
        const auto position = trusted_position(group, reported);
        if (!member.m_status.m_in_recovery || group.m_needs_rewind.contains(id) || !position) {
            continue;
        }
        ++counted;
        // A replica that never received the latest term would give its new timeline the number of that term.
        if (reported.m_term < latest) {
            continue;
        }
        const bool preferred =
            best && *position == best_position && stopped.at(*best).m_leaving && !member.m_leaving;
        if (!best || *position > best_position || preferred) {
            best = id;
            best_position = *position;
        }
    }
    const std::size_t members = group.m_members.size();
    const bool with_old_primary = best && old_primary && best_position >= *old_primary;
    const std::size_t answered = counted + (with_old_primary ? 1 : 0);
    if (stopped.size() < replicas_to_stop(members) || answered < quorum_size(members)) {
        return std::nullopt;
    }
    return best;
}

} // namespace mangoquay::failover
