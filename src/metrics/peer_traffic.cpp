// Lines of the traffic metrics.
#include "metrics/peer_traffic.h"

namespace mangoquay::metrics {

void add_peer_traffic(page_writer& page, const transport::message_bus& bus) {
    for (const auto& [kind, sent] : bus.sent_amounts()) {
        page.add_line("peer_messages_sent_total", {{"kind", kind}}, static_cast<double>(sent.m_messages));
        page.add_line("peer_bytes_sent_total", {{"kind", kind}}, static_cast<double>(sent.m_bytes));
    }
}

} // namespace mangoquay::metrics
