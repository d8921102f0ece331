// Statements of a caller's session and their answers, independent of the protocol that carries them.
//
// The adapter of a protocol decodes into these types and encodes from them; the relay core decides over them.
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

// What a prepared statement does when it runs.
enum class access_kind : std::uint8_t { read, write };

// A statement as the caller sent it.
struct session_statement {
    statement_kind m_kind = statement_kind::malformed;
    std::string m_id;   // the caller's, forwarded unchanged
    std::string m_text; // the whole statement, forwarded unchanged unless a prepared name is replaced
    std::string m_name; // of a session value or a prepared statement
    // The value of set_value, the shape of prepare, the arguments of execute.
    std::string m_argument;
    access_kind m_access = access_kind::read; // of prepare
};

// Why a statement did not succeed. The first group promises that nothing of the caller's attempt is kept.
enum class refusal : std::uint8_t {
    busy,
    aborted,
    lagging,
    read_only,
    wrong_endpoint,
    too_many_connections,
    // No promise.
    in_doubt,
    timed_out,
    failed,
    unknown_statement, // no prepared statement of that name; not run
    unknown_database,  // no route of that name
    malformed,
};

// Whether the refusal states that the statement has not run at a database.
bool guarantees_not_run(refusal reason);
const char* to_string(refusal reason);

enum class transaction_state : std::uint8_t { idle, open, failed };

struct session_answer {
    std::string m_request; // id of the caller's statement, for the log
    std::vector<std::string> m_rows;
    std::optional<refusal> m_refusal;
    std::string m_text; // the database's signature of a success, or the text of a refusal
    // Of a refusal that promises not run: when the caller does well to come back.
    std::optional<core::milliseconds> m_retry_after;
    transaction_state m_state = transaction_state::idle;
    std::optional<core::history_position> m_position;
};

enum class request_kind : std::uint8_t {
    forward, // the caller's statement, text unchanged
    execute, // the caller's, under the name that the link knows
    // Issued by the relay itself.
    reset,
    set_value,
    prepare,
    begin,
    begin_read_only,
    rollback,
    // Of control hosts.
    status,
    pause_replication,
    resume_replication,
    step_down,
};

struct database_request {
    request_kind m_kind = request_kind::forward;
    std::string m_id; // the caller's; empty: issued by the relay itself
    // A database whose log lacks it refuses the request.
    std::optional<core::history_position> m_least_position;
    std::string m_name;                       // of a session value or prepared statement
    std::string m_argument;                   // the text to forward, the value, the shape or the arguments
    access_kind m_access = access_kind::read; // of prepare
    core::term m_term;                        // of pause_reception and step_down
};

struct database_answer {
    std::vector<std::string> m_rows;
    std::optional<refusal> m_refusal;
    std::string m_text;
    transaction_state m_state = transaction_state::idle;
    std::optional<core::history_position> m_position; // of the database's log
};

} // namespace mangoquay::relay
