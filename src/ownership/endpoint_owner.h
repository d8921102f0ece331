// Serves one endpoint that this proxy owns: takes it over, queues and runs statements, acknowledges writes,
// and reports the health of the endpoint.
//
// Owns the monitoring connection, which holds the owner lock, the connection pool, the slot queue, the open
// transactions and the writes that wait for a quorum. Receives statements, control records and positions of
// the primary. Sends answers. Runs on the event loop's thread.
//
// Invariants: no statement of a caller is sent before the owner lock is held. Each submitted request gets
// exactly one answer. The number of concurrent statements never exceeds the slots of the endpoint. The number
// of connections, including the monitoring connection, never exceeds the limit of the endpoint.
#pragma once

#include "control/control_state.h"
#include "core/clock.h"
#include "core/history_position.h"
#include "core/ids.h"
#include "core/statement.h"
#include "dialect/database_dialect.h"
#include "transport/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mangoquay::ownership {

using dialect::connection_settings;
using answer_handler = std::function<void(core::statement_answer)>;
// Receives the position of the endpoint's history, read after the query was made. None if it cannot be
// determined.
using position_handler = std::function<void(std::optional<core::history_position>)>;

// The rights that the lease and the replicated state give at this time. Queried at the time of use, so that a
// process that was paused until its lease expired no longer acts on them.
class owner_rights {
public:
    owner_rights() = default;
    virtual ~owner_rights() = default;
    owner_rights(const owner_rights&) = delete;
    owner_rights& operator=(const owner_rights&) = delete;
    owner_rights(owner_rights&&) = delete;
    owner_rights& operator=(owner_rights&&) = delete;

    // True while the lease is valid, `term` is the current term of the group and no promotion is in progress.
    [[nodiscard]] virtual bool may_acknowledge(const core::group_id& group, core::term term,
                                               core::time_point now) const = 0;
    // True while the lease is valid and the control state names this host as the owner with this epoch.
    [[nodiscard]] virtual bool may_end_earlier_owners(const core::endpoint_id& endpoint,
                                                      core::owner_epoch epoch,
                                                      core::time_point now) const = 0;
    [[nodiscard]] virtual bool day_open(const core::service_name& service,
                                        const core::business_day& day) const = 0;
};

struct owner_health {
    bool m_reachable = false;                         // The monitoring connection answers.
    bool m_lock_held = false;                         // Statements may be dispatched.
    std::optional<core::history_position> m_position; // Applied position as of the last status.
    bool m_is_replica = false;
    std::string m_follows;         // primary_conninfo of the endpoint. May be empty.
    bool m_writes_stalled = false; // A write has waited for its quorum for more than one second.
};

// Number of writes of a business day whose outcome is not yet known.
struct unsettled_writes {
    core::service_name m_service;
    core::business_day m_day;
    std::uint32_t m_write_count = 0;
};

struct owner_statistics {
    std::size_t m_queue_length = 0;
    std::size_t m_busy_slots = 0;
    std::size_t m_slots = 0;
    std::size_t m_connections = 0; // Open or being opened, including the monitoring connection.
    std::size_t m_open_transactions = 0;
    std::size_t m_waiting_writes = 0; // Number of writes that wait for their quorum.
    std::uint64_t m_dispatched = 0;
    std::uint64_t m_shed = 0;
    // Moving averages of the time from submission to dispatch, for short and long work.
    core::duration m_average_short_wait{};
    core::duration m_average_long_wait{};
};

class owner_engine;

class endpoint_owner {
public:
    // Starts to take over the endpoint. `rights` and `strategy` must outlive the owner.
    endpoint_owner(transport::event_loop& loop, core::endpoint_id endpoint, control::endpoint_record record,
                   const core::entry_host_id& self, const owner_rights& rights,
                   const connection_settings& settings, const dialect::database_dialect& strategy,
                   std::uint64_t seed);
    // Closes all connections. Unanswered requests are answered with reason shutting_down: may_have_run if
    // something that may have had an effect was sent, otherwise not_run.
    ~endpoint_owner();
    endpoint_owner(const endpoint_owner&) = delete;
    endpoint_owner& operator=(const endpoint_owner&) = delete;
    endpoint_owner(endpoint_owner&&) = delete;
    endpoint_owner& operator=(endpoint_owner&&) = delete;

    // Submits a statement or a transaction step that arrived through the entry proxy `origin`. `handler` is
    // called exactly once, possibly from inside this call, and must not destroy the owner. A read is refused
    // if the endpoint does not reach its minimum position by `position_wait`.
    void submit(core::statement_request request, const core::entry_host_id& origin,
                core::deadline position_wait, answer_handler handler);

    void apply_policy(const control::preset_record& policy);
    void set_group(const control::group_record& group);
    // Updates slots, connections, role and the leaving flag. A new address or epoch requires a new owner
    // object.
    void set_record(const control::endpoint_record& record);
    // The peer connection to the entry proxy `origin` closed. Its transactions are rolled back and its
    // waiting requests refused.
    void on_origin_lost(const core::entry_host_id& origin);

    // Refuses new and queued requests. Running requests and open transactions may finish.
    void drain();
    // Drains the owner and, once it is idle, closes all connections and calls `done` from the event loop.
    void release(std::function<void()> done);
    // True if every request is answered and no transaction is open.
    [[nodiscard]] bool idle() const;

    // Applied position as of the last status. None while the owner lock is not held.
    [[nodiscard]] std::optional<core::history_position> position() const;
    // Reads the position from the endpoint. For a primary it is reported only while this proxy may
    // acknowledge writes of its term, so that it can prove the age of a replica's data.
    void query_position(position_handler handler);
    // The owner of a replica received the position of the primary for a query that was sent at `queried_at`.
    void on_primary_position(core::time_point queried_at, core::history_position position);

    [[nodiscard]] owner_health health() const;
    [[nodiscard]] std::vector<unsettled_writes> list_unsettled_writes() const;
    [[nodiscard]] owner_statistics statistics() const;

private:
    std::unique_ptr<owner_engine> m_engine;
};

} // namespace mangoquay::ownership
