// The commands that change the shared state. Each entry of the replicated log holds one command.
#pragma once

#include "control/control_state.h"

#include <variant>

namespace mangoquay::control {

// Registers a proxy that starts or restarts, or updates its record. Refused if the registered incarnation is
// higher.
struct register_proxy {
    core::entry_host_id m_host;
    proxy_record m_record;
};

// Removes a proxy whose lease expired or that shut down gracefully. It owns no endpoints afterwards.
struct retire_proxy {
    core::entry_host_id m_host;
    core::incarnation m_incarnation;
};

// Announces an endpoint, by itself or by its platform. Renewals that change nothing are not written to the
// log. m_role is the role that the endpoint claims. The first endpoint of a new group that claims to be
// primary is accepted as such; any other one that does so later gets the role needs_rewind.
struct announce_endpoint {
    core::endpoint_id m_endpoint;
    core::group_id m_group;
    core::availability_zone m_zone;
    socket_address m_address;
    endpoint_role m_role = endpoint_role::replica;
    core::term m_term; // Term of a primary, or the term that a replica follows. 0 if not stated.
    std::uint32_t m_slots = 0;
    std::uint32_t m_connections = 0;
};

struct expire_endpoint {
    core::endpoint_id m_endpoint;
};

struct drain_endpoint {
    core::endpoint_id m_endpoint;
    bool m_leaving = true;
};

// Refused unless m_epoch is above the last epoch of the endpoint.
struct assign_owner {
    core::endpoint_id m_endpoint;
    core::entry_host_id m_owner;
    core::owner_epoch m_epoch;
};

// Adds a replica to the members that count for the quorum. Proposed only after the previous membership change
// is in effect on all hosts and a quorum of the current members holds what the primary held at that time.
// Quorums of member sets that differ by more than one member may be disjoint, so a promotion could lose an
// acknowledged write.
struct admit_member {
    core::group_id m_group;
    core::endpoint_id m_endpoint;
    // Value of m_members_changed_at on which the proposal is based. Refused if it has changed since.
    core::revision m_expected_members_changed_at;
};

// Starts a planned hand-over. Refused unless m_primary is the group's primary, no promotion is in progress
// and writes are not held yet.
struct hold_writes {
    core::group_id m_group;
    core::endpoint_id m_primary;
};

// Cancels a planned hand-over. The primary keeps its role.
struct release_writes {
    core::group_id m_group;
};

// Starts a promotion. A process that has applied this command acknowledges no more writes of the old term.
struct begin_promotion {
    core::group_id m_group;
    core::term m_term; // Must be above the current term of the group.
};

struct finish_promotion {
    core::group_id m_group;
    core::term m_term; // Term of the new primary. At least that of begin_promotion.
    core::endpoint_id m_primary;
    core::log_position m_fork_position;
};

// Operator changes. m_expected_revision is the revision of the object on which the change is based. 0 means
// that the object must not exist yet, or is a built-in preset.
struct put_service {
    core::request_id m_request_id;
    core::revision m_expected_revision;
    core::service_name m_service;
    service_record m_record;
};

struct put_preset {
    core::request_id m_request_id;
    core::revision m_expected_revision;
    core::preset_name m_preset;
    preset_record m_record;
};

struct select_preset {
    core::request_id m_request_id;
    core::revision m_expected_revision; // Revision of the service.
    core::service_name m_service;
    core::preset_name m_preset;
};

struct close_day {
    core::request_id m_request_id;
    day_key m_key;
};

struct settle_day {
    day_key m_key;
    std::map<core::group_id, core::history_position> m_positions;
};

using command = std::variant<register_proxy, retire_proxy, announce_endpoint, expire_endpoint, drain_endpoint,
                             assign_owner, admit_member, hold_writes, release_writes, begin_promotion,
                             finish_promotion, put_service, put_preset, select_preset, close_day, settle_day>;

} // namespace mangoquay::control
