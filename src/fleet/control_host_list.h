// Decides which control hosts a subscriber knows: those of its settings, those that other control hosts name,
// and none that has been silent for long.
//
// Deterministic; update_subscriber passes the time in.
//
// Invariant: a host that has answered since the last round stays when others are removed.
#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace mangoquay::fleet {

// A control host that has not answered for this long, while others did, is removed. A host that is still a
// member of the cell is added again by the next update of another control host.
inline constexpr core::milliseconds control_host_retention{20000};

struct round_changes {
    std::vector<core::entry_host_id> m_added;
    std::vector<core::entry_host_id> m_removed;
};

class control_host_list {
public:
    explicit control_host_list(core::entry_host_id self) : m_self(std::move(self)) {}

    // Adds a host of the settings, which is asked again when no other one answers.
    void add_seed(const core::entry_host_id& host, core::time_point now);
    // Returns false if the host is known already, or is this host itself.
    bool add(const core::entry_host_id& host, core::time_point now);
    // Returns false if the host is not known.
    bool on_answer(const core::entry_host_id& host, core::time_point now);
    // Called before each round of queries.
    round_changes start_round(core::time_point now);

    [[nodiscard]] const std::set<core::entry_host_id>& hosts() const { return m_hosts; }

private:
    core::entry_host_id m_self;
    std::set<core::entry_host_id> m_seeds;
    std::set<core::entry_host_id> m_hosts;
    std::map<core::entry_host_id, core::time_point> m_last_answers;
    bool m_answered_in_round = false; // By any of m_hosts.
    core::deadline m_round_overdue;
};

} // namespace mangoquay::fleet
