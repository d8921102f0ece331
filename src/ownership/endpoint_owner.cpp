// Public interface of the owner. Every call is forwarded to owner_engine.
#include "ownership/endpoint_owner.h"

#include "ownership/owner_engine.h"

#include <utility>

namespace mangoquay::ownership {

endpoint_owner::endpoint_owner(transport::event_loop& loop, core::endpoint_id endpoint,
                               control::endpoint_record record, const core::entry_host_id& self,
                               const owner_rights& rights, const connection_settings& settings,
                               const dialect::database_dialect& strategy, std::uint64_t seed)
    : m_engine(std::make_unique<owner_engine>(loop, std::move(endpoint), std::move(record), self, rights,
                                              settings, strategy, seed)) {}

endpoint_owner::~endpoint_owner() = default;

void endpoint_owner::submit(core::statement_request request, const core::entry_host_id& origin,
                            core::deadline position_wait, answer_handler handler) {
    m_engine->submit(std::move(request), origin, position_wait, std::move(handler));
}

void endpoint_owner::apply_policy(const control::preset_record& policy) {
    m_engine->apply_policy(policy);
}

void endpoint_owner::set_group(const control::group_record& group) {
    m_engine->set_group(group);
}

void endpoint_owner::set_record(const control::endpoint_record& record) {
    m_engine->set_record(record);
}

void endpoint_owner::on_origin_lost(const core::entry_host_id& origin) {
    m_engine->on_origin_lost(origin);
}

void endpoint_owner::drain() {
    m_engine->drain();
}

void endpoint_owner::release(std::function<void()> done) {
    m_engine->release(std::move(done));
}

bool endpoint_owner::idle() const {
    return m_engine->idle();
}

std::optional<core::history_position> endpoint_owner::position() const {
    return m_engine->position();
}

void endpoint_owner::query_position(position_handler handler) {
    m_engine->query_position(std::move(handler));
}

void endpoint_owner::on_primary_position(core::time_point queried_at, core::history_position position) {
    m_engine->on_primary_position(queried_at, position);
}

owner_health endpoint_owner::health() const {
    return m_engine->health();
}

std::vector<unsettled_writes> endpoint_owner::list_unsettled_writes() const {
    return m_engine->list_unsettled_writes();
}

owner_statistics endpoint_owner::statistics() const {
    return m_engine->statistics();
}

} // namespace mangoquay::ownership
