// Requests shares of the customers' limits for an entry host.
//
// Asks the control host whose grant arrived last, and all known ones while none answers; hosts that do not
// lead pass the request on. Decides nothing: quotas::quota_holder says when to ask. Runs on the event loop's
// thread.
#pragma once

#include "fleet/update_subscriber.h"
#include "quotas/share.h"

#include <functional>
#include <optional>

namespace mangoquay::fleet {

class quota_renewal {
public:
    using request_source = std::function<std::optional<quotas::quota_request>(core::time_point)>;
    // Applies a grant. Returns whether it was current.
    using grant_handler = std::function<bool(const quotas::quota_grant&, core::time_point)>;

    quota_renewal(transport::message_bus& bus, const update_subscriber& subscriber,
                  request_source next_request, grant_handler apply);

    // Sends a request if one is due. To be called periodically.
    void poll(core::time_point now);

private:
    void on_grant_received(const core::entry_host_id& from, const wire::quota_grantT& message);

    transport::message_bus& m_bus;
    const update_subscriber& m_subscriber;
    request_source m_next_request;
    grant_handler m_apply;
    core::entry_host_id m_granting_host;   // The latest grant came from it.
    core::deadline m_granting_host_silent; // All control hosts are asked from then on.
};

} // namespace mangoquay::fleet
