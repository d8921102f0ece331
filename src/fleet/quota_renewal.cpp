// Requests for shares and their answers on an entry host.
#include "fleet/quota_renewal.h"

#include "core/log.h"
#include "fleet/quota_messages.h"

#include <utility>

namespace mangoquay::fleet {
namespace {

// One request and its repetition had the time to be answered.
constexpr core::milliseconds silence_limit{quotas::request_period + core::milliseconds(400)};

} // namespace

quota_renewal::quota_renewal(transport::message_bus& bus, const update_subscriber& subscriber,
                             request_source next_request, grant_handler apply)
    : m_bus(bus), m_subscriber(subscriber), m_next_request(std::move(next_request)),
      m_apply(std::move(apply)) {
    m_bus.set_handler<wire::quota_grantT>(
        [this](const auto& from, const auto& message) { on_grant_received(from, message); });
}

void quota_renewal::poll(core::time_point now) {
    const auto request = m_next_request(now);
    if (!request) {
        return;
    }
    const wire::quota_requestT message = to_wire(*request);
    if (!m_granting_host_silent.passed(now)) {
        m_bus.send(m_granting_host, message);
        return;
    }
    for (const core::entry_host_id& host : m_subscriber.control_hosts()) {
        m_bus.send(host, message);
    }
}

void quota_renewal::on_grant_received(const core::entry_host_id& from, const wire::quota_grantT& message) {
    const core::time_point now = core::now();
    const auto grant = from_wire(message);
    if (!grant || !message.path.empty()) {
        core::log_line(core::log_level::warning, "quotas", "malformed message dropped peer=" + from.value());
        return;
    }
    if (m_apply(*grant, now)) {
        m_granting_host = from;
        m_granting_host_silent = core::deadline_after(now, silence_limit);
    }
}

} // namespace mangoquay::fleet
