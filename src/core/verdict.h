// Whether a request has run, and the reason of its refusal or failure.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace mangoquay::core {

enum class verdict : std::uint8_t {
    ran,          // The request has run and its effects are durable.
    not_run,      // The request has no effect and will not have one.
    may_have_run, // The request was sent and its outcome is unknown.
};

enum class reason : std::uint8_t {
    none,
    database_error, // The database rejected the statement. Its effects were rolled back.
    malformed_request,
    unauthenticated,
    unknown_service,
    unknown_group,
    unknown_transaction,
    transaction_on_other_proxy,
    transaction_failed,
    deadline_exceeded,
    overloaded,
    connection_limit,
    no_primary,
    no_eligible_endpoint,
    data_too_old,
    endpoint_leaving,
    owner_changed,
    owner_unreachable,
    endpoint_unreachable,
    connection_lost,
    term_replaced,
    lease_lapsed,
    quorum_not_reached,
    control_not_current,
    day_closed,
    day_not_settled,
    shutting_down,
    revision_conflict,
    invalid_change,
    internal_fault,
};

std::string_view to_string(verdict value);
std::string_view to_string(reason value);
std::optional<verdict> parse_verdict(std::string_view text);
std::optional<reason> parse_reason(std::string_view text);

} // namespace mangoquay::core
