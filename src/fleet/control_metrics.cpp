// Metrics page of a control host.
#include "fleet/control_node.h"

#include "metrics/page_writer.h"
#include "metrics/peer_traffic.h"

#include <map>

namespace mangoquay::fleet {
namespace {

// Samples exist for the stages that copies of a service are in.
void add_copies(metrics::page_writer& page, const promotion::copy_list& copies) {
    for (const auto& [service, listed] : copies) {
        std::map<std::string, int> stages;
        for (const auto& [copy, record] : listed) {
            ++stages[promotion::to_string(record.m_stage)];
        }
        for (const auto& [stage, count] : stages) {
            page.add_line("copies", {{"service", service.value()}, {"stage", stage}}, count);
        }
    }
}

} // namespace

std::string control_node::metrics_page() const {
    metrics::page_writer page;
    page.add_line("control_leads", {}, m_raft->holds_lease(core::now()) ? 1 : 0);
    page.add_line("control_term", {}, static_cast<double>(m_raft->term().value()));
    page.add_line("control_voters", {}, static_cast<double>(m_raft->members().m_voters.size()));
    page.add_line("control_learners", {}, static_cast<double>(m_raft->members().m_learners.size()));
    page.add_line("control_log_committed", {}, static_cast<double>(m_raft->committed().value()));
    page.add_line("configuration_version", {}, static_cast<double>(m_documents.version().value()));
    page.add_line("entry_hosts", {}, m_publisher.entry_host_count());
    page.add_line("endpoints", {}, static_cast<double>(m_subscriber.endpoints().usable_reports().size()));
    page.add_line("promotion_orders_total", {}, static_cast<double>(m_total_order_count));
    metrics::add_peer_traffic(page, m_bus);
    page.add_line("primary_lease_holders", {},
                  static_cast<double>(m_leases.authority().granter().current_holders(core::now()).size()));
    add_copies(page, m_state.copies());
    page.add_line("quota_holders", {}, static_cast<double>(m_state.quota_holders().size()));
    page.add_line("quota_grants_total", {}, static_cast<double>(m_quotas.granted_count()));
    page.add_line("primary_leases_granted_total", {}, static_cast<double>(m_leases.granted_count()));
    page.add_line("primary_lease_wait_ms_total", {},
                  static_cast<double>(m_leases.authority().total_wait().count()));
    return page.take_text();
}

} // namespace mangoquay::fleet
