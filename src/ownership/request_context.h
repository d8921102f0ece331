// State of one submitted request in the owner.
#pragma once

#include "admission/slot_queue.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/statement.h"
#include "ownership/endpoint_owner.h"
#include "pooling/warm_connections.h"

#include <memory>
#include <set>
#include <string_view>

namespace mangoquay::ownership {

struct request_context {
    admission::work_number m_number{};
    core::statement_request m_request;
    core::entry_host_id m_origin;
    core::deadline m_position_wait;
    answer_handler m_handler; // Empty once the request is answered.
    core::time_point m_submitted_at{};

    bool m_holds_slot = false;
    // A statement that may have had an effect was sent and has no definite answer.
    bool m_effects_possible = false;
    bool m_origin_lost = false;
    core::term m_term;                     // Term of the endpoint when the request was started.
    pooling::lent_connection m_connection; // Set while the request holds a connection.
    std::set<core::business_day> m_days;   // Days counted as unsettled until the request is finished.

    [[nodiscard]] bool answered() const { return m_handler == nullptr; }
    [[nodiscard]] core::statement_kind kind() const { return m_request.m_kind; }
};

using request_context_ptr = std::shared_ptr<request_context>;

std::string_view to_string(core::statement_kind kind);

} // namespace mangoquay::ownership
