// State machine over the Raft log of the control hosts: the configuration document, the assigned primary of
// each service, the copies of services with synchronous replicas, and the entry hosts that may hold shares of
// customers' limits.
//
// An entry holds either a document, in the encoding of documents::document_register, or an assignment or
// changes of the copies or of the holders. The encoding of the latter begins like a document of version 0,
// which hosts of earlier program versions ignore. As long as nothing was assigned, no copy is listed and
// nobody holds shares, a snapshot is the same as in earlier versions.
#pragma once

#include "documents/document_register.h"
#include "primary_leases/primary_list.h"
#include "promotion/copies.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mangoquay::fleet {

class replicated_state {
public:
    // Applies a committed entry. Returns the services that were assigned. Ignores bytes that cannot be
    // decoded.
    std::vector<core::service_name> apply(std::string_view entry);
    // Replaces the state by that of a snapshot, except for a document that is older than the present one.
    std::vector<core::service_name> install(std::string_view snapshot);

    [[nodiscard]] const documents::document_register& documents() const { return m_documents; }
    [[nodiscard]] const primary_leases::primary_list& primaries() const { return m_primaries; }

    [[nodiscard]] const promotion::copy_list& copies() const { return m_copies; }
    [[nodiscard]] const std::set<core::entry_host_id>& quota_holders() const { return m_quota_holders; }

    [[nodiscard]] std::string encode_snapshot() const;
    static std::string encode_assignment(const core::service_name& service,
                                         const core::endpoint_id& endpoint);
    static std::string encode_quota_holder(const core::entry_host_id& host, bool holds);
    static std::string encode_copies(const std::vector<promotion::copy_change>& changes);

private:
    documents::document_register m_documents;
    primary_leases::primary_list m_primaries;
    promotion::copy_list m_copies;
    std::set<core::entry_host_id> m_quota_holders;
};

} // namespace mangoquay::fleet
