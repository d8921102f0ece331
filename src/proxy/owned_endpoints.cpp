// Keeps the owners in line with the shared state and executes statements from other proxies.
#include "proxy/owned_endpoints.h"

#include "core/log.h"
#include "ownership/execute_messages.h"
#include "settings/database_credentials.h"
#include "wire/positions.h"

#include <functional>
#include <utility>

namespace mangoquay::proxy {
owned_endpoints::owned_endpoints(transport::event_loop& loop, transport::message_bus& bus,
                                 control_follower& follower, const settings::settings& config,
                                 const dialect::database_dialect& sql_dialect)
    : m_loop(loop), m_bus(bus), m_follower(follower), m_settings(config), m_dialect(sql_dialect) {
    install_handlers();
}

owned_endpoints::~owned_endpoints() {
    for (auto& [number, probe] : m_probes) {
        probe->close();
    }
}

void owned_endpoints::start() {
    query_positions();
}

void owned_endpoints::install_handlers() {
    m_bus.set_handler<wire::executeT>(
        [this](const auto& from, const auto& message) { on_execute_received(from, message); });
    m_bus.set_handler<wire::probeT>(
        [this](const auto& from, const auto& message) { on_probe_received(from, message); });
    m_bus.set_handler<wire::position_queryT>(
        [this](const auto& from, const auto& query) { on_position_queried(from, query); });
    m_bus.set_handler<wire::position_answerT>(
        [this](const auto&, const auto& answer) { on_position_answered(answer); });
}

void owned_endpoints::reconcile() {
    std::vector<core::endpoint_id> no_longer_owned;
    for (const auto& [endpoint, owned] : m_owners) {
        const auto record = m_follower.state().m_endpoints.find(endpoint);
        const bool still_owned =
            record != m_follower.state().m_endpoints.end() && record->second.m_owner == m_settings.m_host &&
            record->second.m_owner_epoch == owned.m_epoch && record->second.m_address == owned.m_address;
        if (!still_owned) {
            no_longer_owned.push_back(endpoint);
        }
    }
    for (const core::endpoint_id& endpoint : no_longer_owned) {
        release_owner(endpoint);
    }
    for (const auto& [endpoint, record] : m_follower.state().m_endpoints) {
        if (record.m_owner != m_settings.m_host) {
            continue;
        }
        if (!m_owners.contains(endpoint)) {
            create_owner(endpoint, record);
        }
        update_owner(endpoint, record);
    }
}

void owned_endpoints::create_owner(const core::endpoint_id& endpoint,
                                   const control::endpoint_record& record) {
    core::log_line(core::log_level::info, "ownership",
                   "owner started endpoint=" + endpoint.value() +
                       " epoch=" + std::to_string(record.m_owner_epoch.value()));
    const std::uint64_t seed = std::hash<std::string>{}(m_settings.m_host.value() + endpoint.value());
    owned_endpoint created{record.m_owner_epoch, record.m_address, nullptr};
    created.m_owner = std::make_unique<ownership::endpoint_owner>(
        m_loop, endpoint, record, m_settings.m_host, *this,
        settings::database_credentials(m_settings.m_database), m_dialect, seed);
    m_owners.emplace(endpoint, std::move(created));
}

void owned_endpoints::update_owner(const core::endpoint_id& endpoint,
                                   const control::endpoint_record& record) {
    ownership::endpoint_owner& owner = *m_owners.at(endpoint).m_owner;
    const control::control_state& state = m_follower.state();
    control::endpoint_record effective = record;
    const control::preset_record* preset = preset_of(record.m_group);
    if (preset != nullptr) {
        owner.apply_policy(*preset);
        effective.m_leaving = record.m_leaving || preset->m_drained_endpoints.contains(endpoint);
    }
    const auto group = state.m_groups.find(record.m_group);
    if (group != state.m_groups.end()) {
        owner.set_group(group->second);
    }
    owner.set_record(effective);
}

void owned_endpoints::release_owner(const core::endpoint_id& endpoint) {
    const auto found = m_owners.find(endpoint);
    core::log_line(core::log_level::info, "ownership",
                   "owner ended endpoint=" + endpoint.value() +
                       " epoch=" + std::to_string(found->second.m_epoch.value()));
    const std::uint64_t number = ++m_last_number;
    auto& releasing = m_releasing[number];
    releasing = std::move(found->second.m_owner);
    m_owners.erase(found);
    // The removal is posted, because the owner must not be destroyed during a call of its own.
    releasing->release([this, number] { m_loop.post([this, number] { m_releasing.erase(number); }); });
}

void owned_endpoints::submit(const core::endpoint_id& endpoint, core::owner_epoch epoch,
                             core::statement_request request, const core::entry_host_id& origin,
                             core::milliseconds position_wait, owned_answer_handler done) {
    const auto found = m_owners.find(endpoint);
    if (found == m_owners.end() || found->second.m_epoch != epoch) {
        done(core::refused_answer(core::reason::owner_changed), std::nullopt);
        return;
    }
    const auto wait = core::deadline_after(transport::event_loop::now(), position_wait);
    found->second.m_owner->submit(std::move(request), origin, wait,
                                  [this, endpoint, done = std::move(done)](core::statement_answer answer) {
                                      const auto owner = m_owners.find(endpoint);
                                      done(std::move(answer), owner == m_owners.end()
                                                                  ? std::nullopt
                                                                  : owner->second.m_owner->position());
                                  });
}

void owned_endpoints::on_execute_received(const core::entry_host_id& from, const wire::executeT& message) {
    const std::uint64_t number = message.request;
    const auto answer_with = [this, from, number](const core::statement_answer& answer,
                                                  const std::optional<core::history_position>& position) {
        wire::execute_answerT reply = ownership::to_wire(answer);
        reply.request = number;
        reply.endpoint_position = wire::to_wire(position);
        m_bus.send(from, std::move(reply));
    };
    auto request = ownership::from_wire(message, transport::event_loop::now());
    if (!request) {
        answer_with(core::refused_answer(core::reason::malformed_request, request.reason()), std::nullopt);
        return;
    }
    const auto wait = std::chrono::duration_cast<core::milliseconds>(core::microseconds(message.wait_us));
    submit(core::endpoint_id(message.endpoint), core::owner_epoch(message.owner_epoch), std::move(*request),
           from, wait, answer_with);
}

void owned_endpoints::on_origin_lost(const core::entry_host_id& origin) {
    for (auto& [endpoint, owned] : m_owners) {
        owned.m_owner->on_origin_lost(origin);
    }
    for (auto& [number, owner] : m_releasing) {
        owner->on_origin_lost(origin);
    }
}

bool owned_endpoints::may_acknowledge(const core::group_id& group, core::term term,
                                      core::time_point now) const {
    const auto record = m_follower.state().m_groups.find(group);
    return m_follower.lease_valid(now) && record != m_follower.state().m_groups.end() &&
           record->second.m_term == term && !record->second.m_promotion_in_progress;
}

bool owned_endpoints::may_end_earlier_owners(const core::endpoint_id& endpoint, core::owner_epoch epoch,
                                             core::time_point now) const {
    const auto record = m_follower.state().m_endpoints.find(endpoint);
    return m_follower.lease_valid(now) && record != m_follower.state().m_endpoints.end() &&
           record->second.m_owner == m_settings.m_host && record->second.m_owner_epoch == epoch;
}

bool owned_endpoints::day_open(const core::service_name& service, const core::business_day& day) const {
    return !m_follower.state().m_days.contains({service, day});
}

const control::preset_record* owned_endpoints::preset_of(const core::group_id& group) const {
    const control::control_state& state = m_follower.state();
    for (const auto& [name, service] : state.m_services) {
        if (std::find(service.m_groups.begin(), service.m_groups.end(), group) == service.m_groups.end()) {
            continue;
        }
        const auto preset = state.m_presets.find(service.m_preset);
        return preset == state.m_presets.end() ? nullptr : &preset->second;
    }
    return nullptr;
}

} // namespace mangoquay::proxy
