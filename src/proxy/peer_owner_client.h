// Sends statements to the owners of endpoints: over peer connections, or directly if this host is the owner.
//
// Owns the callbacks of statements in flight. Answers with an unknown number are dropped.
#pragma once

#include "proxy/owned_endpoints.h"
#include "routing/statement_dispatcher.h"

#include <cstdint>
#include <unordered_map>

namespace mangoquay::proxy {

class peer_owner_client : public routing::owner_client {
public:
    peer_owner_client(transport::event_loop& loop, transport::message_bus& bus, owned_endpoints& owned,
                      core::entry_host_id self);

    void execute(const core::entry_host_id& owner, const core::endpoint_id& endpoint, core::owner_epoch epoch,
                 const core::statement_request& request, core::milliseconds position_wait,
                 routing::owner_callback done) override;

private:
    struct statement_in_flight {
        core::entry_host_id m_owner;
        core::deadline m_expiry;
        routing::owner_callback m_done;
    };

    void on_execute_answered(const core::entry_host_id& from, const wire::execute_answerT& message);
    void erase_expired();

    transport::event_loop& m_loop;
    transport::message_bus& m_bus;
    owned_endpoints& m_owned_endpoints;
    core::entry_host_id m_self;
    std::uint64_t m_last_number = 0;
    std::unordered_map<std::uint64_t, statement_in_flight> m_in_flight;
};

} // namespace mangoquay::proxy
