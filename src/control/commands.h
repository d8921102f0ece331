// The changes of the shared state. One command is the payload of one entry of the replicated log.
#pragma once

#include "control/control_state.h"

#include <variant>

namespace mangoquay::control {

// A proxy (re)starts or changes its addresses. A lower incarnation than the recorded one is refused.
struct register_proxy {
    core::entry_host_id m_host;
    proxy_record m_record;
};

// The proxy's lease lapsed, or it left in order: it owns nothing any more.
struct retire_proxy {
    core::entry_host_id m_host;
    core::incarnation m_incarnation;
};

// An endpoint, or its platform, announces itself. Renewals that change nothing do not reach the log.
// m_role: what the endpoint says of itself. The first primary of a new group is believed; later a primary
// that is not the group's becomes needs_rewind.
struct announce_endpoint {
    core::endpoint_id m_endpoint;
    core::group_id m_group;
    core::availability_zone m_zone;
    socket_address m_address;
    endpoint_role m_role = endpoint_role::replica;
    core::term m_term; // for a primary: the term it is in; 0: not said
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

// Refused unless m_epoch is above the endpoint's last one.
struct assign_owner {
    core::endpoint_id m_endpoint;
    core::entry_host_id m_owner;
    core::owner_epoch m_epoch;
};

// A replica starts to count for the quorum. Proposed once the previous change of members is in force
// everywhere and a quorum of the present members holds what the primary held by then: quorums that differ by
// more than one member need not share one, and an acknowledged write could be missed by a promotion.
struct admit_member {
    core::group_id m_group;
    core::endpoint_id m_endpoint;
    core::revision
        m_expected_members_changed_at; // m_members_changed_at that was seen; refused when it has changed
};

// Starts a planned hand-over. Refused unless m_primary is the group's primary and no promotion is in
// progress.
struct hold_writes {
    core::group_id m_group;
    core::endpoint_id m_primary;
};

// Gives a planned hand-over up; the primary stays.
struct release_writes {
    core::group_id m_group;
};

// The old term gets no more acknowledgements from any process that has applied this.
struct begin_promotion {
    core::group_id m_group;
    core::term m_term; // must be above the group's present one
};

struct finish_promotion {
    core::group_id m_group;
    core::term m_term; // the one the new primary is in; at least that of begin_promotion
    core::endpoint_id m_primary;
    core::log_position m_fork_position;
};

// Operator changes. m_expected_revision is the revision of the object that the operator saw; 0: it must not
// exist yet.
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
    core::revision m_expected_revision; // of the service
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
