// Checks of the objects that operators change.
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

// Upper bounds refuse mistyped numbers (seconds as microseconds), not legitimate sizes.
constexpr std::uint32_t most_slots = 1000;
constexpr std::uint32_t most_queue_per_slot = 10000;
constexpr std::uint32_t most_wait_ms = 600000;
constexpr std::uint32_t most_connections = 1000;
constexpr std::uint32_t most_age_ms = 24U * 3600U * 1000U;

void check_range(std::vector<std::string>& faults, const char* member, std::uint32_t value,
                 std::uint32_t least, std::uint32_t most) {
    if (value < least || value > most) {
        faults.push_back(std::string(member) + ": " + std::to_string(value) + " is not within " +
                         std::to_string(least) + " to " + std::to_string(most));
    }
}

bool has_closing_day(const control::control_state& state, const core::service_name& name) {
    return std::any_of(state.m_days.begin(), state.m_days.end(), [&](const auto& day) {
        return day.first.m_service == name && day.second.m_phase == control::day_phase::closing;
    });
}

std::optional<int> digits(std::string_view text) {
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

std::vector<std::string> preset_faults(const core::preset_name& name, const control::preset_record& record) {
    std::vector<std::string> faults;
    if (std::find(preset_names.begin(), preset_names.end(), name.value()) == preset_names.end()) {
        faults.push_back("preset: \"" + name.value() + "\" is not ordinary_day, peak or maintenance");
    }
    check_range(faults, "reserved_short_slots", record.m_reserved_short_slots, 0, most_slots);
    check_range(faults, "queue_bound_per_slot", record.m_queue_bound_per_slot, 1, most_queue_per_slot);
    check_range(faults, "shed_wait_ms", record.m_shed_wait_ms, 1, most_wait_ms);
    check_range(faults, "warm_connections", record.m_warm_connections, 1, most_connections);
    check_range(faults, "largest_max_age_ms", record.m_max_age_limit_ms, 0, most_age_ms);
    check_range(faults, "retry_budget_percent", record.m_retry_budget_percent, 0, 100);
    if (record.m_drained_endpoints.contains(core::endpoint_id{})) {
        faults.emplace_back("drained_endpoints: an endpoint name is empty");
    }
    return faults;
}

std::vector<std::string> service_faults(const control::control_state& state, const core::service_name& name,
                                        const control::service_record& record) {
    std::vector<std::string> faults;
    if (name.value().empty()) {
        faults.emplace_back("service: the name is empty");
    }
    if (record.m_groups.empty()) {
        faults.emplace_back("groups: at least one is needed");
    }
    std::set<core::group_id> seen;
    for (const core::group_id& group : record.m_groups) {
        if (group.value().empty()) {
            faults.emplace_back("groups: a name is empty");
        } else if (!seen.insert(group).second) {
            faults.push_back("groups: \"" + group.value() + "\" is listed twice");
        }
    }
    if (!state.m_presets.contains(record.m_preset)) {
        faults.push_back("preset: \"" + record.m_preset.value() + "\" does not exist");
    }
    check_range(faults, "default_deadline_ms", record.m_default_deadline_ms, 1, most_wait_ms);
    return faults;
}

std::vector<std::string> group_change_faults(const control::control_state& state,
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
    const auto year = digits(text.substr(0, 4));
    const auto month = digits(text.substr(5, 2));
    const auto date = digits(text.substr(8, 2));
    if (!year || !month || !date) {
        return false;
    }
    return std::chrono::year_month_day{std::chrono::year{*year},
                                       std::chrono::month{static_cast<unsigned>(*month)},
                                       std::chrono::day{static_cast<unsigned>(*date)}}
        .ok();
}

std::string joined(const std::vector<std::string>& faults) {
    std::string text;
    for (const std::string& fault : faults) {
        text += (text.empty() ? "" : "; ") + fault;
    }
    return text;
}

} // namespace mangoquay::presets
