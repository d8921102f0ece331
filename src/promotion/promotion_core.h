// Decides when the primary of a service is replaced and by which replica, where an external executor carries
// out the promotion and only the fencing token of an order distinguishes new orders from old ones.
//
// Owns one service_state per service, which is not persisted. A new leader starts with empty state: its
// fencing tokens are higher than those of all earlier leaders, so the executor refuses orders of an earlier
// leader that arrive late. Deterministic: events come in, requests to promotion_ports go out.
//
// Safety rules:
// - Replicas stop receiving under a higher term before their positions are compared, so that the most
//   advanced replica remains the most advanced one.
// - With synchronous replicas, an order names only a database that holds each acknowledged commit: its
//   position is not below the one at which the old primary was stepped down, or not below any position of
//   so many paused databases that each acknowledged commit is held by at least one of them. The number of
//   copies that they are counted against comes from copies.h, not from the databases that can be used now. No
//   time limit replaces this knowledge; a replacement that cannot get it is abandoned and tried again.
// - A planned replacement steps the old primary down once a replica has answered with the position of that
//   primary. Until then the old primary serves, for as long as it may.
// - Each order has its own fencing token, higher than those of all earlier orders.
// - Where an old primary goes on after a promotion (service_view::m_is_leased), an order is issued only
//   when no entry host can use the old primary any more and the assignment of the new one is committed. The
//   assigned endpoint stays the monitored one, whichever others report to be primaries; those are stepped
//   down.
// - Replicas are resumed only after the executor has accepted an order whose token is higher than that of
//   every unanswered order. If necessary, an order that names the current primary and changes nothing is
//   issued for this purpose: an unanswered order that is carried out seconds later would promote a replica
//   that has fallen behind in the meantime.
#pragma once

#include "core/clock.h"
#include "core/history_position.h"
#include "core/ids.h"
#include "promotion/copies.h"
#include "promotion/primary_authority.h"
#include "registry/endpoint_registry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mangoquay::promotion {

using fencing_token = core::strong_value<struct fencing_token_tag, std::uint64_t>;

// Status that a database reports to a control host on request.
struct endpoint_status {
    bool m_is_primary = false;
    core::term m_term;
    core::history_position m_received;
};

enum class step_kind : std::uint8_t { probe, status, pause, resume, step_down };

enum class order_outcome : std::uint8_t {
    accepted,
    refused, // The fencing token is too low, or the database is not running.
    unknown, // The order may still be carried out.
};

// Numbers of entry hosts that report a primary as answering and as failing.
struct entry_host_counts {
    std::uint32_t m_answered = 0;
    std::uint32_t m_failing = 0;
};

struct service_view {
    core::service_name m_name;
    std::uint32_t m_synchronous_replicas = 0;
    // Entry hosts use only the assigned primary, under a lease.
    bool m_is_leased = false;
    // An old primary goes on after a promotion until it is stepped down.
    bool m_old_primary_goes_on = false;
    // With synchronous replicas: the copies that count for the quorum.
    std::vector<counted_copy> m_copies;
    std::vector<registry::endpoint_report> m_endpoints;
    std::map<core::endpoint_id, core::time_point> m_last_contact; // Time of the last report.
    std::map<core::endpoint_id, entry_host_counts> m_entry_host_counts;
    // Numbers of entry hosts that report to the leader, and of those that reported recently but no longer do.
    std::uint32_t m_reporting_hosts = 0;
    std::uint32_t m_nonreporting_hosts = 0;
};

struct promotion_event {
    std::string m_message;
    core::service_name m_service;
    core::endpoint_id m_endpoint;
    std::string m_reason;
};

class promotion_ports {
public:
    promotion_ports() = default;
    virtual ~promotion_ports() = default;
    promotion_ports(const promotion_ports&) = delete;
    promotion_ports& operator=(const promotion_ports&) = delete;
    promotion_ports(promotion_ports&&) = delete;
    promotion_ports& operator=(promotion_ports&&) = delete;

    // Runs a step at a database; on_step_answer() receives the answer. A probe is an empty transaction that
    // only a primary accepts.
    virtual void run_step(const core::service_name& service, const registry::endpoint_report& target,
                          step_kind kind, core::term term) = 0;
    // Sends a promotion order to the executor; on_order_outcome() receives the outcome.
    virtual void send_promotion_order(const core::service_name& service, const core::endpoint_id& target,
                                      fencing_token token) = 0;
    // Returns the fencing token of the next order, or nothing unless this host still leads. No order may be
    // issued without a token.
    [[nodiscard]] virtual std::optional<fencing_token> next_fencing_token() = 0;
    // The other copies of the service hold all that this one may have received.
    virtual void release_copy(const core::service_name& service, const endpoint_incarnation& copy) = 0;
    virtual void record_event(const promotion_event& event) = 0;
};

