// Startup of the connection and decoding of answers.
#include "entry/database_connection.h"

#include <utility>

namespace mangoquay::entry {

database_connection::database_connection(transport::event_loop& loop, const session_protocol& protocol,
                                         const registry::endpoint_report& target,
                                         const std::optional<core::customer_name>& customer,
                                         database_connection_handlers handlers)
    : m_protocol(protocol), m_handlers(std::move(handlers)) {
    if (!m_protocol.can_encode(target)) {
        const std::weak_ptr<int> alive = m_alive;
        loop.post([this, alive] {
            if (!alive.expired()) {
                m_handlers.m_failed(std::nullopt, "the id or the service of the database cannot be sent");
            }
        });
        return;
    }
    transport::stream_handlers stream;
    stream.m_on_connected = [] {};
    stream.m_on_bytes_received = [this](std::string& bytes) { on_data_received(bytes); };
    stream.m_on_closed = [this](const std::string& reason) { m_handlers.m_failed(std::nullopt, reason); };
    m_stream = std::make_unique<transport::byte_stream>(loop, target.m_address, std::move(stream));
    std::string startup;
    m_protocol.encode_startup(target, customer, startup);
    m_stream->write(startup);
}

void database_connection::send(const std::vector<relay::database_request>& requests) {
    if (!m_stream) {
        return; // Not connected; the failure is about to be reported.
    }
    std::string bytes;
    for (const relay::database_request& request : requests) {
        m_protocol.encode_request(request, bytes);
    }
    m_unanswered_count += requests.size();
    m_stream->write(bytes);
}

void database_connection::on_data_received(std::string& bytes) {
    const std::weak_ptr<int> alive = m_alive;
    std::size_t offset = 0;
    for (;;) {
        const answer_progress progress = m_protocol.decode_answer(bytes, offset, m_partial_answer);
        if (progress == answer_progress::incomplete) {
            break;
        }
        // A truncated answer to a statement lacks its outcome.
        if (progress == answer_progress::malformed || (m_opened && !m_partial_answer.m_complete)) {
            m_handlers.m_failed(std::nullopt, "malformed answer from the database");
            return;
        }
        --m_unanswered_count;
        // A handler may send the next request, whose answer the rest would be taken for.
        if (m_unanswered_count == 0 && offset < bytes.size()) {
            m_handlers.m_failed(std::nullopt, "answer to no request from the database");
            return;
        }
        const relay::database_answer answer = std::exchange(m_partial_answer, {}).m_answer;
        if (m_opened) {
            m_handlers.m_answered(answer);
        } else if (answer.m_refusal) {
            m_handlers.m_failed(answer.m_refusal, answer.m_text);
            return;
        } else {
            m_opened = true;
            m_handlers.m_opened(answer.m_position);
        }
        if (alive.expired()) {
            return; // A handler has destroyed this object.
        }
    }
    bytes.erase(0, offset);
    // A refused startup is not followed by another line, so the answer counts as complete.
    if (!m_opened && m_partial_answer.m_answer.m_refusal) {
        m_handlers.m_failed(m_partial_answer.m_answer.m_refusal, m_partial_answer.m_answer.m_text);
    }
}

} // namespace mangoquay::entry
