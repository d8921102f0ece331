// The ctl command: sends operator requests to a running system through the HTTP API of any proxy.
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
    std::optional<std::string> m_expected_revision; // Revision on which the change is based.
    std::string m_request_id;                       // Sent again when the change is resent.
    bool m_cancel = false;                          // For drain: stops draining the endpoint.
};

// Builds the HTTP request of one command. `arguments` starts with the command name and contains no options.
// Fails with a description of the error if the command or its arguments are invalid.
core::result<http_request> make_control_request(const control_options& options,
                                                const std::vector<std::string>& arguments);

// Parses and runs a ctl command line, of which argv[0] is "ctl". Returns an exit code.
int run_control_client(int argc, char** argv);

} // namespace mangoquay::cli
