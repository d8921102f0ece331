// Checks of the objects that operators change. Each function gives all faults of a change, so that an
// operator corrects them in one go; an empty list means that the change is good.
#pragma once

#include "control/control_state.h"

#include <string>
#include <vector>

namespace mangoquay::presets {

std::vector<std::string> validate_preset(const core::preset_name& name, const control::preset_record& record);

// A service may name groups that are not announced yet: operators create services before databases start.
std::vector<std::string> validate_service(const control::control_state& state, const core::service_name& name,
                                          const control::service_record& record);

// Groups of a service stay as they are while one of its days is closing: the settled positions must cover
// every group that took writes of the day.
std::vector<std::string> validate_group_change(const control::control_state& state,
                                               const core::service_name& name,
                                               const control::service_record& record);

// An ISO 8601 calendar date such as 2026-12-04.
bool is_calendar_day(const core::business_day& day);

std::string join_errors(const std::vector<std::string>& errors);

} // namespace mangoquay::presets
