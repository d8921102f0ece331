// A connection to a database: sends the startup and requests, and decodes answers. Makes no decisions.
//
// Owns the stream and the answer that is being received. Entry hosts use it for callers' statements, control
// hosts for promotion steps.
#pragma once

#include "entry/session_protocol.h"
#include "transport/byte_stream.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace mangoquay::entry {

struct database_connection_handlers {
    // The database accepted the startup.
    std::function<void(std::optional<core::history_position>)> m_opened;
    std::function<void(const relay::database_answer&)> m_answered;
    // Called at most once, as the last handler. Holds a refusal if the database refused the startup.
    std::function<void(std::optional<relay::refusal>, const std::string& reason)> m_failed;
};

class database_connection {
public:
    // Starts to connect to `target`, or reports a failure later if a startup cannot name it. Destruction
    // closes the connection without calling a handler.
    database_connection(transport::event_loop& loop, const session_protocol& protocol,
                        const registry::endpoint_report& target,
                        const std::optional<core::customer_name>& customer,
                        database_connection_handlers handlers);

    // Answers arrive in the order of the requests.
    void send(const std::vector<relay::database_request>& requests);

private:
    void on_data_received(std::string& bytes);

    const session_protocol& m_protocol;
    database_connection_handlers m_handlers;
    bool m_opened = false;
    std::size_t m_unanswered_count = 1; // Requests without an answer, including the startup.
    partial_answer m_partial_answer;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
    std::unique_ptr<transport::byte_stream> m_stream; // Empty if the startup cannot be encoded.
};

} // namespace mangoquay::entry
