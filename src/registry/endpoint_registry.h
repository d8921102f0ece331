// Registry of the endpoints (databases), merged from their reports. Reports may arrive late, more than once
// and at any control host.
//
// The merge is commutative: of two reports about one id, the one with the later start time wins, then the one
// with the higher sequence number. Hosts that received the same reports in any order therefore agree. The
// clock of this host is never compared with the clocks of others. Deterministic; the caller passes the time
// in.
//
// Invariant: of the records that share an address, only the one with the latest start time is usable.
#pragma once

#include "control/control_state.h"
#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mangoquay::registry {

enum class report_state : std::uint8_t {
    ready,
    draining, // Completes its running statements and then deregisters.
    removed,  // Deregistered. The record is kept so that a late report does not restore the endpoint.
};

// Last report of an endpoint about itself.
struct endpoint_report {
    core::endpoint_id m_id;
    core::service_name m_service;
    control::socket_address m_address;
    core::availability_zone m_zone;
    std::uint32_t m_slots = 0;
    report_state m_state = report_state::ready;
    bool m_is_primary = false;     // By its own report.
    std::int64_t m_started_ms = 0; // Start time by its own clock. Orders incarnations of one id or address.
    std::uint64_t m_sequence = 0;  // Increases with each report of one incarnation.

    friend bool operator==(const endpoint_report&, const endpoint_report&) = default;
};

// Limits of a valid report. Ids, services and zones go into messages to databases and to all hosts.
inline constexpr std::size_t max_name_bytes = 200;
inline constexpr std::uint32_t max_slots = 100'000;
// Year 5138. A report with a later start time would keep all true reports of its id out.
inline constexpr std::int64_t max_start_time_ms = 100'000'000'000'000;

// Why the report cannot be one of a database; empty if it can. Reports also arrive from hosts of other
// versions and from the file of the last start.
std::string invalid_reason(const endpoint_report& report);

struct endpoint_entry {
    endpoint_report m_report;
    core::time_point m_last_contact{}; // When a report was last merged on this host.
};

enum class merge_outcome : std::uint8_t {
    stale,     // The report is invalid or not newer than the stored one, or its incarnation has been removed.
    refreshed, // The report is newer, but only its sequence number differs.
    changed,
};

// The record that was the latest to start at each address.
using entries_by_address = std::map<control::socket_address, const endpoint_entry*>;

// Records of removed endpoints are kept for this long, because a network partition may delay earlier reports.
inline constexpr std::chrono::minutes removed_retention{10};

class endpoint_registry {
public:
    merge_outcome merge(const endpoint_report& report, core::time_point now);
    // Marks the current incarnation of an endpoint as removed. Returns false if it is unknown or removed
    // already.
    bool remove(const core::endpoint_id& id, core::time_point now);
    // Erases records of endpoints that were removed longer ago than removed_retention.
    void erase_expired(core::time_point now);

    // Reports of the endpoints that may be used: not removed, and the latest to start at their address. Not a
    // list of the databases that may hold a commit, see promotion/copies.h.
    [[nodiscard]] std::vector<endpoint_report> usable_reports() const;
    // Reports of all known endpoints, removed ones included.
    [[nodiscard]] std::vector<endpoint_report> all_reports() const;
    [[nodiscard]] const endpoint_entry* find(const core::endpoint_id& id) const;
    [[nodiscard]] const std::map<core::endpoint_id, endpoint_entry>& entries() const { return m_entries; }
    // Valid until the registry changes.
    [[nodiscard]] entries_by_address newest_by_address() const;
    // Digest for comparing the registries of two hosts. Covers id, service, address, state, role and start
    // time of each record. Sequence numbers are left out, so that a report without changes does not alter it.
    [[nodiscard]] std::uint64_t digest() const;

private:
    std::map<core::endpoint_id, endpoint_entry> m_entries;
};

} // namespace mangoquay::registry
