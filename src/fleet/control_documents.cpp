// Configuration documents of a control host: changes and reads of operators, announcements to subscribers and
// the confirmation that the announced version is current.
#include "fleet/control_node.h"

#include "core/log.h"
#include "core/quoting.h"
#include "quotas/customer_limits.h"

#include <utility>

namespace mangoquay::fleet {

// The announcement is posted to the event loop, because replaying the log at startup commits many versions at
// once. Subscribers are notified of the last one only.
void control_node::announce_document() {
    if (std::exchange(m_announcement_pending, true)) {
        return;
    }
    m_loop.post([this] {
        m_announcement_pending = false;
        if (auto decoded = m_decoder(m_documents.bytes())) {
            m_configuration = std::move(*decoded);
            m_quotas.set_limits(quotas::limits_of(m_configuration), core::now());
        } else { // It was committed by a host with another software version.
            core::log_line(core::log_level::error, "fleet",
                           "committed configuration cannot be decoded reason=" +
                               core::quoted(decoded.reason()));
        }
        m_publisher.announce_document();
        confirm_document(core::now());
    });
}

// Only a host that waits for its first document needs to know whether this one is current, so nothing is sent
// while there is none.
void control_node::confirm_document(core::time_point now) {
    if (!m_publisher.has_waiting_subscribers()) {
        return;
    }
    const auto leader = m_raft->leader();
    if (m_raft->holds_lease(now)) {
        m_read_barrier.on_lease_held(now);
    } else if (leader && *leader != m_self) {
        if (const auto number = m_read_barrier.next_request(now)) {
            wire::read_index_requestT request;
            request.number = number->value();
            m_bus.send(*leader, request);
        }
    }
    m_read_barrier.on_applied(m_raft->committed());
    if (const auto as_of = m_read_barrier.current_as_of()) {
        m_publisher.confirm_document(*as_of);
    }
}

call_outcome control_node::redirect_to_leader() const {
    const auto leader = m_raft->leader();
    if (leader && *leader != m_self) {
        return {call_verdict::redirected, {}, *leader};
    }
    return {call_verdict::unavailable, "no Raft leader is known", {}};
}

void control_node::replace_document(const std::string& bytes, const call_done& done) {
    const auto decoded = m_decoder(bytes);
    if (!decoded) {
        core::log_line(core::log_level::info, "fleet",
                       "configuration refused reason=" + core::quoted(decoded.reason()));
        done({call_verdict::invalid, decoded.reason(), {}});
        return;
    }
    const documents::document_version version = decoded->m_version;
    if (version <= m_documents.version()) {
        done({call_verdict::done, {}, {}}); // This version or a later one is committed.
        return;
    }
    if (!m_raft->is_leader()) {
        done(redirect_to_leader());
        return;
    }
    m_raft->propose(documents::document_register::encode(version, bytes),
                    [done, version](std::optional<core::revision> at) {
                        core::log_line(core::log_level::info, "fleet",
                                       "configuration proposed version=" + std::to_string(version.value()) +
                                           " committed=" + (at ? "yes" : "unknown"));
                        done(at ? call_outcome{call_verdict::done, {}, {}}
                                : call_outcome{call_verdict::unavailable,
                                               "the commit of the configuration is not confirmed",
                                               {}});
                    });
}

void control_node::read_document(const call_done& done) {
    if (!m_raft->holds_lease(core::now())) {
        done(m_raft->is_leader()
                 ? call_outcome{call_verdict::unavailable, "the lease of the leader has expired", {}}
                 : redirect_to_leader());
        return;
    }
    if (m_documents.version().value() == 0) {
        done({call_verdict::unavailable, "no configuration has been committed yet", {}});
        return;
    }
    done({call_verdict::done, m_documents.bytes(), {}});
}

} // namespace mangoquay::fleet
