// A place in the history of a database group.
#pragma once

#include "core/ids.h"

namespace mangoquay::core {

// Ordered by term, then position: term 4, position 120 is past term 3, position 900, because the promotion to
// term 4 discarded whatever of term 3 it did not contain.
struct history_position {
    term m_term;
    log_position m_position;

    friend auto operator<=>(const history_position&, const history_position&) = default;
    friend bool operator==(const history_position&, const history_position&) = default;
};

} // namespace mangoquay::core
