// Serves one endpoint of which this proxy is the owner: takes it over, queues and runs statements there,
// acknowledges writes, and reports its health.
//
// Owns: the monitoring connection with the owner lock, the connection pool, the slot queue, open transactions
// and the writes that wait for a quorum. Receives statements, control records and the primary's positions;
// sends answers. Runs on the event loop's thread.
//
// Invariants: no statement of a caller is sent before the owner lock is held; each submitted request gets
// exactly one answer; never more statements at once than the endpoint has slots; never more connections than
// the endpoint allows, the monitoring connection included.
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
// Gets the position of the endpoint's history as read after the question; none when it is not known.
using position_handler = std::function<void(std::optional<core::history_position>)>;

// What the shared decisions allow at this moment. Asked at the moment of use, so that a process that was
// paused past its lease finds the right gone.
class owner_rights {
public:
    owner_rights() = default;
    virtual ~owner_rights() = default;
    owner_rights(const owner_rights&) = delete;
    owner_rights& operator=(const owner_rights&) = delete;
    owner_rights(owner_rights&&) = delete;
    owner_rights& operator=(owner_rights&&) = delete;

    // The lease is valid, `term` is the group's present one and no promotion is in progress.
    [[nodiscard]] virtual bool may_acknowledge(const core::group_id& group, core::term term,
                                               core::time_point now) const = 0;
    // The lease is valid and the control state names this host as owner with this epoch.
    [[nodiscard]] virtual bool may_end_earlier_owners(const core::endpoint_id& endpoint,
                                                      core::owner_epoch epoch,
                                                      core::time_point now) const = 0;
    [[nodiscard]] virtual bool day_open(const core::service_name& service,
                                        const core::business_day& day) const = 0;
};

struct owner_health {
    bool m_reachable = false;                         // the monitoring connection answers
    bool m_lock_held = false;                         // statements may be dispatched
    std::optional<core::history_position> m_position; // applied; as of the last status
    bool m_is_replica = false;
    std::string m_follows;         // the endpoint's primary_conninfo; empty: none
    bool m_writes_stalled = false; // writes have waited for their quorum for longer than a second
};

struct unsettled_writes {
    core::service_name m_service;
    core::business_day m_day;
    std::uint32_t m_write_count = 0;
};

struct owner_statistics {
    std::size_t m_queue_length = 0;
    std::size_t m_busy_slots = 0;
    std::size_t m_slots = 0;
    std::size_t m_connections = 0; // open or being opened, the monitoring one included
    std::size_t m_open_transactions = 0;
    std::size_t m_waiting_writes = 0; // for their quorum
    std::uint64_t m_dispatched = 0;
    std::uint64_t m_shed = 0;
    core::duration m_average_short_wait{}; // decayed averages of the time spent in the queue
    core::duration m_average_long_wait{};
};

class owner_engine;

class endpoint_owner {
public:
    // Starts to take the endpoint over. `rights` and `strategy` must outlive the owner.
    endpoint_owner(transport::event_loop& loop, core::endpoint_id endpoint, control::endpoint_record record,
                   const core::entry_host_id& self, const owner_rights& rights,
                   const connection_settings& settings, const dialect::database_dialect& strategy,
                   std::uint64_t seed);
    // Closes all connections. Requests without an answer get one: not_run, or may_have_run when a write was
    // sent.
    ~endpoint_owner();
    endpoint_owner(const endpoint_owner&) = delete;
    endpoint_owner& operator=(const endpoint_owner&) = delete;
    endpoint_owner(endpoint_owner&&) = delete;
    endpoint_owner& operator=(endpoint_owner&&) = delete;

    // A statement or transaction step. `handler` may be called at once, and must not destroy the owner. A
    // read whose least position is not reached by `position_wait` is refused.
    void submit(core::statement_request request, const core::entry_host_id& origin,
                core::deadline position_wait, answer_handler handler);

    void apply_policy(const control::preset_record& policy);
    void set_group(const control::group_record& group);
    // Slots, connections, role or the leaving mark changed. Another address or epoch needs a new owner
    // object.
    void set_record(const control::endpoint_record& record);
    // The link of an entry proxy closed: its transactions are rolled back.
    void on_origin_lost(const core::entry_host_id& origin);

    // Accepts no new work; queued work is refused; running work and open transactions finish.
    void drain();
    // Drains, waits until idle, closes all connections, then calls `done`.
    void release(std::function<void()> done);
    [[nodiscard]] bool idle() const;

    // Applied position as of the last status.
    [[nodiscard]] std::optional<core::history_position> position() const;
    // Asks the endpoint itself. At a primary the answer is given only while this proxy may acknowledge under
    // its term, so that it can serve as the proof of an age.
    void query_position(position_handler handler);
    // A replica's owner learned the primary's position by a question that it sent at `queried_at`.
    void on_primary_position(core::time_point queried_at, core::history_position position);

    [[nodiscard]] owner_health health() const;
    [[nodiscard]] std::vector<unsettled_writes> list_unsettled_writes() const;
    [[nodiscard]] owner_statistics statistics() const;

private:
    std::unique_ptr<owner_engine> m_engine;
};

} // namespace mangoquay::ownership
