// Numbers the statements and matches answers to callbacks.
#include "proxy/peer_owner_client.h"

#include "ownership/execute_messages.h"
#include "wire/positions.h"

#include <utility>

namespace mangoquay::proxy {
namespace {

// Time for which a callback is kept after the deadline. The dispatcher has answered its caller by then and
// ignores later answers.
constexpr core::milliseconds callback_retention{1000};
constexpr core::milliseconds sweep_period{1000};

} // namespace

peer_owner_client::peer_owner_client(transport::event_loop& loop, transport::message_bus& bus,
                                     owned_endpoints& owned, core::entry_host_id self)
    : m_loop(loop), m_bus(bus), m_owned_endpoints(owned), m_self(std::move(self)) {
    m_bus.set_handler<wire::execute_answerT>(
        [this](const auto& from, const auto& message) { on_execute_answered(from, message); });
    erase_expired();
}

void peer_owner_client::execute(const core::entry_host_id& owner, const core::endpoint_id& endpoint,
                                core::owner_epoch epoch, const core::statement_request& request,
                                core::milliseconds position_wait, routing::owner_callback done) {
    if (owner == m_self) {
        m_owned_endpoints.submit(endpoint, epoch, request, m_self, position_wait,
                                 [done = std::move(done)](core::statement_answer answer,
                                                          std::optional<core::history_position> position) {
                                     done({std::move(answer), position});
                                 });
        return;
    }
    const auto now = transport::event_loop::now();
    wire::executeT message = ownership::to_wire(request, now);
    const std::uint64_t number = ++m_last_number;
    message.request = number;
    message.endpoint = endpoint.value();
    message.owner_epoch = epoch.value();
    message.wait_us = core::microseconds(position_wait).count();
    m_in_flight[number] = {owner, {request.m_deadline.m_at + callback_retention}, std::move(done)};
    if (!m_bus.send(owner, std::move(message))) {
        const auto unsent = m_in_flight.extract(number);
        unsent.mapped().m_done({core::refused_answer(core::reason::owner_unreachable), std::nullopt});
    }
}

void peer_owner_client::on_execute_answered(const core::entry_host_id& from,
                                            const wire::execute_answerT& message) {
    const auto found = m_in_flight.find(message.request);
    if (found == m_in_flight.end() || found->second.m_owner != from) {
        return;
    }
    const routing::owner_callback done = std::move(found->second.m_done);
    m_in_flight.erase(found);
    auto answer = ownership::from_wire(message);
    if (!answer) {
        done({core::uncertain_answer(core::reason::internal_fault, answer.reason()), std::nullopt});
        return;
    }
    done({std::move(*answer), wire::position_from_wire(message.endpoint_position.get())});
}

void peer_owner_client::erase_expired() {
    const auto now = transport::event_loop::now();
    std::erase_if(m_in_flight, [&](const auto& entry) { return entry.second.m_expiry.passed(now); });
    m_loop.run_after(sweep_period, [this] { erase_expired(); });
}

} // namespace mangoquay::proxy
