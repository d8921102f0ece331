// Interface through which the leader has promotions carried out. An adapter implements it.
#pragma once

#include "promotion/promotion_core.h"

#include <functional>

namespace mangoquay::fleet {

struct promotion_order {
    core::entry_host_id m_lease_holder; // The leader that issues the order.
    core::service_name m_service;
    core::endpoint_id m_target;
    promotion::fencing_token m_fencing_token;
    // No other host leads before this time. An order that would be sent later is not sent, because its token
    // could be lower than that of an order of the next leader.
    core::deadline m_send_deadline;
};

class promotion_executor {
public:
    promotion_executor() = default;
    virtual ~promotion_executor() = default;
    promotion_executor(const promotion_executor&) = delete;
    promotion_executor& operator=(const promotion_executor&) = delete;
    promotion_executor(promotion_executor&&) = delete;
    promotion_executor& operator=(promotion_executor&&) = delete;

    // Promotes the target of the order. Calls `done` once, on the event loop's thread.
    virtual void execute_order(const promotion_order& order,
                               std::function<void(promotion::order_outcome)> done) = 0;
};

} // namespace mangoquay::fleet