struct step_answer {
    core::endpoint_id m_endpoint;
    std::int64_t m_started_ms = 0;     // Of the incarnation that the step was meant for.
    core::time_point m_connected_at{}; // When the connection over which it came was opened.
    step_kind m_kind = step_kind::probe;
    core::term m_term;       // Term of the step.
    bool m_answered = false; // The database was reached and answered.
    bool m_is_primary = false;
    bool m_connections_exhausted = false; // The database is running but has no free connection for this host.
    std::optional<endpoint_status> m_status;          // Set for every kind of step except a probe.
    std::optional<core::history_position> m_position; // Set for a probe that a primary accepted.
};

class promotion_core {
public:
    // `authority` is used for services with service_view::m_is_leased set.
    promotion_core(promotion_ports& ports, primary_authority& authority)
        : m_ports(ports), m_lease_authority(authority) {}

    // Reports whether this host leads. A change discards all state.
    void set_leading(bool leading);
    // Runs the current phase of each listed service; called periodically. Does nothing while another host
    // leads.
    void tick(const std::vector<service_view>& services, core::time_point now);
    // Answer to a step that promotion_ports::run_step() started.
    void on_step_answer(const core::service_name& service, const step_answer& answer, core::time_point now);
    // Outcome of an order; ignored unless `token` is that of the latest order for the service.
    void on_order_outcome(const core::service_name& service, fencing_token token, order_outcome outcome,
                          core::time_point now);

private:
    enum class phase : std::uint8_t {
        watching,
        fencing, // An order is being sent to invalidate unanswered orders and orders of earlier leaders.
        stepping_down,
        pausing,
        catching_up,
        reserving, // Waits until no entry host can use the old primary any more.
        ordering,
        confirming
    };

    struct service_state {
        phase m_phase = phase::watching;
        core::deadline m_phase_deadline;
        core::endpoint_id m_primary;           // Primary that is monitored or being replaced.
        std::int64_t m_primary_started_ms = 0; // Of the monitored incarnation.
        // Start of the current run of unanswered probes.
        std::optional<core::time_point> m_probes_failing_since;
        // Time since which no endpoint has acted as the primary.
        std::optional<core::time_point> m_no_primary_since;
        bool m_last_probe_accepted = false;
        bool m_probe_in_flight = false;
        // The next three are as in the last service_view.
        bool m_is_leased = false;
        bool m_old_primary_goes_on = false;
        std::uint32_t m_synchronous_replicas = 0;
        [[nodiscard]] bool is_synchronous() const { return m_synchronous_replicas > 0; }
        // Time since which the assigned endpoint is not among those of the service.
        std::optional<core::time_point> m_assigned_absent_since;
        core::term m_primary_term; // Term of the monitored primary, by its last accepted probe.
        // Position of the monitored primary, by its last accepted probe, and when that probe was sent.
        std::optional<core::history_position> m_primary_position;
        core::time_point m_primary_position_at{};
        core::time_point m_probe_sent_at{};
        // Last position of each replica of the monitored primary.
        std::map<endpoint_incarnation, core::history_position> m_replica_positions;
        // Position of the monitored primary after the copy had ended, so above all that it received.
        std::map<endpoint_incarnation, core::history_position> m_release_positions;
        // A ready replica has answered with at least the position of the primary. Valid until then.
        core::deadline m_successor_current_until;
        core::deadline m_next_replica_query;
        // The wait for a replica in a planned replacement ends then. Set while the primary is draining.
        std::optional<core::deadline> m_planned_wait_end;
        core::deadline m_next_planned_replacement;
        core::deadline m_next_step_down;
        std::set<core::endpoint_id> m_stepping_down; // Endpoints whose step-down was logged.
        core::deadline m_next_probe;
        core::term m_highest_term;            // Highest term that any answer contained.
        core::term m_pause_term;              // Term of the current pause requests.
        bool m_earlier_orders_fenced = false; // The executor refuses all earlier orders.
        core::deadline m_settle_deadline;     // Orders accepted earlier have taken effect by then.
        // The target acted as the primary without having been assigned.
        bool m_is_target_adopted = false;
        // Entry hosts do not use the primary before: an order that names the current primary does not cancel
        // a promotion that the executor has accepted before.
        core::deadline m_adoption_settled;
        // Position at which the old primary was stepped down. Set until a later primary may have accepted
        // commits, so a database that holds this position holds all acknowledged commits.
        std::optional<core::history_position> m_required_position;
        core::deadline m_old_primary_answer_expiry; // The stepped-down primary counts as gone then.
        std::map<core::endpoint_id, core::history_position> m_positions; // Positions of paused replicas.
        std::map<core::endpoint_id, core::time_point> m_connected_at; // When their connections were opened.
        std::map<core::endpoint_id, registry::endpoint_report> m_queried_replicas;
        // Times until which replicas are avoided as successors.
        std::map<core::endpoint_id, core::deadline> m_rejected_until;
        core::endpoint_id m_target;
        fencing_token m_fencing_token;
        // Replicas may be paused, possibly by an earlier leader; they are resumed once there is a primary.
        bool m_replicas_may_be_paused = true;
        // Replicas that have not answered the resume request yet.
        std::set<core::endpoint_id> m_unresumed_replicas;
        // Endpoints that were to be resumed since the last pause, whether they have answered or not.
        std::set<core::endpoint_id> m_resumed_endpoints;
        core::deadline m_next_resume;
        core::deadline m_resume_deadline;
    };

