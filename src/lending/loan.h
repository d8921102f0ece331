// What borrowers and lenders of links say to each other.
#pragma once

#include "core/clock.h"
#include "core/history_position.h"
#include "core/ids.h"
#include "core/strong_value.h"

#include <cstdint>
#include <optional>

namespace mangoquay::lending {

// Unique among the loans of one borrower, over its restarts too.
using loan_id = core::strong_value<struct loan_id_tag, std::uint64_t>;

// The order in which a lender serves those that wait, and for how long they do.
struct loan_terms {
    bool m_urgent = false;          // of a higher priority than other routes
    bool m_needs_slot = true;       // false: the work takes no slot of the database
    double m_expected_run_ms = 0.0; // of the statement that the loan is for
    core::duration m_max_wait{};    // the borrower has no use for it later
};

// In what state a link is given back.
struct returned_state {
    bool m_reusable = true;            // nothing is in progress on it
    bool m_has_session_values = false; // session values or prepared statements
    bool m_in_transaction = false;     // one that is to be rolled back
};

struct loan_offer {
    core::duration m_since_last_contact{};            // since the database last answered on the link
    std::optional<core::history_position> m_position; // of the database, last seen by the lender
    std::uint32_t m_queue_length = 0;                 // for a link to the same database
};

enum class loan_refusal : std::uint8_t {
    busy,        // others wait for as long as the borrower would
    not_lending, // the host stops, or does not lend links to that database
    unreachable, // connections to the database fail
};

const char* to_string(loan_refusal reason);

} // namespace mangoquay::lending
