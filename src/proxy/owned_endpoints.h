// The endpoints that this proxy owns. Creates and ends their owners according to the shared state, executes
// statements from other proxies, answers position queries and probes, and reports health.
//
// Owns one endpoint_owner per owned endpoint. Invariant: an owner object serves only the epoch that the
// shared state contained when the object was created.
#pragma once

#include "database/connection.h"
#include "dialect/database_dialect.h"
#include "metrics/metrics_registry.h"
#include "ownership/endpoint_owner.h"
#include "proxy/control_follower.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace mangoquay::proxy {

// Receives the answer of a statement and the endpoint's position, if it is known.
using owned_answer_handler =
    std::function<void(core::statement_answer, std::optional<core::history_position> endpoint_position)>;

class owned_endpoints : public ownership::owner_rights {
public:
    owned_endpoints(transport::event_loop& loop, transport::message_bus& bus, control_follower& follower,
                    const settings::settings& config, const dialect::database_dialect& sql_dialect);
    ~owned_endpoints() override;
    owned_endpoints(const owned_endpoints&) = delete;
    owned_endpoints& operator=(const owned_endpoints&) = delete;
    owned_endpoints(owned_endpoints&&) = delete;
    owned_endpoints& operator=(owned_endpoints&&) = delete;

    // Creates, updates and releases owners according to the shared state. Called after each change of the
    // view.
    void reconcile();
    // Starts the periodic position queries.
    void start();

    // Executes a statement at an owned endpoint. Refuses it with owner_changed if this proxy does not own the
    // endpoint in `epoch`.
    void submit(const core::endpoint_id& endpoint, core::owner_epoch epoch, core::statement_request request,
                const core::entry_host_id& origin, core::milliseconds position_wait,
                owned_answer_handler done);
    // Called when the connection to the entry host `origin` was lost.
    void on_origin_lost(const core::entry_host_id& origin);
    // Adds the health of the owned endpoints and the numbers of unsettled writes to the heartbeat.
    void fill_heartbeat(membership::heartbeat& heartbeat) const;
    [[nodiscard]] std::vector<metrics::gauge> gauges() const;
    // Returns whether no endpoint is owned and none is being released.
    [[nodiscard]] bool empty() const { return m_owners.empty() && m_releasing.empty(); }

    [[nodiscard]] bool may_acknowledge(const core::group_id& group, core::term term,
                                       core::time_point now) const override;
    [[nodiscard]] bool may_end_earlier_owners(const core::endpoint_id& endpoint, core::owner_epoch epoch,
                                              core::time_point now) const override;
    [[nodiscard]] bool day_open(const core::service_name& service,
                                const core::business_day& day) const override;

private:
    struct owned_endpoint {
        core::owner_epoch m_epoch;
        control::socket_address m_address;
        std::unique_ptr<ownership::endpoint_owner> m_owner;
    };

    void install_handlers();
    void create_owner(const core::endpoint_id& endpoint, const control::endpoint_record& record);
    void update_owner(const core::endpoint_id& endpoint, const control::endpoint_record& record);
    void release_owner(const core::endpoint_id& endpoint);
    void on_execute_received(const core::entry_host_id& from, const wire::executeT& message);
    void on_probe_received(const core::entry_host_id& from, const wire::probeT& message);
    void on_position_queried(const core::entry_host_id& from, const wire::position_queryT& query);
    void on_position_answered(const wire::position_answerT& answer);
    void query_positions();
    [[nodiscard]] const control::preset_record* preset_of(const core::group_id& group) const;
    [[nodiscard]] core::endpoint_id endpoint_at(const std::string& connection_string) const;

    transport::event_loop& m_loop;
    transport::message_bus& m_bus;
    control_follower& m_follower;
    const settings::settings& m_settings;
    const dialect::database_dialect& m_dialect;
    std::map<core::endpoint_id, owned_endpoint> m_owners;
    // Owners that are being released, by number.
    std::map<std::uint64_t, std::unique_ptr<ownership::endpoint_owner>> m_releasing;
    std::uint64_t m_last_number = 0;
    // Send time of each position query that has not been answered, by number.
    std::map<std::uint64_t, core::time_point> m_position_queries;
    // Connections of the probes in progress, by number.
    std::map<std::uint64_t, std::shared_ptr<database::connection>> m_probes;
};

} // namespace mangoquay::proxy
