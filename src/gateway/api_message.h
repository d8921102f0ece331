// An HTTP request and its response as the gateway's handlers see them, independent of sockets and of ulfius.
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
    std::string m_path; // Path without the query string.
    std::string m_body;
    std::string m_authorization; // Value of the Authorization header. Empty if there is none.
    std::string m_session_token; // Session header, or else the session cookie. Empty if there is neither.
};

struct api_response {
    unsigned m_status = 200;
    nlohmann::json m_json = nlohmann::json::object();
    std::optional<std::string> m_text; // Sent as text/plain instead of m_json.
    std::string m_session_token;       // New session token. Empty if it has not changed.
    bool m_close_connection = false;
};

// Returns the HTTP status of a verdict and its reason. These statuses are part of the public API.
unsigned http_status(core::verdict verdict, core::reason reason);

// Returns a response with the verdict not_run, the reason and the message. If `status` is 0, the HTTP status
// is that of the reason.
api_response refusal_response(core::reason reason, const std::string& message, unsigned status = 0);

} // namespace mangoquay::gateway
