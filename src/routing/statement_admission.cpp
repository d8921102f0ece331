// Resolution of service, group and business day.
#include "routing/statement_admission.h"

#include <algorithm>

namespace mangoquay::routing {
namespace {

using core::reason;
using core::statement_kind;

const control::day_record* day_of(const control::control_state& state,
                                  const core::statement_request& request) {
    const auto found = state.m_days.find({request.m_service, request.m_business_day});
    return found == state.m_days.end() ? nullptr : &found->second;
}

std::optional<core::statement_answer> resolve_group(const control::service_record& service,
                                                    service_groups& group_cache, bool view_current,
                                                    entry_statement& statement) {
    core::group_id& group = statement.m_request.m_group;
    const auto& groups = service.m_groups;
    if (groups.empty()) {
        return core::refused_answer(reason::unknown_group, "the service has no groups");
    }
    if (statement.m_routing_key.has_value()) {
        group = group_of_key(service, *statement.m_routing_key);
    } else if (group.value().empty() && groups.size() == 1) {
        group = groups.front();
    } else if (group.value().empty()) {
        return core::refused_answer(reason::malformed_request,
                                    "the service has several groups: a group or a routing key is required");
    } else if (!group_cache.contains(statement.m_request.m_service, service, group)) {
        return core::refused_answer(view_current ? reason::unknown_group : reason::control_not_current,
                                    "the service has no group " + group.value());
    }
    return std::nullopt;
}

std::optional<core::statement_answer> check_day(const control::control_state& state,
                                                const entry_statement& statement) {
    const core::statement_request& request = statement.m_request;
    const control::day_record* day = day_of(state, request);
    if (statement.m_export) {
        if (settled_position(state, request).has_value()) {
            return std::nullopt;
        }
        core::statement_answer answer =
            core::refused_answer(reason::day_not_settled, "the business day is not settled yet");
        answer.m_retry_after = unsettled_retry_after;
        return answer;
    }
    const bool writes = request.m_kind == statement_kind::write || request.m_kind == statement_kind::begin;
    if (writes && day != nullptr) {
        return core::refused_answer(reason::day_closed, "the business day is closed");
    }
    return std::nullopt;
}

} // namespace

std::optional<core::history_position> settled_position(const control::control_state& state,
                                                       const core::statement_request& request) {
    const control::day_record* day = day_of(state, request);
    if (day == nullptr || day->m_phase != control::day_phase::settled) {
        return std::nullopt;
    }
    const auto found = day->m_positions.find(request.m_group);
    return found == day->m_positions.end() ? std::nullopt : std::optional(found->second);
}

std::optional<core::statement_answer> admit_statement(const control::control_state& state,
                                                      service_groups& groups, bool view_current,
                                                      core::time_point now, entry_statement& statement) {
    const auto service = state.m_services.find(statement.m_request.m_service);
    if (service == state.m_services.end()) {
        return core::refused_answer(view_current ? reason::unknown_service : reason::control_not_current,
                                    "unknown service " + statement.m_request.m_service.value());
    }
    if (statement.m_default_deadline) {
        const core::milliseconds length(service->second.m_default_deadline_ms);
        statement.m_request.m_deadline = core::deadline_after(now, length);
    }
    const auto preset = state.m_presets.find(service->second.m_preset);
    if (statement.m_request.m_max_age.has_value() && preset != state.m_presets.end()) {
        const core::milliseconds max_age_limit(preset->second.m_max_age_limit_ms);
        statement.m_request.m_max_age = std::min(*statement.m_request.m_max_age, max_age_limit);
    }
    std::optional<core::statement_answer> refusal =
        resolve_group(service->second, groups, view_current, statement);
    return refusal.has_value() ? refusal : check_day(state, statement);
}

void fill_position(const control::control_state& state, const sessions::session_positions& positions,
                   const entry_statement& statement, route_request& request) {
    const core::statement_request& submitted = statement.m_request;
    request.m_purpose = statement.m_export                         ? request_purpose::export_read
                        : submitted.m_kind == statement_kind::read ? request_purpose::read
                                                                   : request_purpose::write;
    // A token without the group says nothing about it, because the caller may have lost an earlier token.
    const auto seen = positions.find(submitted.m_group);
    request.m_min_position = seen == positions.end() ? std::nullopt : std::optional(seen->second);
    if (statement.m_export) {
        request.m_min_position = std::max(request.m_min_position, settled_position(state, submitted));
    }
}

} // namespace mangoquay::routing
