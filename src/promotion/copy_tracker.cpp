// Evidence that a copy has ended, and the changes of the list that follow from it.
#include "promotion/copy_tracker.h"

#include "promotion/promotion_limits.h"

#include <array>
#include <utility>

namespace mangoquay::promotion {
namespace {

using registry::endpoint_entry;
using registry::endpoint_registry;
using registry::endpoint_report;
using registry::report_state;

// The last report of the copy itself; null if the registry has none, or one of another incarnation.
const endpoint_entry* own_entry(const endpoint_registry& endpoints, const endpoint_incarnation& copy) {
    const endpoint_entry* entry = endpoints.find(copy.m_endpoint);
    return entry != nullptr && incarnation_of(entry->m_report) == copy ? entry : nullptr;
}

bool is_address_used_again(const registry::entries_by_address& newest, const endpoint_incarnation& copy,
                           const control::socket_address& address) {
    const auto found = newest.find(address);
    return found != newest.end() && found->second->m_report.m_id != copy.m_endpoint &&
           found->second->m_report.m_started_ms > copy.m_started_ms;
}

std::optional<evidence_of_end> find_evidence(const endpoint_registry& endpoints,
                                             const registry::entries_by_address& newest,
                                             const endpoint_incarnation& copy,
                                             const control::socket_address& address) {
    const endpoint_entry* latest = endpoints.find(copy.m_endpoint);
    if (latest != nullptr && latest->m_report.m_started_ms > copy.m_started_ms) {
        return evidence_of_end{"a later start of the endpoint has reported", core::milliseconds(0)};
    }
    if (latest != nullptr && incarnation_of(latest->m_report) == copy &&
        latest->m_report.m_state == report_state::removed) {
        return evidence_of_end{"the endpoint has deregistered", exit_time};
    }
    if (is_address_used_again(newest, copy, address)) {
        return evidence_of_end{"another endpoint has started at the address", displacement_confirmation};
    }
    return std::nullopt;
}

// Whether the next database that started at the address belongs to the service.
bool is_continued(const endpoint_registry& endpoints, const core::service_name& service,
                  const endpoint_incarnation& copy, const control::socket_address& address) {
    const endpoint_report* next = nullptr;
    for (const auto& [id, entry] : endpoints.entries()) {
        const endpoint_report& report = entry.m_report;
        if (report.m_address == address && report.m_started_ms > copy.m_started_ms &&
            (next == nullptr || report.m_started_ms < next->m_started_ms)) {
            next = &report;
        }
    }
    return next != nullptr && next->m_service == service;
}

} // namespace

const char* to_string(copy_stage stage) {
    static constexpr std::array<const char*, 6> names{"forgotten", "receiving", "draining",
                                                      "ended",     "drained",   "released"};
    return names.at(static_cast<std::size_t>(stage));
}

void copy_tracker::collect(const std::set<core::service_name>& services, const endpoint_registry& endpoints,
                           const copy_list& committed) {
    std::map<core::service_name, observed_copies> known;
    const auto observe = [&](const core::service_name& service, const endpoint_incarnation& copy,
                             const copy_record& record) {
        const auto [added, is_new] = known[service].try_emplace(copy);
        if (is_new) {
            added->second = m_observations[service][copy];
            added->second.m_record = record;
        }
    };
    for (const auto& [service, copies] : committed) {
        for (const auto& [copy, record] : copies) {
            observe(service, copy, record);
        }
    }
    for (const auto& [id, entry] : endpoints.entries()) {
        const endpoint_report& report = entry.m_report;
        if (services.contains(report.m_service)) {
            observe(report.m_service, incarnation_of(report), {copy_stage::receiving, report.m_address});
        }
    }
    m_observations = std::move(known);
}

void copy_tracker::note_own_report(const endpoint_entry* own, observation& observed, core::time_point now) {
    const report_state state = own == nullptr ? report_state::ready : own->m_report.m_state;
    observed.m_was_draining = observed.m_was_draining || state == report_state::draining ||
                              observed.m_record.m_stage == copy_stage::draining;
    observed.m_has_deregistered = observed.m_has_deregistered || state == report_state::removed;
    if (!has_ended(observed.m_record.m_stage)) {
        observed.m_found_ended = false;
    } else if (!std::exchange(observed.m_found_ended, true) && !observed.m_ended_at) {
        observed.m_ended_at = now;
    }
    const core::time_point since = observed.m_ended_at.value_or(observed.m_evident_since.value_or(now));
    if (state != report_state::removed && own != nullptr && own->m_last_contact > since) {
        observed.m_ended_at.reset();
        observed.m_evident_since = now;
        observed.m_may_be_released = false;
    }
}

void copy_tracker::note_evidence(const std::optional<evidence_of_end>& evidence, observation& observed,
                                 core::time_point now) {
    if (!evidence) {
        observed.m_evident_since.reset();
        return;
    }
    observed.m_evident_since = observed.m_evident_since.value_or(now);
    if (!observed.m_ended_at && *observed.m_evident_since + evidence->m_confirmation <= now) {
        observed.m_ended_at = now;
    }
}

copy_change copy_tracker::assess(const core::service_name& service, const endpoint_incarnation& copy,
                                 const endpoint_registry& endpoints,
                                 const registry::entries_by_address& newest, observation& observed,
                                 core::time_point now) {
    const endpoint_entry* own = own_entry(endpoints, copy);
    const control::socket_address address =
        own == nullptr ? observed.m_record.m_address : own->m_report.m_address;
    const auto evidence = find_evidence(endpoints, newest, copy, address);
    note_own_report(own, observed, now);
    note_evidence(evidence, observed, now);
    const auto wanted = [&](copy_stage stage, const char* reason) {
        return copy_change{service, copy, {stage, address}, reason};
    };
    const bool is_released = observed.m_record.m_stage == copy_stage::released;
    const bool is_drained = observed.m_record.m_stage == copy_stage::drained ||
                            (observed.m_was_draining && observed.m_has_deregistered);
    if (!observed.m_ended_at) {
        return wanted(observed.m_was_draining ? copy_stage::draining : copy_stage::receiving,
                      "the endpoint reports");
    }
    // Control hosts exchange their reports, so a report that is known anywhere has arrived by then.
    if (is_released && own == nullptr && *observed.m_ended_at + released_retention <= now) {
        return wanted(copy_stage::forgotten, "no report of it is left");
    }
    if (is_released || observed.m_may_be_released) {
        return wanted(copy_stage::released, "the other copies hold what it may have received");
    }
    if (is_drained && is_continued(endpoints, service, copy, address)) {
        return wanted(copy_stage::released, "its log continues at another endpoint");
    }
    return wanted(is_drained ? copy_stage::drained : copy_stage::ended,
                  evidence ? evidence->m_reason : "an earlier leader has found it");
}

std::vector<copy_change> copy_tracker::update(const synchronous_services& services,
                                              const endpoint_registry& endpoints, const copy_list& committed,
                                              core::time_point now) {
    std::vector<copy_change> changes;
    if (services.m_names.empty() && committed.empty()) {
        m_observations.clear();
        return changes;
    }
    collect(services.m_names, endpoints, committed);
    const registry::entries_by_address newest = endpoints.newest_by_address();
    for (auto& [service, copies] : m_observations) {
        const auto recorded = committed.find(service);
        for (auto& [copy, observed] : copies) {
            copy_change wanted = assess(service, copy, endpoints, newest, observed, now);
            if (services.m_is_current && !services.m_names.contains(service)) {
                wanted.m_record.m_stage = copy_stage::forgotten;
                wanted.m_reason = "the service has no synchronous replicas";
            }
            const bool is_recorded = recorded != committed.end() && recorded->second.contains(copy) &&
                                     recorded->second.at(copy) == wanted.m_record;
            const bool is_proposed = observed.m_proposed == wanted.m_record;
            if (is_recorded || (is_proposed && !observed.m_next_proposal.passed(now))) {
                continue;
            }
            observed.m_proposed = wanted.m_record;
            observed.m_next_proposal = core::deadline_after(now, copy_proposal_period);
            changes.push_back(std::move(wanted));
        }
    }
    return changes;
}

std::vector<counted_copy> copy_tracker::counted_copies(const core::service_name& service) const {
    std::vector<counted_copy> copies;
    const auto found = m_observations.find(service);
    if (found == m_observations.end()) {
        return copies;
    }
    for (const auto& [copy, observed] : found->second) {
        if (observed.m_record.m_stage != copy_stage::released) {
            copies.push_back({copy, observed.m_ended_at});
        }
    }
    return copies;
}

void copy_tracker::release(const core::service_name& service, const endpoint_incarnation& copy) {
    const auto found = m_observations.find(service);
    if (found == m_observations.end()) {
        return;
    }
    if (const auto observed = found->second.find(copy); observed != found->second.end()) {
        observed->second.m_may_be_released = true;
    }
}

} // namespace mangoquay::promotion
