// One HTTP request and its response as the gateway's handlers see them, free of sockets and of ulfius.
#pragma once

#include "core/verdict.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace mangoquay::gateway {

inline constexpr std::size_t max_body_bytes = 1024U * 1024U;
inline constexpr const char* session_header = "X-Mangoquay-Session";
inline constexpr const char* session_cookie = "mangoquay_session";

struct api_request {
    std::string m_method;
    std::string m_path; // without the query
    std::string m_body;
    std::string m_authorization; // the header's value; empty: none
    std::string m_session_token; // header, or cookie without it; empty: none
};

struct api_response {
    unsigned m_status = 200;
    nlohmann::json m_json = nlohmann::json::object();
    std::optional<std::string> m_text; // sent in place of m_json, as text/plain
    std::string m_session_token;       // empty: unchanged
    bool m_close_connection = false;
};

// The status of a verdict and reason; documented in docs/http-api.md.
unsigned http_status(core::verdict verdict, core::reason reason);

// A response with verdict, reason and message. The status is that of the reason unless given.
api_response refusal_response(core::reason why, const std::string& message, unsigned status = 0);

} // namespace mangoquay::gateway
