// A connection to a database, as the relay core sees it.
//
// Invariants:
// - answers come in the order of m_expected, one each;
// - m_session is empty exactly while no caller's work is on the link;
// - m_values and m_prepared are what the database holds for the connection once all of m_expected are
// answered.
#pragma once

#include "core/ids.h"
#include "relay/session.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace mangoquay::relay {

// A rollback needs no slot; a link that does not answer it by then is closed.
inline constexpr core::milliseconds rollback_timeout{400};

// A preparation needs no slot, so a database that is reached answers within a round trip.
inline constexpr core::milliseconds preparation_timeout{400};

enum class connection_phase : std::uint8_t { opening, idle, busy };

enum class request_step : std::uint8_t {
    prepare, // session values or a prepared statement
    begin,   // plain; only a primary accepts it
    begin_read_only,
    statement, // the caller's
    rollback,  // ends a transaction that the relay or the caller gave up
    probe,     // the begin of an empty transaction that asks the primary for its position
};

struct expected_answer {
    request_step m_step = request_step::statement;
    core::time_point m_sent{};
};

struct connection {
    core::endpoint_id m_endpoint;
    connection_phase m_phase = connection_phase::opening;
    std::optional<session_id> m_session;
    bool m_lent = false;                      // by a host that keeps it, for one piece of work
    std::optional<session_id> m_requested_by; // while a loan is asked for: empty for a probe
    core::time_point m_requested_at{};        // when the loan was asked for
    bool m_running = false;                   // a caller's statement was sent and is not answered
    std::deque<expected_answer> m_expected_answers;
    std::map<std::string, std::string> m_values;
    std::set<std::string> m_prepared;  // names given by prepared_name()
    core::deadline m_answer_deadline;  // of the first of m_expected, or of the opening
    core::time_point m_last_contact{}; // the last answer
};

} // namespace mangoquay::relay
