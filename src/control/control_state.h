// The state that all hosts share. Every control host and every proxy applies the same committed commands in
// the same order, so the view of each process is a prefix of one history.
//
// Owns: nothing outside itself; no clock, no random numbers. Changed only by apply() in control/apply.h.
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
    std::string m_host; // IP number
    std::uint16_t m_port = 0;

    friend auto operator<=>(const socket_address&, const socket_address&) = default;
};

struct proxy_record {
    core::availability_zone m_zone;
    socket_address m_peer_address; // frames
    socket_address m_http_address; // callers
    core::incarnation m_incarnation;
    bool m_leaving = false; // draining: gets no new ownership

    friend bool operator==(const proxy_record&, const proxy_record&) = default;
};

enum class endpoint_role : std::uint8_t { primary, replica, needs_rewind };

struct endpoint_record {
    core::group_id m_group;
    core::availability_zone m_zone;
    socket_address m_address;
    endpoint_role m_role = endpoint_role::replica;
    std::uint32_t m_slots = 0;       // statements that may run at once
    std::uint32_t m_connections = 0; // connections that may be open at once, those for monitoring included
    bool m_leaving = false;          // drained by an operator or its platform: gets no new work
    core::entry_host_id m_owner;     // empty: none yet
    core::owner_epoch m_owner_epoch; // never goes back, also after the endpoint expired and returned

    friend bool operator==(const endpoint_record&, const endpoint_record&) = default;
};

struct group_record {
    core::term
        m_term; // the term under which writes are acknowledged, or are to be once the promotion is finished
    core::endpoint_id m_primary; // empty while a promotion is in progress or before the first announcement
    bool m_promotion_in_progress = false;
    core::endpoint_id m_old_primary; // while a promotion is in progress
    // A planned hand-over is being prepared: the owner starts no further write and finishes those in flight.
    // They are still acknowledged. Ends with begin_promotion or release_writes.
    bool m_writes_held = false;
    core::revision m_writes_held_at;
    // Databases of the group that count for its quorum, alive or not. An endpoint that expired stays a
    // member, so that a quorum is never formed from a minority that happens to be in sight. Once the group
    // has a primary, members join one at a time by admit_member.
    std::set<core::endpoint_id> m_members;
    core::revision m_members_changed_at;
    // Members whose history may have left the group's. Outlives an expired record; ends when the member
    // announces itself as a replica under the present term.
    std::set<core::endpoint_id> m_needs_rewind;
    // Where each term began: the position at which its primary was promoted.
    std::map<core::term, core::log_position> m_fork_positions;

    friend bool operator==(const group_record&, const group_record&) = default;
};

struct preset_record {
    core::revision m_revision; // of the last change of this object; 0 for the built-in definition
    std::uint32_t m_reserved_short_slots = 1; // per endpoint, kept from long work
    std::uint32_t m_queue_bound_per_slot = 40;
    std::uint32_t m_shed_wait_ms = 2000;  // a request that would wait longer is refused at once
    std::uint32_t m_warm_connections = 8; // per endpoint
    std::uint32_t m_max_age_limit_ms = 60000;
    std::uint32_t m_retry_budget_percent = 10; // retries allowed per 100 first tries
    std::set<core::endpoint_id> m_drained_endpoints;

    friend bool operator==(const preset_record&, const preset_record&) = default;
};

struct service_record {
    core::revision m_revision;
    std::vector<core::group_id> m_groups; // order matters: a statement's key is hashed to an index
    core::preset_name m_preset;
    std::uint32_t m_default_deadline_ms = 5000;

    friend bool operator==(const service_record&, const service_record&) = default;
};

enum class day_phase : std::uint8_t { closing, settled };

struct day_record {
    day_phase m_phase = day_phase::closing;
    core::revision m_closed_at;
    // Present once settled: the least position of each group that an export read of the day may see.
    std::map<core::group_id, core::history_position> m_positions;

    friend bool operator==(const day_record&, const day_record&) = default;
};

struct day_key {
    core::service_name m_service;
    core::business_day m_day;

    friend auto operator<=>(const day_key&, const day_key&) = default;
};

// First outcome of an operator's request, handed out again to a resend.
struct command_outcome {
    bool m_accepted = false;
    core::revision m_revision;
    std::string m_reason;  // "revision_conflict", "invalid_change"; empty when accepted
    std::string m_message; // for a person

    friend bool operator==(const command_outcome&, const command_outcome&) = default;
};

struct control_state {
    core::revision m_revision; // of the last command applied
    std::map<core::entry_host_id, proxy_record> m_proxies;
    std::map<core::endpoint_id, endpoint_record> m_endpoints;
    std::map<core::endpoint_id, core::owner_epoch> m_last_epochs; // outlives an expired endpoint
    std::map<core::group_id, group_record> m_groups;
    std::map<core::service_name, service_record> m_services;
    std::map<core::preset_name, preset_record> m_presets;
    std::map<day_key, day_record> m_days;
    std::map<core::request_id, command_outcome> m_outcomes;
    std::vector<core::request_id> m_outcome_order; // oldest first; bounds m_outcomes

    friend bool operator==(const control_state&, const control_state&) = default;
};

} // namespace mangoquay::control
