// Messages between borrowers and lenders of database connections.
#pragma once

#include "core/clock.h"
#include "core/history_position.h"
#include "core/ids.h"
#include "core/strong_value.h"

#include <cstdint>
#include <optional>

namespace mangoquay::lending {

// Unique among the loans of one borrower, also across its restarts.
using loan_id = core::strong_value<struct loan_id_tag, std::uint64_t>;

// Terms of a loan request. They determine its position in the lender's queue and how long it may wait there.
struct loan_terms {
    bool m_urgent = false;          // The route has a higher priority than other routes.
    bool m_needs_slot = true;       // Whether the requests occupy a slot of the database.
    double m_expected_run_ms = 0.0; // Expected run time of the statement that needs the loan, in ms.
    core::duration m_max_wait{};    // Maximum wait for the grant; a later one is of no use to the borrower.
    // The connection must have been opened for this customer, or for none if empty.
    std::optional<core::customer_name> m_customer;
    bool m_any_customer = false; // The requests run no caller's work, so m_customer does not matter.
};

// State in which a connection is returned.
struct returned_state {
    bool m_reusable = true;            // No request is in progress on the connection.
    bool m_has_session_values = false; // Session values or prepared statements are set on it.
    bool m_in_transaction = false;     // A transaction is open that must be rolled back.
};

// Details of a granted loan.
struct loan_offer {
    core::duration m_since_last_contact{}; // Time since the database last answered on the connection.
    // Last position of the database that the lender received.
    std::optional<core::history_position> m_position;
    std::uint32_t m_queue_length = 0; // Number of loan requests waiting for the same database.
};

enum class loan_refusal : std::uint8_t {
    busy,        // The expected or the actual wait exceeds the maximum wait of the borrower.
    not_lending, // The host is stopping, or does not lend connections to that database.
    unreachable, // Connections to the database fail.
};

const char* to_string(loan_refusal reason);

} // namespace mangoquay::lending
