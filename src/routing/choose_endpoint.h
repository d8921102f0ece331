// The routing decision: which endpoint runs a statement, and why. Deterministic: the state, the learned
// positions, the request, the time and a random number are all passed in.
//
// Decides: the endpoint, how long its owner may wait for the position, or why there is none. Owns nothing.
// Invariants: a write goes to the primary of the present term only; a read goes to a replica only with a
// position or an age that the owner is to check.
#pragma once

#include "control/control_state.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/verdict.h"
#include "routing/position_table.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace mangoquay::routing {

// A read waits at most this long at a replica for the session's position. Replication between zones takes
// about 1 ms, so a replica that needs longer is behind, and the primary is the faster choice.
inline constexpr core::milliseconds max_position_wait{50};
// An export has no other place to go and is not urgent.
inline constexpr core::milliseconds max_export_wait{1000};
// A replica in the proxy's own zone is preferred until it has this many more outstanding requests per slot.
inline constexpr double remote_zone_cost = 1.0;

enum class request_purpose : std::uint8_t { read, write, export_read };

struct route_request {
    core::service_name m_service;
    core::group_id m_group;
    request_purpose m_purpose = request_purpose::write;
    // Read: of a token that verified and has the group. Export: the settled position, or a later one of the
    // token. Absent: nothing can be trusted.
    std::optional<core::history_position> m_least_position;
    std::optional<core::milliseconds> m_max_age;
    core::availability_zone m_zone; // of this proxy
    bool m_view_current = false;
    bool m_lease_valid = false;
    core::deadline m_deadline;
    std::set<core::endpoint_id> m_excluded; // tried in vain for this request
    std::uint64_t m_random = 0;             // spreads requests over equally good endpoints
};

enum class route_reason : std::uint8_t {
    write_to_primary,
    position_reached,        // a replica known to be at or past the position
    position_expected,       // a replica that should reach it within the wait
    age_allowed,             // a replica whose owner proves the age
    settled_day,             // an export at a replica
    primary_no_token,        // nothing proves what the session has seen
    primary_replicas_behind, // no usable replica reaches the position in time
    primary_no_replica,      // no usable replica
    refused,
};
std::string_view to_string(route_reason value);

struct route_decision {
    core::endpoint_id m_endpoint; // empty: refused
    core::entry_host_id m_owner;
    core::owner_epoch m_epoch;
    bool m_replica = false;
    // A replica was usable but for its position or age; counts towards the share of reads at replicas.
    bool m_replica_eligible = false;
    core::milliseconds m_position_wait{0};
    // What the owner is to check. For a replica never below the start of the present term, so that a replica
    // that still has the tail of a replaced term refuses. Absent for the primary, which defines the position.
    std::optional<core::history_position> m_least_position;
    route_reason m_reason = route_reason::refused;
    core::reason m_refusal = core::reason::none;

    [[nodiscard]] bool refused() const { return m_endpoint.value().empty(); }
};

// For the log: `endpoint=b2 owner=h1 reason=position_reached wait_ms=0`.
std::string describe(const route_decision& decision);

// Every rule is on. Tests switch one off to show that the property that guards it fails without it.
struct route_rules {
    bool m_check_position = true;   // a position known to be lower is not "reached"
    bool m_refuse_old_terms = true; // an endpoint of a replaced term gets no reads
    bool m_require_current = true;  // the primary of a view that is not current gets nothing
    bool m_exclude_leaving = true;  // endpoints that are leaving get no work
};

route_decision choose_endpoint(const control::control_state& state, const position_table& positions,
                               const route_request& request, core::time_point now,
                               const route_rules& rules = {});

// The group of a routing key. The same on all proxies and for ever: it decides where a key's rows are.
const core::group_id& group_of_key(const control::service_record& service, std::string_view key);

} // namespace mangoquay::routing
