// Replicated register that holds the configuration document with the highest version.
//
// State machine over the control log: apply() is called with the committed entries in log order and gives the
// same result on every control host.
//
// Invariant: m_version never decreases, and the bytes of a version never change once they are stored.
#pragma once

#include "documents/configuration.h"

#include <string>
#include <string_view>

namespace mangoquay::documents {

class document_register {
public:
    // Stores the document of a committed entry. Ignores a version that is not higher than the current one.
    void apply(std::string_view entry);

    [[nodiscard]] document_version version() const { return m_version; }
    // The document as the operator sent it.
    [[nodiscard]] const std::string& bytes() const { return m_bytes; }

    // Encodes an entry of the control log. Snapshots of the register use the same format.
    static std::string encode(document_version version, std::string_view bytes);

private:
    document_version m_version; // 0 means that there is no document yet.
    std::string m_bytes;
};

} // namespace mangoquay::documents
