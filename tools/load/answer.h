// JSON encoding of statement requests and decoding of their answers.
#pragma once

#include "core/verdict.h"
#include "http_client.h"
#include "scenario.h"

#include <optional>
#include <string>
#include <vector>

namespace mangoquay::load {

struct statement_body {
    std::string m_sql;
    std::vector<std::string> m_parameters;
    std::string m_key; // Hashed to a group; if empty, m_group is used.
    std::string m_group;
    bool m_write = false;
    std::string m_idempotency_key;
};

// Returns the body of a statement request. Options that do not apply to reads or to writes are left out.
std::string encode_request(const statement_body& body, const stream& options);

struct answer {
    core::verdict m_verdict = core::verdict::may_have_run;
    std::string m_reason; // A reason of core/verdict.h, transport_error or unreadable_answer.
    std::string m_message;
    std::optional<std::int64_t> m_retry_after_ms;
    std::string m_endpoint;
    std::optional<std::uint64_t> m_rows_affected;
    std::vector<std::vector<std::string>> m_rows;
};

// Decodes an HTTP response. Without a complete response the verdict is `not_run` if no connection was made,
// else `may_have_run`; an unreadable body also yields `may_have_run`.
answer decode_answer(const http_answer& received);

} // namespace mangoquay::load
