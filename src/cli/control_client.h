// The ctl command: operates a running system through the HTTP API of any of its proxies.
#pragma once

#include "cli/http_request.h"
#include "core/result.h"

#include <optional>
#include <string>
#include <vector>

namespace mangoquay::cli {

struct control_options {
    std::string m_address = "http://127.0.0.1:8101";
    std::string m_ca_file;
    std::string m_key;
    unsigned long m_timeout_s = 10;
    std::optional<std::string> m_expected_revision; // of the object that the operator saw
    std::string m_request_id;
    bool m_cancel = false; // drain: ends the draining
};

// The request of one command line without the program's options; fails with what is wrong with it.
core::result<http_request> control_request(const control_options& options,
                                           const std::vector<std::string>& words);

// argv[0] is "ctl". Returns an exit code.
int run_control_client(int argc, char** argv);

} // namespace mangoquay::cli
