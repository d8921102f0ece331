// Position in the write history of a database group.
#pragma once

#include "core/ids.h"

namespace mangoquay::core {

// Ordered by term, then by log position: position 120 of term 4 is after position 900 of term 3, because the
// promotion to term 4 discarded those writes of term 3 that the new primary did not have.
struct history_position {
    term m_term;
    log_position m_position;

    friend auto operator<=>(const history_position&, const history_position&) = default;
    friend bool operator==(const history_position&, const history_position&) = default;
};

} // namespace mangoquay::core
