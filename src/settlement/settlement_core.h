// The control leader's core that settles closed business days (design page 2.8).
//
// Receives heartbeats, readings of positions and ticks; sends readings and proposals. Owns volatile state
// only: the days to settle are those in phase `closing` in the replicated state, so a new leader starts over.
#pragma once

#include "control/commands.h"
#include "core/clock.h"
#include "failover/endpoint_steps.h"
#include "membership/lease_table.h"

#include <map>
#include <optional>
#include <set>
#include <variant>

namespace mangoquay::settlement {

inline constexpr core::milliseconds reading_retry{600};
inline constexpr core::milliseconds proposal_retry{500};

// The shell runs readings like those of the failover core and answers with a failover::step_answer.
using action = std::variant<failover::read_position, failover::propose>;
using actions = std::vector<action>;

class settlement_core {
public:
    void elected();
    void on_heartbeat(const membership::heartbeat& beat);
    void on_reading(const control::control_state& state, const failover::step_answer& answer);
    // About every 100 ms.
    actions tick(core::time_point now, const control::control_state& state, membership::lease_table& leases);

private:
    struct host_report {
        core::incarnation m_incarnation;
        std::uint64_t m_number = 0;
        core::revision m_applied;
        std::map<control::day_key, std::uint32_t> m_unsettled;
        std::set<core::endpoint_id> m_locked; // endpoints at which it holds the owner's lock
    };
    struct reading {
        std::uint64_t m_attempt = 0;
        core::deadline m_retry;
        std::optional<core::history_position> m_position;
    };
    struct group_progress {
        core::term m_term;
        core::endpoint_id m_primary;
        std::optional<core::history_position> m_target; // of the primary, read after the writes had drained
        std::map<core::endpoint_id, reading> m_readings;
    };
    struct closing {
        bool m_drained = false;
        std::map<core::group_id, group_progress> m_groups;
        core::deadline m_next_proposal;
    };

    [[nodiscard]] bool drained(core::time_point now, const control::control_state& state,
                               membership::lease_table& leases, const control::day_key& key) const;
    [[nodiscard]] bool taken_over(core::time_point now, const control::control_state& state,
                                  const membership::lease_table& leases, const core::group_id& group) const;
    void read_group(core::time_point now, const control::control_state& state, const core::group_id& group,
                    group_progress& progress, actions& out);
    void request(core::time_point now, const core::endpoint_id& endpoint, reading& wanted, actions& out);

    std::map<core::entry_host_id, host_report> m_hosts;
    std::map<control::day_key, closing> m_closings;
    std::uint64_t m_last_attempt = 0;
};

} // namespace mangoquay::settlement
