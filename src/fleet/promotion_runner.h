// Drives the promotion core: runs its steps over connections to the databases, passes its orders to the
// executor and proposes the changes of the list of copies.
//
// Owns the core, the tracker of copies and one connection for each endpoint, opened on demand. Runs on the
// event loop's thread.
#pragma once

#include "documents/configuration.h"
#include "entry/database_connection.h"
#include "fleet/promotion_executor.h"
#include "fleet/update_publisher.h"
#include "promotion/copy_tracker.h"

#include <deque>
#include <map>
#include <memory>

namespace mangoquay::fleet {

// What the log of the control hosts says, as far as promotions depend on it.
struct committed_state {
    documents::document_version m_document_version;
    const promotion::copy_list& m_copies;
};

class promotion_runner final : private promotion::promotion_ports {
public:
    // Returns the fencing token of the next order, or nothing while this host does not hold the lease of the
    // leader.
    using fencing_token_source = std::function<std::optional<promotion::fencing_token>()>;
    // Returns until when no other host can lead.
    using leadership_end_source = std::function<core::deadline()>;

    // Proposes changes of the committed list of copies. May fail without notice.
    using copy_proposer = std::function<void(const std::vector<promotion::copy_change>&)>;

    // `authority` is used for services whose old primary goes on after a promotion: all of them unless
    // `executor_fences`, and those with synchronous replicas.
    promotion_runner(transport::event_loop& loop, const entry::session_protocol& protocol,
                     promotion_executor& executor, promotion::primary_authority& authority,
                     bool executor_fences, core::entry_host_id self, fencing_token_source token_source,
                     leadership_end_source leadership_end, copy_proposer propose_copies);
    ~promotion_runner() override;
    promotion_runner(const promotion_runner&) = delete;
    promotion_runner& operator=(const promotion_runner&) = delete;
    promotion_runner(promotion_runner&&) = delete;
    promotion_runner& operator=(promotion_runner&&) = delete;

    // Reports whether this host leads. A host that does not lead closes its connections.
    void set_leading(bool leading);
    // Runs the core and closes expired connections. Must be called periodically while this host leads.
    void tick(const documents::configuration& configuration, const registry::endpoint_registry& endpoints,
              const committed_state& committed,
              const std::map<core::entry_host_id, subscriber_record>& subscribers, core::time_point now);

private:
    struct pending_step {
        core::service_name m_service;
        promotion::step_kind m_kind = promotion::step_kind::probe;
        int m_expected_answers = 1;
        core::deadline m_deadline;
        promotion::step_answer m_answer;
    };
    struct endpoint_connection {
        registry::endpoint_report m_target;
        std::unique_ptr<entry::database_connection> m_connection;
        std::deque<pending_step> m_pending_steps;
        core::time_point m_last_use{};
        core::time_point m_opened_at{};
    };

    void run_step(const core::service_name& service, const registry::endpoint_report& target,
                  promotion::step_kind kind, core::term term) override;
    void send_promotion_order(const core::service_name& service, const core::endpoint_id& target,
                              promotion::fencing_token token) override;
    std::optional<promotion::fencing_token> next_fencing_token() override;
    void release_copy(const core::service_name& service,
                      const promotion::endpoint_incarnation& copy) override;
    void record_event(const promotion::promotion_event& event) override;

    void update_copies(const documents::configuration& configuration,
                       const registry::endpoint_registry& endpoints, const committed_state& committed,
                       core::time_point now);

    endpoint_connection& connection_to(const registry::endpoint_report& target);
    void on_answer_received(const core::endpoint_id& id, const relay::database_answer& answer);
    // Answers all pending steps of the connection with a failure.
    void on_connection_failed(const core::endpoint_id& id, bool connections_exhausted);
    // Closes idle connections, and connections with a step past its deadline.
    void expire_connections(core::time_point now);
    [[nodiscard]] std::vector<promotion::service_view>
    service_views(const documents::configuration& configuration, const registry::endpoint_registry& endpoints,
                  const std::map<core::entry_host_id, subscriber_record>& subscribers,
                  core::time_point now) const;

    transport::event_loop& m_loop;
    const entry::session_protocol& m_protocol;
    promotion_executor& m_executor;
    const promotion::primary_authority& m_authority;
    core::entry_host_id m_self;
    bool m_executor_fences;
    fencing_token_source m_token_source;
    leadership_end_source m_leadership_end;
    copy_proposer m_propose_copies;
    promotion::copy_tracker m_copies;
    promotion::promotion_core m_core;
    bool m_leading = false;
    std::map<core::endpoint_id, endpoint_connection> m_connections;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace mangoquay::fleet
