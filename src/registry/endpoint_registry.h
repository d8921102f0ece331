// The databases that announced themselves, merged from reports that may arrive late, twice and at any control
// host.
//
// The merge commutes: of two reports about an id the one with the later start and then the higher sequence
// number wins, so hosts that saw the same reports in any order agree. Nothing is decided by comparing clocks
// of this host with others. Deterministic; the shell passes the time in.
//
// Invariant: of the records that share an address only the one that started last is listed.
#pragma once

#include "control/control_state.h"
#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mangoquay::registry {

enum class report_state : std::uint8_t {
    ready,
    draining, // finishes its work and leaves
    removed,     // deregistered; kept so that a late report does not bring it back
};

// What a database last said about itself.
struct endpoint_report {
    core::endpoint_id m_id;
    core::service_name m_service;
    control::socket_address m_address;
    core::availability_zone m_zone;
    std::uint32_t m_slots = 0;
    report_state m_state = report_state::ready;
    bool m_is_primary = false;     // in its own view
    std::int64_t m_started_ms = 0; // its own clock at its start; orders incarnations of one id or address
    std::uint64_t m_sequence = 0;  // rises with each report of one incarnation

    friend bool operator==(const endpoint_report&, const endpoint_report&) = default;
};

struct endpoint_entry {
    endpoint_report m_report;
    core::time_point m_last_contact{}; // when a report was last merged here
};

enum class merge_outcome : std::uint8_t {
    stale,     // an older report than the one held
    refreshed, // newer, nothing but the sequence number changed
    changed,
};

// Records of databases that left are kept this long: a report that a partition delayed may arrive late.
inline constexpr std::chrono::minutes removed_retention{10};

class endpoint_registry {
public:
    merge_outcome merge(const endpoint_report& report, core::time_point now);
    // Marks the current incarnation of an id as gone. False when it is not known.
    bool remove(const core::endpoint_id& id, core::time_point now);
    void erase_expired(core::time_point now);

    // Those that may be used: not gone, newest at their address.
    [[nodiscard]] std::vector<endpoint_report> usable_reports() const;
    [[nodiscard]] const endpoint_entry* find(const core::endpoint_id& id) const;
    [[nodiscard]] const std::map<core::endpoint_id, endpoint_entry>& entries() const { return m_entries; }
    // Equal on two hosts exactly when they hold the same records, sequence numbers of plain refreshes aside.
    [[nodiscard]] std::uint64_t digest() const;

private:
    std::map<core::endpoint_id, endpoint_entry> m_entries;
};

} // namespace mangoquay::registry
