// Renewal requests and their answers.
#include "fleet/lease_renewal.h"

#include "core/log.h"
#include "fleet/lease_messages.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mangoquay::fleet {
namespace {

// One renewal and its repetition had the time to be answered.
constexpr core::milliseconds silence_limit{350};
// Two hosts, one of which may be cut off as well.
constexpr std::size_t helpers_per_request = 2;

void log_list(const primary_leases::lease_holder& holder) {
    std::string text = "list of primaries term=" + std::to_string(holder.version().m_term.value()) +
                       " number=" + std::to_string(holder.version().m_number.value());
    for (const auto& [service, endpoint] : holder.primaries()) {
        text += " " + service.value() + "=" + endpoint.value();
    }
    core::log_line(core::log_level::info, "primary_leases", text);
}

} // namespace

lease_renewal::lease_renewal(transport::event_loop& loop, transport::message_bus& bus,
                             const update_subscriber& subscriber, core::entry_host_id self,
                             std::function<void()> changed)
    : m_loop(loop), m_bus(bus), m_subscriber(subscriber), m_self(std::move(self)),
      m_changed(std::move(changed)) {
    m_bus.set_handler<wire::primary_lease_grantT>(
        [this](const auto& from, const auto& message) { on_grant_received(from, message); });
    m_bus.set_handler<wire::primary_lease_requestT>(
        [this](const auto& from, const auto& request) { pass_request_on(from, request); });
}

void lease_renewal::start() {
    if (!std::exchange(m_running, true)) {
        tick();
    }
}

void lease_renewal::tick() {
    request_lease();
    const bool has_lease = !m_holder.lease_end().passed(core::now());
    if (std::exchange(m_had_lease, has_lease) != has_lease) {
        core::log_line(core::log_level::info, "primary_leases",
                       has_lease ? "lease held through host=" + m_granting_host.value()
                                 : "lease ended; primaries are not used until a control leader renews it");
    }
    m_loop.run_after(primary_leases::renewal_period, [this] { tick(); });
}

void lease_renewal::request_lease() {
    const core::time_point now = core::now();
    const wire::primary_lease_requestT request = to_wire(m_holder.next_request(now));
    if (!m_granting_host_silent.passed(now)) {
        m_bus.send(m_granting_host, request);
        return;
    }
    for (const core::entry_host_id& host : m_subscriber.control_hosts()) {
        m_bus.send(host, request);
    }
    for (const core::entry_host_id& host : choose_helpers()) {
        m_bus.send(host, request);
    }
}

std::vector<core::entry_host_id> lease_renewal::choose_helpers() {
    std::vector<core::entry_host_id> others;
    for (const auto& [zone, hosts] : m_subscriber.ready_hosts()) {
        std::ranges::copy_if(hosts, std::back_inserter(others),
                             [this](const core::entry_host_id& host) { return host != m_self; });
    }
    std::vector<core::entry_host_id> helpers;
    for (std::size_t count = 0; count < std::min(helpers_per_request, others.size()); ++count) {
        helpers.push_back(others[m_helper_rotation++ % others.size()]);
    }
    return helpers;
}

// Only a host with a recent grant of its own helps, so that hosts without one do not ask each other in turn.
void lease_renewal::pass_request_on(const core::entry_host_id& from,
                                    const wire::primary_lease_requestT& request) {
    auto forwarded = forwarded_request(from, request);
    if (forwarded && request.path.empty() && !m_granting_host_silent.passed(core::now())) {
        m_bus.send(m_granting_host, std::move(*forwarded));
    }
}

void lease_renewal::on_grant_received(const core::entry_host_id& from,
                                      const wire::primary_lease_grantT& message) {
    if (auto next = next_hop(message)) {
        m_bus.send(next->m_to, std::move(next->m_grant));
        return;
    }
    const primary_leases::list_version before = m_holder.version();
    if (!m_holder.on_grant(from_wire(message))) {
        return;
    }
    m_granting_host = from;
    m_granting_host_silent = core::deadline_after(core::now(), silence_limit);
    const bool new_list = m_holder.version() != before;
    if (new_list) {
        log_list(m_holder);
    }
    m_changed();
    if (new_list) {
        request_lease(); // Confirms that the list is applied; the leader may be waiting for that.
    }
}

} // namespace mangoquay::fleet
