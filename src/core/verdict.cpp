// Names of verdicts and reasons in answers to callers and in log lines, in the order of the enum values.
#include "core/verdict.h"

#include <array>

namespace mangoquay::core {
namespace {

constexpr std::array verdict_names{"ran", "not_run", "may_have_run"};

constexpr std::array reason_names{
    "none",
    "database_error",
    "malformed_request",
    "unauthenticated",
    "unknown_service",
    "unknown_group",
    "unknown_transaction",
    "transaction_on_other_proxy",
    "transaction_failed",
    "deadline_exceeded",
    "overloaded",
    "connection_limit",
    "no_primary",
    "no_eligible_endpoint",
    "data_too_old",
    "endpoint_leaving",
    "owner_changed",
    "owner_unreachable",
    "endpoint_unreachable",
    "connection_lost",
    "term_replaced",
    "lease_lapsed",
    "quorum_not_reached",
    "control_not_current",
    "day_closed",
    "day_not_settled",
    "shutting_down",
    "revision_conflict",
    "invalid_change",
    "internal_fault",
};
static_assert(reason_names.size() == static_cast<std::size_t>(reason::internal_fault) + 1);

template <class Enum, class Names>
std::optional<Enum> parse(const Names& names, std::string_view text) {
    for (std::size_t index = 0; index < names.size(); ++index) {
        if (text == names[index]) {
            return static_cast<Enum>(index);
        }
    }
    return std::nullopt;
}

} // namespace

std::string_view to_string(verdict value) {
    return verdict_names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(reason value) {
    return reason_names.at(static_cast<std::size_t>(value));
}

std::optional<verdict> parse_verdict(std::string_view text) {
    return parse<verdict>(verdict_names, text);
}

std::optional<reason> parse_reason(std::string_view text) {
    return parse<reason>(reason_names, text);
}

} // namespace mangoquay::core