    using phase_handler = void (promotion_core::*)(service_state&, const service_view&, core::time_point);

    void run_watching(service_state& state, const service_view& service, core::time_point now);
    void run_fencing(service_state& state, const service_view& service, core::time_point now);
    void run_stepping_down(service_state& state, const service_view& service, core::time_point now);
    void run_pausing(service_state& state, const service_view& service, core::time_point now);
    void run_catching_up(service_state& state, const service_view& service, core::time_point now);
    void run_reserving(service_state& state, const service_view& service, core::time_point now);
    void run_ordering(service_state& state, const service_view& service, core::time_point now);
    void run_confirming(service_state& state, const service_view& service, core::time_point now);

    void send_probe(service_state& state, const service_view& service,
                    const registry::endpoint_report& target, core::time_point now);
    void begin_pause(service_state& state, const service_view& service, const char* reason,
                     core::time_point now);
    void send_step_to_replicas(service_state& state, const service_view& service, step_kind kind,
                               core::term term);
    void on_pause_answer(const core::service_name& service, service_state& state, const step_answer& answer,
                         core::time_point now);
    // Assigns an endpoint that is a primary without having been assigned.
    void adopt(const core::service_name& service, service_state& state, const step_answer& answer,
               core::time_point now);
    void on_probe_answer(service_state& state, const step_answer& answer, core::time_point now);
    void run_planned_replacement(service_state& state, const service_view& service,
                                 const registry::endpoint_report& primary, core::time_point now);
    // Requests the positions of the ready replicas, at most once a period.
    void query_replicas(service_state& state, const service_view& service,
                        const registry::endpoint_report& primary, core::milliseconds period,
                        core::time_point now);
    // Releases the copies that have ended and whose commits the others hold.
    void release_copies(service_state& state, const service_view& service);
    // Number of copies of which one must hold a given acknowledged commit.
    [[nodiscard]] static std::size_t quorum_of(const service_view& service);
    // Paused replicas that count for the quorum. A database that has started again answers before its report
    // arrives, so an answer counts once the incarnation has reported during the life of the connection.
    [[nodiscard]] static std::size_t answered_copies(const service_state& state, const service_view& service);
    // Chooses among the databases with a known position of at least `floor`.
    void choose_and_order(service_state& state, const service_view& service,
                          const std::optional<core::history_position>& floor, core::time_point now);
    void issue_order(service_state& state, const service_view& service, phase next, core::time_point now);
    void end_replacement(service_state& state, const core::service_name& service, const std::string& message,
                         core::time_point now);
    // The endpoint to monitor as the service's primary; null if there is none.
    [[nodiscard]] const registry::endpoint_report*
    primary_of(service_state& state, const service_view& service, core::time_point now);
    // Lets entry hosts use the assigned primary, unless an unanswered order could still replace it although
    // replicas are synchronous.
    void restore_leases(const service_state& state, const core::service_name& service, core::time_point now);
    // Keeps the assignment of a leased service in line with the monitored primary.
    void maintain_assignment(service_state& state, const service_view& service,
                             const registry::endpoint_report& primary, core::time_point now);
    void step_down_others(service_state& state, const service_view& service,
                          const registry::endpoint_report& primary, core::time_point now);
    void on_step_down_answer(const core::service_name& service, service_state& state,
                             const step_answer& answer, core::time_point now);
    [[nodiscard]] primary_authority& authority_of(const service_view& service);
    // Resumes all endpoints that were not resumed since the last pause.
    void resume_replicas(service_state& state, const service_view& service, core::time_point now);
    void repeat_resume(service_state& state, const service_view& service, core::time_point now);
    void enter_phase(service_state& state, phase next, core::milliseconds timeout, core::time_point now);
    [[nodiscard]] bool is_primary_lost(const service_state& state, const service_view& service,
                                       core::time_point now) const;

    promotion_ports& m_ports;
    primary_authority& m_lease_authority;
    unrestricted_authority m_unrestricted;
    bool m_leading = false;
    std::map<core::service_name, service_state> m_service_states;
};

} // namespace mangoquay::promotion
