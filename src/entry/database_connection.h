// A connection to a database: startup, requests, answers. Decides nothing.
//
// Owns: the stream and the answer being received. Used by entry hosts for callers' statements and by control
// hosts for promotion steps.
#pragma once

#include "entry/session_protocol.h"
#include "transport/byte_stream.h"

#include <functional>
#include <memory>
#include <vector>

namespace mangoquay::entry {

struct database_connection_handlers {
    // The database accepted the startup.
    std::function<void(std::optional<core::history_position>)> m_opened;
    std::function<void(const relay::database_answer&)> m_answered;
    // Called once; a refusal when the database turned the startup down. Nothing follows it.
    std::function<void(std::optional<relay::refusal>, const std::string& reason)> m_failed;
};

class database_connection {
public:
    database_connection(transport::event_loop& loop, const session_protocol& protocol,
                  const registry::endpoint_report& target, database_connection_handlers handlers);

    void send(const std::vector<relay::database_request>& requests);

private:
    void on_data_received(std::string& bytes);

    const session_protocol& m_protocol;
    database_connection_handlers m_handlers;
    bool m_opened = false;
    partial_answer m_partial_answer;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
    std::unique_ptr<transport::byte_stream> m_stream;
};

} // namespace mangoquay::entry
