// Requests for shares and their answers on a control host.
#include "fleet/quota_service.h"

#include "core/log.h"
#include "fleet/quota_messages.h"

#include <utility>

namespace mangoquay::fleet {
namespace {

// A request passes at most one control host that does not lead.
constexpr std::size_t max_path_length = 1;

} // namespace

quota_service::quota_service(transport::message_bus& bus, quotas::window_tolerance tolerance,
                             proposer propose, lease_check holds_lease, leader_source other_leader)
    : m_bus(bus), m_propose(std::move(propose)), m_holds_lease(std::move(holds_lease)),
      m_other_leader(std::move(other_leader)),
      m_granter(static_cast<quotas::granter_ports&>(*this), tolerance) {
    m_bus.set_handler<wire::quota_requestT>(
        [this](const auto& from, const auto& message) { on_request_received(from, message); });
    m_bus.set_handler<wire::quota_grantT>([this](const auto&, const wire::quota_grantT& grant) {
        if (grant.path.empty()) {
            return;
        }
        wire::quota_grantT forwarded = grant;
        const core::entry_host_id next(forwarded.path.back());
        forwarded.path.pop_back();
        m_bus.send(next, std::move(forwarded));
    });
}

bool quota_service::update_term(core::time_point now) {
    const auto term = m_holds_lease();
    if (!term) {
        return false;
    }
    if (term != m_term) {
        m_term = term;
        m_assigning = false;
        m_granter.begin_term(quotas::granter_term(term->value()), now);
        core::log_line(core::log_level::info, "quotas",
                       "granting begins term=" + std::to_string(term->value()));
    }
    return true;
}

void quota_service::on_request_received(const core::entry_host_id& from,
                                        const wire::quota_requestT& message) {
    const core::time_point now = core::now();
    if (!update_term(now)) {
        const auto leader = m_other_leader();
        if (leader && message.path.size() < max_path_length) {
            wire::quota_requestT forwarded = message;
            forwarded.path.push_back(from.value());
            m_bus.send(*leader, std::move(forwarded));
        }
        return;
    }
    const auto request = from_wire(message);
    if (!request) {
        core::log_line(core::log_level::warning, "quotas", "malformed message dropped peer=" + from.value());
        return;
    }
    const core::entry_host_id host = message.path.empty() ? from : core::entry_host_id(message.path.front());
    if (const auto grant = m_granter.on_request(host, *request, now)) {
        ++m_granted_count;
        wire::quota_grantT answer = to_wire(*grant);
        if (!message.path.empty()) {
            answer.path = message.path;
        }
        m_bus.send(from, std::move(answer));
    }
}

void quota_service::tick(core::time_point now) {
    if (!update_term(now)) {
        return;
    }
    m_granter.tick(now);
    if (m_granter.may_assign(now) && !std::exchange(m_assigning, true)) {
        core::log_line(core::log_level::info, "quotas",
                       "all shares of earlier leaders are known or have ended; shares may grow");
    }
}

} // namespace mangoquay::fleet
