// Converts heartbeats to and from their wire encoding.
#include "membership/report_messages.h"

#include "wire/positions.h"

#include <memory>

namespace mangoquay::membership {

wire::heartbeatT to_wire(const heartbeat& beat) {
    wire::heartbeatT message;
    message.host = beat.m_host.value();
    message.incarnation = beat.m_incarnation.value();
    message.number = beat.m_number;
    message.applied_revision = beat.m_applied.value();
    message.leaving = beat.m_leaving;
    for (const endpoint_report& report : beat.m_health) {
        auto health = std::make_unique<wire::endpoint_healthT>();
        health->endpoint = report.m_endpoint.value();
        health->reachable = report.m_reachable;
        health->lock_held = report.m_lock_held;
        health->position = wire::to_wire(report.m_position);
        health->follows = report.m_follows.value();
        health->writes_stalled = report.m_writes_stalled;
        health->writes_in_flight = report.m_writes_in_flight;
        message.health.push_back(std::move(health));
    }
    for (const unsettled_day& day : beat.m_unsettled) {
        auto unsettled = std::make_unique<wire::unsettled_dayT>();
        unsettled->service = day.m_key.m_service.value();
        unsettled->day = day.m_key.m_day.value();
        unsettled->writes = day.m_writes;
        message.unsettled.push_back(std::move(unsettled));
    }
    for (const core::endpoint_id& endpoint : beat.m_renewed) {
        message.renewed_endpoints.push_back(endpoint.value());
    }
    return message;
}

heartbeat from_wire(const wire::heartbeatT& message) {
    heartbeat beat;
    beat.m_host = core::entry_host_id(message.host);
    beat.m_incarnation = core::incarnation(message.incarnation);
    beat.m_number = message.number;
    beat.m_applied = core::revision(message.applied_revision);
    beat.m_leaving = message.leaving;
    for (const auto& health : message.health) {
        endpoint_report report;
        report.m_endpoint = core::endpoint_id(health->endpoint);
        report.m_reachable = health->reachable;
        report.m_lock_held = health->lock_held;
        report.m_position =
            wire::position_from_wire(health->position.get()).value_or(core::history_position{});
        report.m_follows = core::endpoint_id(health->follows);
        report.m_writes_stalled = health->writes_stalled;
        report.m_writes_in_flight = health->writes_in_flight;
        beat.m_health.push_back(std::move(report));
    }
    for (const auto& day : message.unsettled) {
        beat.m_unsettled.push_back(
            {{core::service_name(day->service), core::business_day(day->day)}, day->writes});
    }
    for (const std::string& endpoint : message.renewed_endpoints) {
        beat.m_renewed.emplace_back(endpoint);
    }
    return beat;
}

} // namespace mangoquay::membership
