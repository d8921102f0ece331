// One blocking HTTP request of the ctl command, through ulfius.
#pragma once

#include "core/result.h"

#include <string>

namespace mangoquay::cli {

struct http_request {
    std::string m_method;
    std::string m_url;
    std::string m_body; // JSON; empty: none
    std::string m_key;  // the operator's caller key
    std::string m_ca_file;
    unsigned long m_timeout_s = 10;
};

struct http_response {
    long m_status = 0;
    std::string m_body;
};

// Fails when no response arrived; the request may have been carried out then.
core::result<http_response> send_request(const http_request& request);

} // namespace mangoquay::cli
