// State of a connection to a database, as the relay core tracks it.
//
// Invariants:
// - answers arrive in the order of m_expected_answers, one for each entry;
// - m_session is empty exactly while no statement of a caller uses the connection;
// - m_values and m_prepared are what the database holds for the connection once every entry of
//   m_expected_answers is answered, provided that a transaction with m_changed_in_transaction commits.
#pragma once

#include "core/ids.h"
#include "relay/session.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace mangoquay::relay {

// A rollback needs no slot of the database. A connection whose rollback is not answered in time is
// closed.
inline constexpr core::milliseconds rollback_timeout{400};

// A preparation needs no slot, so a database that can be reached answers within one round trip.
inline constexpr core::milliseconds preparation_timeout{400};

enum class connection_phase : std::uint8_t { opening, idle, busy };

// What a request on a connection is for.
enum class request_step : std::uint8_t {
    prepare, // Sets session values or prepares a statement.
    begin,   // Begins a plain transaction, which only a primary accepts.
    begin_read_only,
    statement, // Runs the caller's statement.
    rollback,  // Ends a transaction that the relay or the caller abandoned.
    reset,     // Clears session values and prepared statements after a rollback.
    probe,     // Begins an empty transaction to obtain the primary's position.
};

const char* to_string(request_step step);

struct expected_answer {
    request_step m_step = request_step::statement;
    core::time_point m_sent{};
};

struct connection {
    core::endpoint_id m_endpoint;
    connection_phase m_phase = connection_phase::opening;
    std::optional<session_id> m_session;
    // The customer whose work may run on it; empty for work without a customer.
    std::optional<core::customer_name> m_customer;
    bool m_borrowed = false;                  // Lent by another host for one statement, transaction or probe.
    std::optional<session_id> m_requested_by; // Session that a requested loan is for; empty for a probe.
    core::time_point m_requested_at{};        // Time when the loan was requested.
    bool m_running = false;                   // A caller's statement was sent and is not answered yet.
    std::deque<expected_answer> m_expected_answers;
    std::map<std::string, std::string> m_values;
    held_statements m_prepared;
    bool m_in_transaction = false; // A transaction was begun since the connection was last released.
    // The open transaction set values or prepared statements, which a rollback may discard.
    bool m_changed_in_transaction = false;
    // Deadline of the first entry of m_expected_answers, or of opening the connection.
    core::deadline m_answer_deadline;
    core::time_point m_last_contact{}; // Time of the last answer.
};

} // namespace mangoquay::relay
