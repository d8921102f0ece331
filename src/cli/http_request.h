// Blocking HTTP client of the ctl command, based on ulfius.
#pragma once

#include "core/result.h"

#include <string>

namespace mangoquay::cli {

struct http_request {
    std::string m_method;
    std::string m_url;
    std::string m_body;    // JSON. Empty: the request has no body.
    std::string m_key;     // Caller key of the operator, sent as a bearer token.
    std::string m_ca_file; // PEM file of trusted certificates. Empty: the default of ulfius.
    unsigned long m_timeout_s = 10;
};

struct http_response {
    long m_status = 0;
    std::string m_body;
};

// Blocks until the response arrives or the timeout expires. Fails if no response arrived; the server may have
// executed the request nevertheless.
core::result<http_response> send_request(const http_request& request);

} // namespace mangoquay::cli
