// Public interface of the dispatcher; forwards to the implementation.
#include "routing/statement_dispatcher.h"

#include "routing/dispatcher_engine.h"

namespace mangoquay::routing {

statement_dispatcher::statement_dispatcher(dispatcher_settings settings, dispatcher_environment environment,
                                           const control::control_state& state,
                                           const sessions::token_codec& tokens, owner_client& owners,
                                           metrics::metrics_registry& metrics)
    : m_implementation(std::make_unique<implementation>(std::move(settings), std::move(environment), state,
                                                        tokens, owners, metrics)) {}
statement_dispatcher::~statement_dispatcher() = default;

void statement_dispatcher::execute(entry_statement statement, entry_callback done) {
    m_implementation->execute(std::move(statement), std::move(done));
}

void statement_dispatcher::on_owner_connection_lost(const core::entry_host_id& owner) {
    m_implementation->on_owner_connection_lost(owner);
}

void statement_dispatcher::update_endpoint_position(const core::endpoint_id& endpoint,
                                                    const core::history_position& position) {
    m_implementation->m_positions.set_position(endpoint, position);
}

void statement_dispatcher::begin_shutdown() {
    m_implementation->m_shutting_down = true;
}

std::size_t statement_dispatcher::requests_in_progress() const {
    return m_implementation->m_requests.size();
}

std::size_t statement_dispatcher::open_transactions() const {
    return m_implementation->m_transactions.size();
}

std::uint64_t statement_dispatcher::dropped_answers() const {
    return m_implementation->m_dropped_answers;
}

} // namespace mangoquay::routing
