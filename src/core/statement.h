// A caller's statement and its answer, as they travel from the entry proxy to the owner of an endpoint and
// back.
#pragma once

#include "core/clock.h"
#include "core/history_position.h"
#include "core/ids.h"
#include "core/verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mangoquay::core {

enum class statement_kind : std::uint8_t {
    read,           // runs in a READ ONLY transaction of its own
    write,          // runs in a transaction of its own
    begin,          // opens a transaction and keeps its connection
    in_transaction, // a statement in an open transaction
    commit,         // ends a transaction
    rollback,       // ends a transaction
};

enum class work_class : std::uint8_t { undeclared, short_work, long_work };

// SQL parameters and result cells are text; an absent one is NULL.
using cell = std::optional<std::string>;

struct statement_request {
    service_name m_service;
    group_id m_group;
    caller_id m_caller;
    statement_kind m_kind = statement_kind::write;
    std::string m_sql;
    std::vector<cell> m_parameters;
    work_class m_class = work_class::undeclared;
    deadline m_deadline;
    std::optional<milliseconds> m_max_age;
    std::optional<history_position>
        m_min_position;                // from the session token; the endpoint must be at or past it
    idempotency_key m_idempotency_key; // empty: none
    bool m_not_repeatable = false;
    business_day m_business_day;  // empty: none
    transaction_id m_transaction; // for step, commit and rollback; chosen by the entry proxy at begin
};

struct statement_answer {
    verdict m_verdict = verdict::not_run;
    reason m_reason = reason::none;
    std::string m_message; // text for a person; for database_error the text of the database
    std::optional<milliseconds> m_retry_after; // present only where a retry is safe
    std::vector<std::string> m_columns;
    std::vector<std::vector<cell>> m_rows;
    std::uint64_t m_rows_affected = 0;
    endpoint_id m_endpoint;
    // The position that the caller's session has reached by this answer.
    std::optional<history_position> m_position;
};

inline statement_answer refused_answer(reason why, std::string message = {}) {
    statement_answer answer;
    answer.m_verdict = verdict::not_run;
    answer.m_reason = why;
    answer.m_message = std::move(message);
    return answer;
}

inline statement_answer uncertain_answer(reason why, std::string message = {}) {
    statement_answer answer = refused_answer(why, std::move(message));
    answer.m_verdict = verdict::may_have_run;
    return answer;
}

} // namespace mangoquay::core
