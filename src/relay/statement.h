// Statements of a caller's session and their answers, independent of the protocol that carries them.
//
// A protocol adapter decodes messages into these types and encodes messages from them. The relay core works
// only on these types.
#pragma once

#include "core/clock.h"
#include "core/history_position.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mangoquay::relay {

enum class statement_kind : std::uint8_t {
    begin,
    begin_read_only,
    commit,
    rollback,
    read,
    write,
    set_value,
    prepare,
    execute,
    deallocate,
    malformed,
};

// Whether a prepared statement reads or writes when it is executed.
enum class access_kind : std::uint8_t { read, write };

// A statement as the caller sent it.
struct session_statement {
    statement_kind m_kind = statement_kind::malformed;
    std::string m_id;   // The caller's id of the statement, forwarded unchanged.
    std::string m_text; // The whole statement, forwarded unchanged unless a prepared name is replaced.
    std::string m_name; // Name of the session value or of the prepared statement.
    // The value for set_value, the statement text for prepare, the arguments for execute.
    std::string m_argument;
    access_kind m_access = access_kind::read; // Used by prepare only.
};

// Why a statement did not succeed. The first group guarantees that nothing of the caller's attempt is kept.
enum class refusal : std::uint8_t {
    busy,
    aborted,
    lagging,
    read_only,
    wrong_endpoint,
    too_many_connections,
    // The values from here on give no such guarantee, unless their comment says so.
    in_doubt,
    timed_out,
    failed,
    unknown_statement, // No prepared statement has that name; the statement did not run.
    unknown_database,  // No route has that name.
    malformed,
    unauthorized, // The caller's key is not valid; the statement did not run.
};

// Whether the refusal guarantees that the statement has not run at a database.
bool guarantees_not_run(refusal reason);
const char* to_string(refusal reason);

enum class transaction_state : std::uint8_t { idle, open, failed };

struct session_answer {
    std::string m_request; // Id of the caller's statement, for the log.
    std::vector<std::string> m_rows;
    std::optional<refusal> m_refusal;
    std::string m_text; // The database's signature of a success, or the text of a refusal.
    // Time after which the caller should retry; set only if the refusal guarantees that nothing ran.
    std::optional<core::milliseconds> m_retry_after;
    transaction_state m_state = transaction_state::idle;
    std::optional<core::history_position> m_position;
};

enum class request_kind : std::uint8_t {
    forward, // The caller's statement with its text unchanged.
    execute, // The caller's execute statement, under the name that the connection uses.
    // Issued by the relay itself.
    reset,
    set_value,
    prepare,
    begin,
    begin_read_only,
    rollback,
    // Issued by control hosts.
    status,
    pause_replication,
    resume_replication,
    step_down,
    // Issued by the relay itself. Hosts send each other the values, so new ones are added at the end.
    deallocate,
};

struct database_request {
    request_kind m_kind = request_kind::forward;
    std::string m_id; // The caller's statement id; empty for requests that the relay itself issues.
    // A database whose log does not contain this position refuses the request.
    std::optional<core::history_position> m_min_position;
    std::string m_name;     // Name of the session value or of the prepared statement.
    std::string m_argument; // The text to forward, the value, the statement text or the arguments.
    access_kind m_access = access_kind::read; // Used by prepare only.
    core::term m_term;                        // Used by pause_replication and step_down only.
};

struct database_answer {
    std::vector<std::string> m_rows;
    std::optional<refusal> m_refusal;
    std::string m_text;
    transaction_state m_state = transaction_state::idle;
    std::optional<core::history_position> m_position; // Position of the database's log.
};

} // namespace mangoquay::relay
