// When a follower fetches the configuration document, and from which control host.
//
// Answers the load pattern of many changes within a second before hosts with thin links: every control host
// announces each version, but the follower has one fetch in progress at a time and takes the newest version
// only, with a pause between two fetches. Deterministic; the shell passes the time in.
//
// Invariant: at most one fetch is in progress until its answer arrives or its limit passes.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "documents/configuration.h"

#include <map>
#include <optional>

namespace mangoquay::documents {

// A changed document is in force everywhere within 3 s at the strictest deployment (sheet); a link of
// 250 kB/s carries a deflated document of 20 kB in 80 ms.
inline constexpr core::milliseconds fetch_pause{250};
// Without an answer by then another control host is asked.
inline constexpr core::milliseconds fetch_timeout{600};

class document_fetch {
public:
    // `self` spreads the followers over the control hosts.
    explicit document_fetch(core::entry_host_id self) : m_self(std::move(self)) {}

    void on_version_announced(const core::entry_host_id& host, document_version version);
    void remove_host(const core::entry_host_id& host);
    void on_document_arrived(core::time_point now);
    // The host to ask now for a document newer than `held`.
    std::optional<core::entry_host_id> next_host(document_version held, core::time_point now);
    // When next() may have an answer without a further event; time_point::max(): not before one.
    [[nodiscard]] core::deadline next_attempt(document_version held) const;

private:
    core::entry_host_id m_self;
    std::map<core::entry_host_id, document_version> m_announced_versions;
    std::optional<core::entry_host_id> m_queried_host; // of the fetch in progress
    core::deadline m_not_before;                // of the next fetch
    std::map<core::entry_host_id, std::uint32_t> m_unanswered_counts;
};

} // namespace mangoquay::documents
