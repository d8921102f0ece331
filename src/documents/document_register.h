// The replicated register of the configuration document: the highest version wins.
//
// State machine over the control log: apply() is called with committed entries in order and gives the same
// outcome on every control host.
//
// Invariant: m_version never goes back, and the bytes of a version never change once they are stored.
#pragma once

#include "documents/configuration.h"

#include <string>
#include <string_view>

namespace mangoquay::documents {

class document_register {
public:
    // A version that is not higher than the present one changes nothing.
    void apply(std::string_view entry);

    [[nodiscard]] document_version version() const { return m_version; }
    // As the operator sent them.
    [[nodiscard]] const std::string& bytes() const { return m_bytes; }

    // An entry of the control log; also the snapshot of the register.
    static std::string encode(document_version version, std::string_view bytes);

private:
    document_version m_version; // 0: none yet
    std::string m_bytes;
};

} // namespace mangoquay::documents
