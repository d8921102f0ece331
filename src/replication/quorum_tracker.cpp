// Quorum decisions.
#include "replication/quorum_tracker.h"

#include <algorithm>
#include <functional>

namespace mangoquay::replication {
namespace {

// Removes the writes for which `ends` returns a reason, and returns their outcomes.
template <class Waiting, class Ends>
std::vector<write_outcome> take_ended(Waiting& waiting, Ends ends) {
    std::vector<write_outcome> ended;
    for (auto item = waiting.begin(); item != waiting.end();) {
        const std::optional<core::reason> reason = ends(item->second);
        if (reason) {
            ended.push_back({item->first, *reason});
        }
        item = reason ? waiting.erase(item) : std::next(item);
    }
    return ended;
}

} // namespace

quorum_tracker::quorum_tracker(core::endpoint_id self, const quorum_rules& rules)
    : m_self(std::move(self)), m_rules(rules) {}

std::vector<write_outcome> quorum_tracker::set_group(core::term term, bool promotion_in_progress,
                                                     const std::set<core::endpoint_id>& members) {
    m_term = term;
    m_promotion_in_progress = promotion_in_progress;
    m_members = members;
    return take_ended(m_waiting, [this](const waiting_write& write) {
        return term_is_current(write.m_position.m_term) ? std::nullopt
                                                        : std::optional(core::reason::term_replaced);
    });
}

void quorum_tracker::add_write(write_number number, const core::history_position& position,
                               core::deadline deadline, core::time_point now) {
    m_waiting.emplace(number, waiting_write{position, deadline, now});
}

std::vector<write_outcome> quorum_tracker::on_replica_report(const replica_report& replicas,
                                                             core::time_point queried_at,
                                                             bool may_acknowledge, core::time_point now) {
    const core::log_position held = quorum_position(replicas);
    return take_ended(m_waiting, [&](const waiting_write& write) -> std::optional<core::reason> {
        // A report that was queried before the write was added may come from an earlier term or server.
        if (queried_at < write.m_added_at) {
            return std::nullopt;
        }
        const core::term term = write.m_position.m_term;
        if (m_rules.m_check_term && (!term_is_current(term) || replicas.m_term != term)) {
            return core::reason::term_replaced;
        }
        if (m_rules.m_check_deadline && write.m_deadline.passed(now)) {
            return core::reason::quorum_not_reached;
        }
        if (m_rules.m_require_quorum && held < write.m_position.m_position) {
            return std::nullopt;
        }
        if (m_rules.m_check_permission && !may_acknowledge) {
            return core::reason::lease_lapsed;
        }
        return core::reason::none;
    });
}

std::vector<write_outcome> quorum_tracker::expire_writes(core::time_point now) {
    return take_ended(m_waiting, [now](const waiting_write& write) {
        return write.m_deadline.passed(now) ? std::optional(core::reason::quorum_not_reached) : std::nullopt;
    });
}

std::vector<write_outcome> quorum_tracker::end_all(core::reason reason) {
    return take_ended(m_waiting, [reason](const waiting_write&) { return std::optional(reason); });
}

std::optional<core::time_point> quorum_tracker::next_deadline() const {
    std::optional<core::time_point> next;
    for (const auto& [number, write] : m_waiting) {
        next = next ? std::min(*next, write.m_deadline.m_at) : write.m_deadline.m_at;
    }
    return next;
}

std::optional<core::time_point> quorum_tracker::oldest_waiting_since() const {
    return m_waiting.empty() ? std::nullopt : std::optional(m_waiting.begin()->second.m_added_at);
}

core::log_position quorum_tracker::quorum_position(const replica_report& replicas) const {
    // The primary holds everything that it committed. Of the other databases, only members count.
    std::vector<core::log_position> others;
    for (const auto& [endpoint, flushed] : replicas.m_flushed) {
        if (endpoint != m_self && (!m_rules.m_count_members_only || m_members.contains(endpoint))) {
            others.push_back(flushed);
        }
    }
    std::ranges::sort(others, std::greater<>{});
    const std::size_t needed_others = m_members.size() / 2;
    if (!m_members.contains(m_self) || others.size() < needed_others) {
        return core::log_position{0};
    }
    return needed_others == 0 ? core::log_position{~std::uint64_t{0}} : others[needed_others - 1];
}

bool quorum_tracker::term_is_current(core::term term) const {
    return term == m_term && !m_promotion_in_progress;
}

} // namespace mangoquay::replication
