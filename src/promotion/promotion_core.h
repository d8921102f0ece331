// Decides when a service's primary is replaced and by which replica, where an outside executor carries the
// promotion out and only the fence of an order tells old from new.
//
// Owns: one watch a service, volatile. A new leader starts afresh: its fences are higher than those of all
// before, so whatever an earlier one ordered late is refused. Deterministic: events in, requests to
// promotion_ports out.
//
// Safety rules:
// - replicas stop receiving under a higher term before their positions are compared, so the furthest one
// stays it;
// - with synchronous replicas an order waits until so many replicas have answered that each acknowledged
// commit is held
//   by one of them;
// - each order has a fence of its own, higher than those of all earlier orders;
// - replicas are resumed only after the executor has accepted an order under a fence above every unanswered
// one, if
//   need be an order that names the present primary and changes nothing: an unanswered order that is carried
//   out seconds later would promote a replica that has fallen behind since.
#pragma once

#include "core/clock.h"
#include "core/history_position.h"
#include "core/ids.h"
#include "registry/endpoint_registry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mangoquay::promotion {

using fencing_token = core::strong_value<struct fencing_token_tag, std::uint64_t>;

// What a database says about itself when it is asked by a control host.
struct endpoint_status {
    bool m_is_primary = false;
    core::term m_term;
    core::history_position m_received;
};

enum class step_kind : std::uint8_t { probe, status, pause, resume, step_down };

enum class order_outcome : std::uint8_t {
    accepted,
    refused, // the fence is too low, or the database does not run
    unknown, // it may still be carried out
};

// What entry hosts say of a primary.
struct entry_host_counts {
    std::uint32_t m_answered = 0;
    std::uint32_t m_failing = 0;
};

struct service_view {
    core::service_name m_name;
    std::uint32_t m_synchronous_replicas = 0;
    std::vector<registry::endpoint_report> m_endpoints;
    std::map<core::endpoint_id, core::time_point> m_last_contact; // when each last reported
    std::map<core::endpoint_id, entry_host_counts> m_entry_host_counts;
    // Entry hosts that report to the leader, and those that did so lately and have fallen silent.
    std::uint32_t m_reporting_hosts = 0;
    std::uint32_t m_nonreporting_hosts = 0;
};

struct promotion_event {
    const char* m_message = "";
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

    // Answered by step_answered(); a probe is an empty transaction that only a primary accepts.
    virtual void run_step(const core::service_name& service, const registry::endpoint_report& target,
                          step_kind kind, core::term term) = 0;
    // Answered by order_answered().
    virtual void send_promotion_order(const core::service_name& service, const core::endpoint_id& target,
                                      fencing_token token) = 0;
    // No order may be given without it: the host still leads.
    [[nodiscard]] virtual std::optional<fencing_token> next_fencing_token() = 0;
    virtual void record_event(const promotion_event& event) = 0;
};

struct step_answer {
    core::endpoint_id m_endpoint;
    step_kind m_kind = step_kind::probe;
    core::term m_term;       // of the step
    bool m_answered = false; // the database was reached and answered
    bool m_is_primary = false;
    bool m_connections_exhausted = false;             // it is alive, and has no connection left for this host
    std::optional<endpoint_status> m_status;          // of every kind but a probe
    std::optional<core::history_position> m_position; // of a probe that a primary accepted
};

class promotion_core {
public:
    explicit promotion_core(promotion_ports& ports) : m_ports(ports) {}

    // The host begins or ceases to lead. Nothing is remembered over a change.
    void set_leading(bool leading);
    void tick(const std::vector<service_view>& services, core::time_point now);
    void on_step_answer(const core::service_name& service, const step_answer& answer, core::time_point now);
    void on_order_outcome(const core::service_name& service, fencing_token token, order_outcome outcome,
                          core::time_point now);

private:
    enum class phase : std::uint8_t {
        watching,
        fencing, // orders of earlier leaders and unanswered ones are being shut out
        stepping_down,
        pausing,
        catching_up,
        ordering,
        confirming
    };

    struct service_state {
        phase m_phase = phase::watching;
        core::deadline m_phase_deadline;
        core::endpoint_id m_primary;                            // watched, or being replaced
        std::optional<core::time_point> m_probes_failing_since; // probes
        std::optional<core::time_point> m_no_primary_since;     // no endpoint is the primary
        bool m_last_probe_accepted = false;                     // the last one
        bool m_probe_in_flight = false;
        core::deadline m_next_probe;
        core::term m_highest_term;            // seen anywhere
        core::term m_pause_term;              // under which replicas are being paused
        bool m_earlier_orders_fenced = false; // no earlier order can be accepted any more
        core::deadline m_settle_deadline;     // what was accepted before has been carried out by then
        std::optional<core::history_position>
            m_required_position; // that the successor must hold, of a planned replacement
        std::map<core::endpoint_id, core::history_position> m_positions; // of paused replicas
        std::map<core::endpoint_id, registry::endpoint_report> m_queried_replicas;
        std::map<core::endpoint_id, core::deadline> m_rejected_until; // as successors, until then
        core::endpoint_id m_target;
        fencing_token m_fencing_token;
        // Replicas may be paused, also by an earlier leader, and have to be resumed once there is a primary.
        bool m_replicas_may_be_paused = true;
        std::set<core::endpoint_id> m_unresumed_replicas; // have not answered the request yet
        core::deadline m_next_resume;
        core::deadline m_resume_deadline;
    };

    using phase_handler = void (promotion_core::*)(service_state&, const service_view&, core::time_point);

    void run_watching(service_state& state, const service_view& service, core::time_point now);
    void run_fencing(service_state& state, const service_view& service, core::time_point now);
    void run_stepping_down(service_state& state, const service_view& service, core::time_point now);
    void run_pausing(service_state& state, const service_view& service, core::time_point now);
    void run_catching_up(service_state& state, const service_view& service, core::time_point now);
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
    void on_probe_answer(service_state& state, const step_answer& answer, core::time_point now);
    void choose_and_order(service_state& state, const service_view& service, core::time_point now);
    void issue_order(service_state& state, const service_view& service, phase next, core::time_point now);
    void end_replacement(service_state& state, const core::service_name& service, const char* what,
                         core::time_point now);
    void resume_replicas(service_state& state, const service_view& service, core::time_point now);
    void repeat_resume(service_state& state, const service_view& service, core::time_point now);
    void enter_phase(service_state& state, phase next, core::milliseconds limit, core::time_point now);
    [[nodiscard]] bool is_primary_lost(const service_state& state, const service_view& service,
                                       core::time_point now) const;

    promotion_ports& m_ports;
    bool m_leading = false;
    std::map<core::service_name, service_state> m_service_states;
};

} // namespace mangoquay::promotion
