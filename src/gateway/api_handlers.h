// Handlers of the calls of the HTTP API. Each decodes its request, calls the backend and returns the
// response.
#pragma once

#include "gateway/api_message.h"
#include "gateway/proxy_backend.h"
#include "settings/settings.h"

#include <string>
#include <vector>

namespace mangoquay::gateway {

struct api_call {
    const api_request& m_request;
    const settings::caller_key& m_caller;
    std::vector<std::string> m_path_ids; // The variable parts of the path, each an id.
    proxy_backend& m_backend;
};

using api_handler = api_response (*)(const api_call&);

// Calls for statements and transactions.
api_response run_statement(const api_call& call);
api_response run_export(const api_call& call);
api_response begin_transaction(const api_call& call);
api_response run_transaction_statement(const api_call& call);
api_response commit_transaction(const api_call& call);
api_response roll_back_transaction(const api_call& call);

// Calls for operators.
api_response put_service(const api_call& call);
api_response put_preset(const api_call& call);
api_response select_preset(const api_call& call);
api_response close_day(const api_call& call);
api_response announce_endpoint(const api_call& call);
api_response drain_endpoint(const api_call& call);
api_response hand_over(const api_call& call);
api_response replace_control_host(const api_call& call);
api_response block_peers(const api_call& call);
api_response show_status(const api_call& call);
api_response show_metrics(const api_call& call);

} // namespace mangoquay::gateway
