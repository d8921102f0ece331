// Merge order, expiry and digest of endpoint reports.
#include "registry/endpoint_registry.h"

#include "core/quoting.h"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace mangoquay::registry {
namespace {

auto recency_key(const endpoint_report& report) {
    return std::tuple(report.m_started_ms, report.m_sequence);
}

bool same_content(endpoint_report left, const endpoint_report& right) {
    left.m_sequence = right.m_sequence;
    return left == right;
}

// FNV-1a, 64 bits: stable across builds, unlike std::hash.
class digest_builder {
public:
    void add(std::string_view text) {
        for (const char byte : text) {
            m_value = (m_value ^ static_cast<unsigned char>(byte)) * prime;
        }
        m_value = (m_value ^ 0xffU) * prime;
    }
    void add(std::uint64_t number) { add(std::to_string(number)); }
    [[nodiscard]] std::uint64_t value() const { return m_value; }

private:
    static constexpr std::uint64_t prime = 1099511628211U;
    std::uint64_t m_value = 14695981039346656037U;
};

} // namespace

std::string invalid_reason(const endpoint_report& report) {
    const auto is_name = [](const std::string& text) {
        return !text.empty() && text.size() <= max_name_bytes && text.find(' ') == std::string::npos &&
               core::to_single_line(text) == text;
    };
    if (!is_name(report.m_id.value()) || !is_name(report.m_service.value()) ||
        !is_name(report.m_zone.value()) || !is_name(report.m_address.m_host)) {
        return "id, service, zone or address is empty, too long or not readable, or contains blanks or "
               "control characters";
    }
    if (report.m_slots > max_slots || report.m_started_ms < 0 || report.m_started_ms > max_start_time_ms) {
        return "the number of slots or the start time is out of range";
    }
    return {};
}

merge_outcome endpoint_registry::merge(const endpoint_report& report, core::time_point now) {
    if (!invalid_reason(report).empty()) {
        return merge_outcome::stale;
    }
    const auto found = m_entries.find(report.m_id);
    if (found == m_entries.end()) {
        m_entries.emplace(report.m_id, endpoint_entry{report, now});
        return merge_outcome::changed;
    }
    endpoint_report& stored = found->second.m_report;
    if (recency_key(report) <= recency_key(stored)) {
        return merge_outcome::stale;
    }
    // Reports of an incarnation that arrive after its deregistration are out of date.
    if (stored.m_state == report_state::removed && report.m_started_ms == stored.m_started_ms) {
        return merge_outcome::stale;
    }
    const bool same = same_content(stored, report);
    found->second = endpoint_entry{report, now};
    return same ? merge_outcome::refreshed : merge_outcome::changed;
}

bool endpoint_registry::remove(const core::endpoint_id& id, core::time_point now) {
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.m_report.m_state == report_state::removed) {
        return false;
    }
    found->second.m_report.m_state = report_state::removed;
    ++found->second.m_report.m_sequence;
    found->second.m_last_contact = now;
    return true;
}

void endpoint_registry::erase_expired(core::time_point now) {
    std::erase_if(m_entries, [now](const auto& item) {
        const endpoint_entry& entry = item.second;
        return entry.m_report.m_state == report_state::removed &&
               entry.m_last_contact + removed_retention < now;
    });
}

entries_by_address endpoint_registry::newest_by_address() const {
    entries_by_address newest;
    for (const auto& [id, entry] : m_entries) {
        const endpoint_entry*& stored = newest[entry.m_report.m_address];
        if (stored == nullptr || stored->m_report.m_started_ms < entry.m_report.m_started_ms) {
            stored = &entry;
        }
    }
    return newest;
}

std::vector<endpoint_report> endpoint_registry::usable_reports() const {
    std::vector<endpoint_report> reports;
    for (const auto& [address, entry] : newest_by_address()) {
        if (entry->m_report.m_state != report_state::removed) {
            reports.push_back(entry->m_report);
        }
    }
    return reports;
}

std::vector<endpoint_report> endpoint_registry::all_reports() const {
    std::vector<endpoint_report> reports;
    reports.reserve(m_entries.size());
    for (const auto& [id, entry] : m_entries) {
        reports.push_back(entry.m_report);
    }
    return reports;
}

const endpoint_entry* endpoint_registry::find(const core::endpoint_id& id) const {
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::uint64_t endpoint_registry::digest() const {
    digest_builder digest;
    for (const auto& [id, entry] : m_entries) {
        const endpoint_report& report = entry.m_report;
        digest.add(id.value());
        digest.add(report.m_service.value());
        digest.add(report.m_address.m_host);
        digest.add(report.m_address.m_port);
        digest.add(static_cast<std::uint64_t>(report.m_state));
        digest.add(static_cast<std::uint64_t>(report.m_is_primary));
        digest.add(static_cast<std::uint64_t>(report.m_started_ms));
    }
    return digest.value();
}

} // namespace mangoquay::registry
