// State machine over the Raft log of the control hosts: the configuration document and the assigned primary
// of each service.
//
// An entry holds either a document, in the encoding of documents::document_register, or an assignment. The
// encoding of an assignment begins like a document of version 0, which hosts of earlier program versions
// ignore. As long as nothing was assigned, a snapshot is the same as in earlier versions.
#pragma once

#include "documents/document_register.h"
#include "primary_leases/primary_list.h"

#include <string>
#include <string_view>
#include <vector>

namespace mangoquay::fleet {

class replicated_state {
public:
    // Applies a committed entry or a snapshot. Returns the services that were assigned. Ignores bytes that
    // cannot be decoded.
    std::vector<core::service_name> apply(std::string_view entry);

    [[nodiscard]] const documents::document_register& documents() const { return m_documents; }
    [[nodiscard]] const primary_leases::primary_list& primaries() const { return m_primaries; }

    [[nodiscard]] std::string encode_snapshot() const;
    static std::string encode_assignment(const core::service_name& service,
                                         const core::endpoint_id& endpoint);

private:
    documents::document_register m_documents;
    primary_leases::primary_list m_primaries;
};

} // namespace mangoquay::fleet
