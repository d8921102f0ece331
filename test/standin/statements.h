// The SQL statements that the stand-in supports, matched by their text: those of dialect/postgres_sql.h and,
// for callers, a few on the table `entries`. Every other statement is a syntax error.
#pragma once

#include "core/statement.h"
#include "database.h"

#include <functional>
#include <string>
#include <vector>

namespace mangoquay::standin {

struct statement_outcome {
    std::string m_tag; // Command tag of CommandComplete.
    std::vector<std::vector<core::cell>> m_rows;
    std::string m_sqlstate; // Empty: success.
    std::string m_message;
    bool m_wait = false; // Another transaction holds a lock; the statement is run again after its release.
};

// Data that a statement uses; the session fills it for each run.
struct statement_context {
    database& m_database;
    backend& m_client;
    const std::vector<core::cell>& m_parameters;
    std::string m_sql;
    core::time_point m_now;
    // The database that a replica follows; null: none.
    std::function<const database*(const database&)> m_upstream_of;
    // The databases that stream from this one.
    std::function<std::vector<const database*>(const database&)> m_streaming_from;
};

struct statement_description {
    bool m_known = false;
    bool m_is_caller_statement = false; // Counted as running, with a simulated duration.
    std::vector<std::string> m_columns;
    std::size_t m_parameters = 0;
};

// Looks a statement up by its trimmed text; m_known is false if it is not supported.
statement_description describe_statement(const std::string& sql);
// Runs a statement of the client's session. Errors are returned in m_sqlstate.
statement_outcome run_statement(statement_context& context);

// Returns `sql` without trailing semicolons and white space.
std::string trimmed(std::string sql);
// Formats a log position as PostgreSQL's pg_lsn, for example 0/3000060.
std::string format_lsn(std::uint64_t position);
// Returns the value of the parameter `name` in a connection string, or an empty string if it is absent.
std::string conninfo_value(const std::string& conninfo, const std::string& name);

} // namespace mangoquay::standin
