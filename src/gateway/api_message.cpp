// Maps reasons to HTTP status codes.
#include "gateway/api_message.h"

#include <algorithm>
#include <array>

namespace mangoquay::gateway {
namespace {

using core::reason;

constexpr unsigned status_unavailable = 503;
constexpr unsigned status_outcome_unknown = 504;

struct reason_status {
    reason m_reason;
    unsigned m_status;
};

// Every other reason of a request that did not run is temporary and gets status 503.
constexpr std::array reason_statuses{
    reason_status{reason::database_error, 422},
    reason_status{reason::malformed_request, 400},
    reason_status{reason::unauthenticated, 401},
    reason_status{reason::unknown_service, 404},
    reason_status{reason::unknown_group, 404},
    reason_status{reason::unknown_transaction, 404},
    reason_status{reason::transaction_on_other_proxy, 409},
    reason_status{reason::transaction_failed, 409},
    reason_status{reason::day_closed, 409},
    reason_status{reason::revision_conflict, 409},
    reason_status{reason::invalid_change, 422},
    reason_status{reason::internal_fault, 500},
};

} // namespace

unsigned http_status(core::verdict verdict, core::reason why) {
    if (verdict == core::verdict::ran) {
        return 200;
    }
    if (verdict == core::verdict::may_have_run) {
        return status_outcome_unknown;
    }
    const auto* const found = std::find_if(reason_statuses.begin(), reason_statuses.end(),
                                           [why](const reason_status& each) { return each.m_reason == why; });
    return found == reason_statuses.end() ? status_unavailable : found->m_status;
}

api_response refusal_response(core::reason why, const std::string& message, unsigned status) {
    api_response response;
    response.m_status = status == 0 ? http_status(core::verdict::not_run, why) : status;
    response.m_json = {{"verdict", core::to_string(core::verdict::not_run)},
                       {"reason", core::to_string(why)},
                       {"message", message}};
    return response;
}

} // namespace mangoquay::gateway
