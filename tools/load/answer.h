// The JSON of a statement request and of its answer (section 3.4 of the design page).
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
    std::string m_key; // hashed to a group; empty: m_group is used
    std::string m_group;
    bool m_write = false;
    std::string m_idempotency_key;
};

std::string encode(const statement_body& body, const stream& options);

struct answer {
    core::verdict m_verdict = core::verdict::may_have_run;
    std::string m_reason; // a reason of core/verdict.h, or transport_error or unreadable_answer
    std::string m_message;
    std::optional<std::int64_t> m_retry_after_ms;
    std::string m_endpoint;
    std::optional<std::uint64_t> m_rows_affected;
    std::vector<std::vector<std::string>> m_rows;
};

answer decode(const http_answer& received);

} // namespace mangoquay::load
