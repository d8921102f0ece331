// Conversion between endpoint reports and their FlatBuffers tables.
#include "registry/registry_wire.h"

namespace mangoquay::registry {

wire::endpoint_entryT to_wire(const endpoint_report& report) {
    wire::endpoint_entryT entry;
    entry.id = report.m_id.value();
    entry.service = report.m_service.value();
    entry.host = report.m_address.m_host;
    entry.port = report.m_address.m_port;
    entry.zone = report.m_zone.value();
    entry.slots = report.m_slots;
    entry.state = static_cast<std::uint8_t>(report.m_state);
    entry.is_primary = report.m_is_primary;
    entry.started_ms = report.m_started_ms;
    entry.sequence = report.m_sequence;
    return entry;
}

endpoint_report from_wire(const wire::endpoint_entryT& entry) {
    endpoint_report report;
    report.m_id = core::endpoint_id(entry.id);
    report.m_service = core::service_name(entry.service);
    report.m_address = {entry.host, entry.port};
    report.m_zone = core::availability_zone(entry.zone);
    report.m_slots = entry.slots;
    report.m_state = entry.state <= static_cast<std::uint8_t>(report_state::removed)
                         ? static_cast<report_state>(entry.state)
                         : report_state::removed;
    report.m_is_primary = entry.is_primary;
    report.m_started_ms = entry.started_ms;
    report.m_sequence = entry.sequence;
    return report;
}

} // namespace mangoquay::registry
