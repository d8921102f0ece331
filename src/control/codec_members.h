// The JSON members of each type, and the JSON names of commands and enumerators. describe() calls an archive,
// the writer or the reader in codec.cpp, with each name and member. A new member or command must be added
// here.
#pragma once

#include "control/commands.h"

#include <array>
#include <variant>

namespace mangoquay::control {

template <class Archive>
void describe(Archive& archive, socket_address& v) {
    archive("host", v.m_host);
    archive("port", v.m_port);
}
template <class Archive>
void describe(Archive& archive, proxy_record& v) {
    archive("zone", v.m_zone);
    archive("peer_address", v.m_peer_address);
    archive("http_address", v.m_http_address);
    archive("incarnation", v.m_incarnation);
    archive("leaving", v.m_leaving);
}
template <class Archive>
void describe(Archive& archive, endpoint_record& v) {
    archive("group", v.m_group);
    archive("zone", v.m_zone);
    archive("address", v.m_address);
    archive("role", v.m_role);
    archive("slots", v.m_slots);
    archive("connections", v.m_connections);
    archive("leaving", v.m_leaving);
    archive("owner", v.m_owner);
    archive("owner_epoch", v.m_owner_epoch);
}
template <class Archive>
void describe(Archive& archive, group_record& v) {
    archive("term", v.m_term);
    archive("primary", v.m_primary);
    archive("promotion_in_progress", v.m_promotion_in_progress);
    archive("old_primary", v.m_old_primary);
    archive("writes_held", v.m_writes_held);
    archive("held_at", v.m_writes_held_at);
    archive("members", v.m_members);
    archive("members_changed_at", v.m_members_changed_at);
    archive("needs_rewind", v.m_needs_rewind);
    archive("fork_positions", v.m_fork_positions);
}
template <class Archive>
void describe(Archive& archive, preset_record& v) {
    archive("revision", v.m_revision);
    archive("reserved_short_slots", v.m_reserved_short_slots);
    archive("queue_bound_per_slot", v.m_queue_bound_per_slot);
    archive("shed_wait_ms", v.m_shed_wait_ms);
    archive("warm_connections", v.m_warm_connections);
    archive("largest_max_age_ms", v.m_max_age_limit_ms);
    archive("retry_budget_percent", v.m_retry_budget_percent);
    archive("drained_endpoints", v.m_drained_endpoints);
}
template <class Archive>
void describe(Archive& archive, service_record& v) {
    archive("revision", v.m_revision);
    archive("groups", v.m_groups);
    archive("preset", v.m_preset);
    archive("default_deadline_ms", v.m_default_deadline_ms);
}
template <class Archive>
void describe(Archive& archive, core::history_position& v) {
    archive("term", v.m_term);
    archive("position", v.m_position);
}
template <class Archive>
void describe(Archive& archive, day_key& v) {
    archive("service", v.m_service);
    archive("day", v.m_day);
}
template <class Archive>
void describe(Archive& archive, day_record& v) {
    archive("phase", v.m_phase);
    archive("closed_at", v.m_closed_at);
    archive("positions", v.m_positions);
}
template <class Archive>
void describe(Archive& archive, command_outcome& v) {
    archive("accepted", v.m_accepted);
    archive("revision", v.m_revision);
    archive("reason", v.m_reason);
    archive("message", v.m_message);
}
template <class Archive>
void describe(Archive& archive, control_state& v) {
    archive("revision", v.m_revision);
    archive("proxies", v.m_proxies);
    archive("endpoints", v.m_endpoints);
    archive("last_epochs", v.m_last_epochs);
    archive("groups", v.m_groups);
    archive("services", v.m_services);
    archive("presets", v.m_presets);
    archive("days", v.m_days);
    archive("outcomes", v.m_outcomes);
    archive("outcome_order", v.m_outcome_order);
}

template <class Archive>
void describe(Archive& archive, register_proxy& v) {
    archive("host", v.m_host);
    archive("record", v.m_record);
}
template <class Archive>
void describe(Archive& archive, retire_proxy& v) {
    archive("host", v.m_host);
    archive("incarnation", v.m_incarnation);
}
template <class Archive>
void describe(Archive& archive, announce_endpoint& v) {
    archive("endpoint", v.m_endpoint);
    archive("group", v.m_group);
    archive("zone", v.m_zone);
    archive("address", v.m_address);
    archive("role", v.m_role);
    archive("term", v.m_term);
    archive("slots", v.m_slots);
    archive("connections", v.m_connections);
}
template <class Archive>
void describe(Archive& archive, expire_endpoint& v) {
    archive("endpoint", v.m_endpoint);
}
template <class Archive>
void describe(Archive& archive, drain_endpoint& v) {
    archive("endpoint", v.m_endpoint);
    archive("leaving", v.m_leaving);
}
template <class Archive>
void describe(Archive& archive, assign_owner& v) {
    archive("endpoint", v.m_endpoint);
    archive("owner", v.m_owner);
    archive("epoch", v.m_epoch);
}
template <class Archive>
void describe(Archive& archive, admit_member& v) {
    archive("group", v.m_group);
    archive("endpoint", v.m_endpoint);
    archive("after", v.m_expected_members_changed_at);
}
template <class Archive>
void describe(Archive& archive, hold_writes& v) {
    archive("group", v.m_group);
    archive("primary", v.m_primary);
}
template <class Archive>
void describe(Archive& archive, release_writes& v) {
    archive("group", v.m_group);
}
template <class Archive>
void describe(Archive& archive, begin_promotion& v) {
    archive("group", v.m_group);
    archive("term", v.m_term);
}
template <class Archive>
void describe(Archive& archive, finish_promotion& v) {
    archive("group", v.m_group);
    archive("term", v.m_term);
    archive("primary", v.m_primary);
    archive("fork_position", v.m_fork_position);
}
template <class Archive>
void describe(Archive& archive, put_service& v) {
    archive("request_id", v.m_request_id);
    archive("expected_revision", v.m_expected_revision);
    archive("service", v.m_service);
    archive("record", v.m_record);
}
template <class Archive>
void describe(Archive& archive, put_preset& v) {
    archive("request_id", v.m_request_id);
    archive("expected_revision", v.m_expected_revision);
    archive("preset", v.m_preset);
    archive("record", v.m_record);
}
template <class Archive>
void describe(Archive& archive, select_preset& v) {
    archive("request_id", v.m_request_id);
    archive("expected_revision", v.m_expected_revision);
    archive("service", v.m_service);
    archive("preset", v.m_preset);
}
template <class Archive>
void describe(Archive& archive, close_day& v) {
    archive("request_id", v.m_request_id);
    archive("key", v.m_key);
}
template <class Archive>
void describe(Archive& archive, settle_day& v) {
    archive("key", v.m_key);
    archive("positions", v.m_positions);
}

// In the same order as the alternatives of `command`.
inline constexpr std::array command_names{
    "register_proxy", "retire_proxy",    "announce_endpoint", "expire_endpoint",
    "drain_endpoint", "assign_owner",    "admit_member",      "hold_writes",
    "release_writes", "begin_promotion", "finish_promotion",  "put_service",
    "put_preset",     "select_preset",   "close_day",         "settle_day"};
static_assert(command_names.size() == std::variant_size_v<command>);

inline constexpr std::array role_names{"primary", "replica", "needs_rewind"};
inline constexpr std::array phase_names{"closing", "settled"};

inline const auto& enum_names(endpoint_role) {
    return role_names;
}
inline const auto& enum_names(day_phase) {
    return phase_names;
}

} // namespace mangoquay::control
