// Validation of the objects that operators change. Each function returns all errors of a change, so that an
// operator can correct them at once. An empty list means that the change is valid.
#pragma once

#include "control/control_state.h"

#include <string>
#include <vector>

namespace mangoquay::presets {

std::vector<std::string> validate_preset(const core::preset_name& name, const control::preset_record& record);

// Groups need not be announced yet, because operators create services before the databases start.
std::vector<std::string> validate_service(const control::control_state& state, const core::service_name& name,
                                          const control::service_record& record);

// Rejects a change of the service's groups while one of its business days is closing, because the settled
// positions must cover every group that accepted writes of the day.
std::vector<std::string> validate_group_change(const control::control_state& state,
                                               const core::service_name& name,
                                               const control::service_record& record);

// True for a valid ISO 8601 calendar date such as 2026-12-04.
bool is_calendar_day(const core::business_day& day);

std::string join_errors(const std::vector<std::string>& errors);

} // namespace mangoquay::presets
