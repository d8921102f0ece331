// Decides when a subscriber fetches the configuration document, and from which control host.
//
// The first document is fetched only from a host that has announced the version that a control host confirmed
// to be current, or a later one: any other host may hold an old document without knowing it. Later documents
// only need a higher version, because every announced version is committed.
//
// Bounds the traffic of many changes within a second to hosts with low network bandwidth: every control host
// announces each version, but a subscriber has one fetch in progress at a time, fetches only the newest
// version and pauses between two fetches. Deterministic; update_subscriber passes the time in.
//
// Invariant: at most one fetch is in progress until its answer arrives or its timeout passes.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "documents/configuration.h"

#include <map>
#include <optional>

namespace mangoquay::documents {

// Pause after a fetch. The strictest deployment requires a changed document to be in effect on all hosts
// within 3 s; a network link of 250 kB/s transfers a compressed document of 20 kB in 80 ms.
inline constexpr core::milliseconds fetch_pause{250};
// Without an answer within this time another control host is queried.
inline constexpr core::milliseconds fetch_timeout{600};

class document_fetch {
public:
    // `self` distributes the subscribers over the control hosts.
    explicit document_fetch(core::entry_host_id self) : m_self(std::move(self)) {}

    // The host has this version now. It may be lower than before: a host that lost its disk starts without
    // one.
    void on_version_announced(const core::entry_host_id& host, document_version version);
    // `version` is not older than any version that was committed before this process started. Only the first
    // call has an effect.
    void on_current_version_confirmed(document_version version);
    // Whether a document of this version may be used in place of `held`; 0 means that no document is held.
    [[nodiscard]] bool usable(document_version version, document_version held) const;
    // Stops fetching from a host.
    void remove_host(const core::entry_host_id& host);
    // Ends the fetch in progress, whichever host the document came from.
    void on_document_arrived(core::time_point now);
    // Returns the host to query now for a document newer than `held`, and marks the fetch as in progress.
    // Returns nothing if no newer version is announced, or if it is too early for the next fetch.
    std::optional<core::entry_host_id> next_host(document_version held, core::time_point now);
    // The version that the host announced last; 0 if it has announced none.
    [[nodiscard]] document_version announced_version(const core::entry_host_id& host) const;
    // Earliest time at which next_host() may return a host without a further event. time_point::max() means
    // that it will not.
    [[nodiscard]] core::deadline next_attempt(document_version held) const;

private:
    core::entry_host_id m_self;
    std::optional<document_version> m_confirmed_version; // Lower limit of the first document.
    std::map<core::entry_host_id, document_version> m_announced_versions;
    std::optional<core::entry_host_id> m_queried_host; // Host of the fetch in progress.
    core::deadline m_not_before;                       // Earliest time of the next fetch.
    // Number of fetches from each host without an answer since a document last arrived.
    std::map<core::entry_host_id, std::uint32_t> m_unanswered_counts;
};

} // namespace mangoquay::documents
