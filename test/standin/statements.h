// The SQL texts that the stand-in answers: those of dialect/postgres_sql.h and a few on table entries for
// callers' statements. Everything else is a syntax error.
#pragma once

#include "core/statement.h"
#include "database.h"

#include <functional>
#include <string>
#include <vector>

namespace mangoquay::standin {

struct statement_outcome {
    std::string m_tag; // of CommandComplete
    std::vector<std::vector<core::cell>> m_rows;
    std::string m_sqlstate; // empty: success
    std::string m_message;
    bool m_wait = false; // a lock is held by another transaction: run again when it is released
};

// What a statement may use. Filled by the session for each run.
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
    bool m_is_caller_statement = false; // takes a slot and statement time
    std::vector<std::string> m_columns;
    std::size_t m_parameters = 0;
};

statement_description describe_statement(const std::string& sql);
statement_outcome run_statement(statement_context& context);

// Without a trailing semicolon and space.
std::string trimmed(std::string sql);
std::string format_lsn(std::uint64_t position);
// The value of `name` in a connection string; empty: absent.
std::string conninfo_value(const std::string& conninfo, const std::string& name);

} // namespace mangoquay::standin
