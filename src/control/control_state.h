// The replicated state. Every control host and every proxy applies the same committed commands in the same
// order, so each process holds the state after some prefix of one history.
//
// Plain data: uses no clock and no random numbers, and is changed only by apply() in control/apply.h.
#pragma once

#include "core/history_position.h"
#include "core/ids.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mangoquay::control {

struct socket_address {
    std::string m_host; // IP address.
    std::uint16_t m_port = 0;

    friend auto operator<=>(const socket_address&, const socket_address&) = default;
};

struct proxy_record {
    core::availability_zone m_zone;
    socket_address m_peer_address; // Receives frames of other hosts.
    socket_address m_http_address; // Serves callers.
    core::incarnation m_incarnation;
    bool m_leaving = false; // The proxy is draining and is assigned no more endpoints.

    friend bool operator==(const proxy_record&, const proxy_record&) = default;
};

enum class endpoint_role : std::uint8_t { primary, replica, needs_rewind };

struct endpoint_record {
    core::group_id m_group;
    core::availability_zone m_zone;
    socket_address m_address;
    endpoint_role m_role = endpoint_role::replica;
    std::uint32_t m_slots = 0; // Maximum number of statements that run concurrently.
    // Maximum number of open connections, including the monitoring connection.
    std::uint32_t m_connections = 0;
    bool m_leaving = false;          // Drained by an operator or its platform; accepts no new requests.
    core::entry_host_id m_owner;     // Empty if the endpoint has no owner.
    core::owner_epoch m_owner_epoch; // Never decreases, even if the endpoint expires and is announced again.

    friend bool operator==(const endpoint_record&, const endpoint_record&) = default;
};

struct group_record {
    // Term under which writes are acknowledged. During a promotion, the term that follows it.
    core::term m_term;
    core::endpoint_id m_primary; // Empty during a promotion and before the first primary is announced.
    bool m_promotion_in_progress = false;
    core::endpoint_id m_old_primary; // Set only while a promotion is in progress.
    // A planned hand-over is being prepared. The owner starts no more writes; writes in flight are finished
    // and acknowledged. Cleared by begin_promotion or release_writes.
    bool m_writes_held = false;
    core::revision m_writes_held_at; // Revision of the last hold_writes.
    // Endpoints that count for the quorum of the group, whether reachable or not. An expired endpoint stays a
    // member, so that a reachable minority can never form a quorum. Once the group has a primary, members are
    // added one at a time by admit_member.
    std::set<core::endpoint_id> m_members;
    core::revision m_members_changed_at;
    // Endpoints whose history may have diverged from that of the group. An entry is kept after the endpoint
    // record expires. It is removed when the endpoint announces itself as a replica of the current term or
    // becomes primary.
    std::set<core::endpoint_id> m_needs_rewind;
    // Start position of each term: the position at which its primary was promoted.
    std::map<core::term, core::log_position> m_fork_positions;

    friend bool operator==(const group_record&, const group_record&) = default;
};

struct preset_record {
    core::revision m_revision; // Revision of the last change of the preset. 0 for a built-in definition.
    // Number of slots per endpoint that are reserved for short work.
    std::uint32_t m_reserved_short_slots = 1;
    std::uint32_t m_queue_bound_per_slot = 40;
    std::uint32_t m_shed_wait_ms = 2000;  // A request with a longer expected wait is refused immediately.
    std::uint32_t m_warm_connections = 8; // Number of connections kept open per endpoint.
    std::uint32_t m_max_age_limit_ms = 60000;
    std::uint32_t m_retry_budget_percent = 10; // Number of retries allowed per 100 first attempts.
    std::set<core::endpoint_id> m_drained_endpoints;

    friend bool operator==(const preset_record&, const preset_record&) = default;
};

struct service_record {
    core::revision m_revision;
    // The order is significant: the key of a statement is hashed to an index.
    std::vector<core::group_id> m_groups;
    core::preset_name m_preset;
    std::uint32_t m_default_deadline_ms = 5000;

    friend bool operator==(const service_record&, const service_record&) = default;
};

enum class day_phase : std::uint8_t { closing, settled };

struct day_record {
    day_phase m_phase = day_phase::closing;
    core::revision m_closed_at;
    // Set once the day is settled. An export read of the day needs at least this position in each group.
    std::map<core::group_id, core::history_position> m_positions;

    friend bool operator==(const day_record&, const day_record&) = default;
};

struct day_key {
    core::service_name m_service;
    core::business_day m_day;

    friend auto operator<=>(const day_key&, const day_key&) = default;
};

// Outcome of a command. For an operator request the first outcome is stored and returned to resends.
struct command_outcome {
    bool m_accepted = false;
    core::revision m_revision;
    std::string m_reason;  // "revision_conflict", "invalid_change" or "internal_fault"; empty if accepted.
    std::string m_message; // Explanation for the operator.

    friend bool operator==(const command_outcome&, const command_outcome&) = default;
};

struct control_state {
    core::revision m_revision; // Revision of the last command applied.
    std::map<core::entry_host_id, proxy_record> m_proxies;
    std::map<core::endpoint_id, endpoint_record> m_endpoints;
    std::map<core::endpoint_id, core::owner_epoch> m_last_epochs; // Kept after an endpoint expires.
    std::map<core::group_id, group_record> m_groups;
    std::map<core::service_name, service_record> m_services;
    std::map<core::preset_name, preset_record> m_presets;
    std::map<day_key, day_record> m_days;
    std::map<core::request_id, command_outcome> m_outcomes;
    std::vector<core::request_id> m_outcome_order; // Keys of m_outcomes, oldest first.

    friend bool operator==(const control_state&, const control_state&) = default;
};

} // namespace mangoquay::control
