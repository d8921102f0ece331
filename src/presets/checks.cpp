// Validation of presets, services and business days.
#include "presets/checks.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <set>
#include <string_view>

namespace mangoquay::presets {
namespace {

constexpr std::array<std::string_view, 3> preset_names{"ordinary_day", "peak", "maintenance"};

// The upper limits reject input errors, such as seconds entered as microseconds. They exceed all practical
// sizes.
constexpr std::uint32_t max_slots = 1000;
constexpr std::uint32_t max_queue_per_slot = 10000;
constexpr std::uint32_t max_wait_ms = 600000;
constexpr std::uint32_t max_connections = 1000;
constexpr std::uint32_t max_age_ms = 24U * 3600U * 1000U;

void check_range(std::vector<std::string>& errors, const char* member, std::uint32_t value,
                 std::uint32_t min_value, std::uint32_t max_value) {
    if (value < min_value || value > max_value) {
        errors.push_back(std::string(member) + ": " + std::to_string(value) + " is not within " +
                         std::to_string(min_value) + " to " + std::to_string(max_value));
    }
}

bool has_closing_day(const control::control_state& state, const core::service_name& name) {
    return std::any_of(state.m_days.begin(), state.m_days.end(), [&](const auto& day) {
        return day.first.m_service == name && day.second.m_phase == control::day_phase::closing;
    });
}

std::optional<int> parse_digits(std::string_view text) {
    int value = 0;
    for (const char character : text) {
        if (character < '0' || character > '9') {
            return std::nullopt;
        }
        value = value * 10 + (character - '0');
    }
    return value;
}

} // namespace

std::vector<std::string> validate_preset(const core::preset_name& name,
                                         const control::preset_record& record) {
    std::vector<std::string> errors;
    if (std::find(preset_names.begin(), preset_names.end(), name.value()) == preset_names.end()) {
        errors.push_back("preset: \"" + name.value() + "\" is not ordinary_day, peak or maintenance");
    }
    check_range(errors, "reserved_short_slots", record.m_reserved_short_slots, 0, max_slots);
    check_range(errors, "queue_bound_per_slot", record.m_queue_bound_per_slot, 1, max_queue_per_slot);
    check_range(errors, "shed_wait_ms", record.m_shed_wait_ms, 1, max_wait_ms);
    check_range(errors, "warm_connections", record.m_warm_connections, 1, max_connections);
    check_range(errors, "largest_max_age_ms", record.m_max_age_limit_ms, 0, max_age_ms);
    check_range(errors, "retry_budget_percent", record.m_retry_budget_percent, 0, 100);
    if (record.m_drained_endpoints.contains(core::endpoint_id{})) {
        errors.emplace_back("drained_endpoints: an endpoint name is empty");
    }
    return errors;
}

std::vector<std::string> validate_service(const control::control_state& state, const core::service_name& name,
                                          const control::service_record& record) {
    std::vector<std::string> errors;
    if (name.value().empty()) {
        errors.emplace_back("service: the name is empty");
    }
    if (record.m_groups.empty()) {
        errors.emplace_back("groups: at least one is needed");
    }
    std::set<core::group_id> seen;
    for (const core::group_id& group : record.m_groups) {
        if (group.value().empty()) {
            errors.emplace_back("groups: a name is empty");
        } else if (!seen.insert(group).second) {
            errors.push_back("groups: \"" + group.value() + "\" is listed twice");
        }
    }
    if (!state.m_presets.contains(record.m_preset)) {
        errors.push_back("preset: \"" + record.m_preset.value() + "\" does not exist");
    }
    check_range(errors, "default_deadline_ms", record.m_default_deadline_ms, 1, max_wait_ms);
    return errors;
}

std::vector<std::string> validate_group_change(const control::control_state& state,
                                               const core::service_name& name,
                                               const control::service_record& record) {
    const auto present = state.m_services.find(name);
    if (present == state.m_services.end() || present->second.m_groups == record.m_groups ||
        !has_closing_day(state, name)) {
        return {};
    }
    return {"groups: cannot change while a business day of the service is closing"};
}

bool is_calendar_day(const core::business_day& day) {
    const std::string_view text = day.value();
    if (text.size() != 10 || text[4] != '-' || text[7] != '-') {
        return false;
    }
    const auto year = parse_digits(text.substr(0, 4));
    const auto month = parse_digits(text.substr(5, 2));
    const auto date = parse_digits(text.substr(8, 2));
    if (!year || !month || !date) {
        return false;
    }
    return std::chrono::year_month_day{std::chrono::year{*year},
                                       std::chrono::month{static_cast<unsigned>(*month)},
                                       std::chrono::day{static_cast<unsigned>(*date)}}
        .ok();
}

std::string join_errors(const std::vector<std::string>& errors) {
    std::string text;
    for (const std::string& error : errors) {
        text += (text.empty() ? "" : "; ") + error;
    }
    return text;
}

} // namespace mangoquay::presets
