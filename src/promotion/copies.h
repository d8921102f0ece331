// The copies of a service: all incarnations of its databases that may hold a commit which was acknowledged.
//
// Which databases may be used follows from the latest reports, and a wrong answer costs an attempt. Which
// databases may hold an acknowledged commit must not follow from them: reports of a lost database are
// replaced, displaced and erased, while the commits that it received stay acknowledged. The copies of
// services with synchronous replicas are therefore a list in the Raft log of the control hosts.
//
// Invariant: each acknowledged commit is held by at least (required replicas + 1) of the copies that have not
// been released, as of the time when each of them ended. Any (copies - required replicas) of them include one
// that holds it.
#pragma once

#include "core/clock.h"
#include "registry/endpoint_registry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mangoquay::promotion {

// One start of a database. When it starts again under its id, it may hold nothing of before.
struct endpoint_incarnation {
    core::endpoint_id m_endpoint;
    std::int64_t m_started_ms = 0;

    friend auto operator<=>(const endpoint_incarnation&, const endpoint_incarnation&) = default;
    friend bool operator==(const endpoint_incarnation&, const endpoint_incarnation&) = default;
};

inline endpoint_incarnation incarnation_of(const registry::endpoint_report& report) {
    return {report.m_id, report.m_started_ms};
}

enum class copy_stage : std::uint8_t {
    forgotten, // Not in the list.
    receiving, // May receive commits.
    draining,  // The same; it has reported that it is about to leave.
    ended,     // Receives nothing any more.
    drained,   // The same; it has deregistered, and the next database at its address continues its log.
    // The other copies hold all that it may have received. It stays in the list as long as the registry knows
    // its report, which would otherwise add it again.
    released
};

// Whether a copy in this stage receives nothing any more.
inline bool has_ended(copy_stage stage) {
    return stage >= copy_stage::ended;
}

const char* to_string(copy_stage stage);

struct copy_record {
    copy_stage m_stage = copy_stage::receiving;
    control::socket_address m_address; // The last that it reported.

    friend bool operator==(const copy_record&, const copy_record&) = default;
};

using service_copies = std::map<endpoint_incarnation, copy_record>;
using copy_list = std::map<core::service_name, service_copies>;

// Sets the record of a copy. One with stage `forgotten` removes it from the list.
struct copy_change {
    core::service_name m_service;
    endpoint_incarnation m_copy;
    copy_record m_record;
    std::string m_reason; // For the log of this host.
};

// A copy that has not been released.
struct counted_copy {
    endpoint_incarnation m_copy;
    // Set if the copy has ended. It received nothing after this time of the leader's clock.
    std::optional<core::time_point> m_ended_at;
};

} // namespace mangoquay::promotion
