// Routing of a statement: selects the endpoint that runs it and reports the reason. Deterministic: the
// control state, the last known positions, the request, the time and a random number are all passed in.
//
// Decides: the endpoint and how long its owner may wait for the requested position, or the reason for a
// refusal. Owns nothing.
//
// Invariants: a write goes only to the primary of the current term; a read goes to a replica only together
// with a position or a maximum age that the endpoint's owner checks.
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

// Longest wait of a read at a replica for the session's position. Replication between zones takes about 1 ms,
// so a replica that needs longer than this is lagging, and the primary answers sooner.
inline constexpr core::milliseconds max_position_wait{50};
// Longest wait of an export at a replica. Exports are not urgent, so they wait longer for a replica than
// other reads.
inline constexpr core::milliseconds max_export_wait{1000};
// Cost of a replica in another zone, in outstanding requests per slot: a replica in the proxy's own zone is
// preferred until it has this many more of them.
inline constexpr double remote_zone_cost = 1.0;

enum class request_purpose : std::uint8_t { read, write, export_read };

struct route_request {
    core::service_name m_service;
    core::group_id m_group;
    request_purpose m_purpose = request_purpose::write;
    // Position that the read must observe. For a read, the position of the group in a verified token. For an
    // export, the later of the settled position and the token's position. Absent if there is neither.
    std::optional<core::history_position> m_min_position;
    std::optional<core::milliseconds> m_max_age;
    core::availability_zone m_zone; // Zone of this proxy.
    bool m_view_current = false;
    bool m_lease_valid = false;
    core::deadline m_deadline;
    std::set<core::endpoint_id> m_excluded; // Endpoints tried without success for this request.
    std::uint64_t m_random = 0;             // Breaks ties between endpoints of equal cost.
};

enum class route_reason : std::uint8_t {
    write_to_primary,
    position_reached,        // The replica is known to be at or past the position.
    position_expected,       // The replica is expected to reach the position within the wait.
    age_allowed,             // The owner of the replica verifies the maximum age.
    settled_day,             // Export from a replica.
    primary_no_token,        // No position and no maximum age is known for the session.
    primary_replicas_behind, // No usable replica is expected to reach the position in time.
    primary_no_replica,      // No replica is usable.
    refused,
};
std::string_view to_string(route_reason value);

struct route_decision {
    core::endpoint_id m_endpoint; // Empty if the request is refused.
    core::entry_host_id m_owner;
    core::owner_epoch m_epoch;
    bool m_replica = false;
    // At least one replica was usable, regardless of its position or data age. Input of the metric for the
    // share of reads served by replicas.
    bool m_replica_eligible = false;
    core::milliseconds m_position_wait{0};
    // Position that the owner has to check. For a replica it is never below the start of the current term, so
    // that a replica that still has the diverged tail of an earlier term refuses the read. Absent for the
    // primary, which defines the position.
    std::optional<core::history_position> m_min_position;
    route_reason m_reason = route_reason::refused;
    core::reason m_refusal = core::reason::none;

    [[nodiscard]] bool refused() const { return m_endpoint.value().empty(); }
};

// Text for the log: `endpoint=b2 owner=h1 reason=position_reached wait_ms=0`.
std::string describe(const route_decision& decision);

// Safety rules, all enabled in production. Tests disable one to verify that the corresponding property fails.
struct route_rules {
    bool m_check_position = true;   // A replica whose known position is lower has not reached the position.
    bool m_refuse_old_terms = true; // An endpoint of a replaced term gets no reads.
    bool m_require_current = true;  // The primary of an outdated view gets no statements.
    bool m_exclude_leaving = true;  // Endpoints that are leaving get no statements.
};

// Selects the endpoint for `request` as of `now`. Never blocks; a refusal is returned in the decision.
route_decision choose_endpoint(const control::control_state& state, const position_table& positions,
                               const route_request& request, core::time_point now,
                               const route_rules& rules = {});

// Returns the group of a routing key. The mapping must be the same on all proxies and must never change,
// because it determines in which group the rows of a key are stored. The service must have at least one
// group.
const core::group_id& group_of_key(const control::service_record& service, std::string_view key);

} // namespace mangoquay::routing
