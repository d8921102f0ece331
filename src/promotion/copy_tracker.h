// Keeps the list of copies up to date while this host leads: adds databases that report, marks those that
// have ended, and releases those whose commits the others are known to hold.
//
// A copy has ended if a later start of its id has reported, if it has deregistered, or if a later start of
// another database, of whatever service, has reported at its address while it reported nothing. Silence alone
// is no proof: a database that this host does not hear of may receive commits.
//
// The log of a database that drained and deregistered is transferred to the next one at its address. That one
// counts in its place if it belongs to the same service.
//
// Deterministic: reports and the committed list come in, changes to be committed go out. Changes that are not
// committed in time are returned again.
#pragma once

#include "promotion/copies.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mangoquay::promotion {

// Services with synchronous replicas, by the configuration that this host has decoded.
struct synchronous_services {
    std::set<core::service_name> m_names;
    // The configuration is the committed one. Until then, no copy is forgotten.
    bool m_is_current = false;
};

// Why a copy receives nothing any more. Counts once it has lasted for some time.
struct evidence_of_end {
    const char* m_reason;
    core::milliseconds m_confirmation;
};

class copy_tracker {
public:
    // Discards all observations, because this host does not lead any more.
    void reset() { m_observations.clear(); }
    // Compares the committed list with the reports and returns the changes to commit. The copies of other
    // services are forgotten.
    std::vector<copy_change> update(const synchronous_services& services,
                                    const registry::endpoint_registry& endpoints, const copy_list& committed,
                                    core::time_point now);
    // The copies that count for the quorum of the service, as of the last update. Includes databases that
    // have reported but whose record is not committed yet.
    [[nodiscard]] std::vector<counted_copy> counted_copies(const core::service_name& service) const;
    // The other copies hold all that this one may have received. The next update returns the change.
    void release(const core::service_name& service, const endpoint_incarnation& copy);

private:
    // What this leader knows of a copy in addition to the committed record.
    struct observation {
        copy_record m_record; // As committed or, until then, as reported.
        // Since when reports have shown that the copy has ended, without a report of its own.
        std::optional<core::time_point> m_evident_since;
        // When this leader took the copy as ended, by the reports or by the committed record.
        std::optional<core::time_point> m_ended_at;
        bool m_found_ended = false; // This leader has seen the committed record say so.
        bool m_was_draining = false;
        bool m_has_deregistered = false;
        bool m_may_be_released = false;
        std::optional<copy_record> m_proposed;
        core::deadline m_next_proposal;
    };
    using observed_copies = std::map<endpoint_incarnation, observation>;

    // Observes the copies that are committed or reported, and no others.
    void collect(const std::set<core::service_name>& services, const registry::endpoint_registry& endpoints,
                 const copy_list& committed);
    // A report of the copy itself shows that it has not ended. `own` is null if the registry has none.
    static void note_own_report(const registry::endpoint_entry* own, observation& observed,
                                core::time_point now);
    static void note_evidence(const std::optional<evidence_of_end>& evidence, observation& observed,
                              core::time_point now);
    // Returns the record that the copy should have.
    static copy_change assess(const core::service_name& service, const endpoint_incarnation& copy,
                              const registry::endpoint_registry& endpoints,
                              const registry::entries_by_address& newest, observation& observed,
                              core::time_point now);

    std::map<core::service_name, observed_copies> m_observations;
};

} // namespace mangoquay::promotion
