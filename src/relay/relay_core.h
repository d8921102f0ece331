// Forwards statements of callers' sessions to databases and returns their answers.
//
// Decides which endpoint runs a statement, on which connection and after which preparation, whether it is
// repeated, and what is reported to the caller. Owns the sessions, the connections and this host's view of
// the endpoints. Deterministic: uses no socket, clock or log, and acts only through relay_ports, whose
// functions must not call back.
//
// Safety rules:
// - a read on a `latest` route runs inside a plain transaction, which an endpoint refuses once it is no
//   longer the primary;
// - any other read carries a position that covers what its caller must see;
// - a refusal guarantees that the statement did not run only if no single write and no commit of the
//   attempt was sent, or if the database itself reported that it did not run;
// - where an old primary goes on after a promotion, this host uses an endpoint as a primary, acknowledges its
//   commits and takes position samples from it only under a primary lease;
// - an answer belongs to the request at the head of its connection's queue; a connection with a missing
//   answer is closed and never reused.
#pragma once

#include "documents/configuration.h"
#include "lending/loan.h"
#include "primary_leases/primary_list.h"
#include "quotas/quota_holder.h"
#include "relay/connection.h"
#include "relay/placement.h"
#include "relay/position_samples.h"
#include "relay/session.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace mangoquay::test {
class relay_invariants;
} // namespace mangoquay::test

namespace mangoquay::relay {

// A decision about a caller's statement, for the log.
struct statement_event {
    const char* m_action = "";
    std::string m_request;
    std::string m_endpoint;
    std::string m_reason;
    std::int64_t m_age_ms = 0; // Time since the statement arrived.
    std::uint32_t m_attempts = 0;
};

// A statement whose answer was sent to the caller.
struct answered_statement {
    documents::consistency m_consistency = documents::consistency::latest;
    std::optional<refusal> m_refusal;
    core::duration m_latency{};
};

// What the relay core needs from its environment. Implementations must not call the core back from within
// these functions.
class relay_ports {
public:
    relay_ports() = default;
    virtual ~relay_ports() = default;
    relay_ports(const relay_ports&) = delete;
    relay_ports& operator=(const relay_ports&) = delete;
    relay_ports(relay_ports&&) = delete;
    relay_ports& operator=(relay_ports&&) = delete;

    virtual void send_answer(session_id session, const session_answer& answer) = 0;
    virtual void close_session(session_id session) = 0;
    // Opens a connection. The result is reported by on_connection_opened() or on_connection_failed().
    virtual void open_connection(connection_id id, const registry::endpoint_report& target) = 0;
    // Requests a loan from a host that keeps connections to the endpoint. The result is reported by
    // on_connection_lent() or on_loan_refused(). The loss of a lent connection is reported by on_loan_lost()
    // or on_connection_failed(). `initial_requests` are sent as soon as the connection is lent.
    virtual void borrow_connection(connection_id id, const core::endpoint_id& endpoint,
                                   const lending::loan_terms& terms,
                                   const std::vector<database_request>& initial_requests) = 0;
    // Returns a borrowed connection to its lender. No event of the connection follows.
    virtual void return_connection(connection_id id, const lending::returned_state& state) = 0;
    virtual void send_requests(connection_id id, const std::vector<database_request>& requests) = 0;
    // Closes an own connection or ends a loan, granted or not. No event of the connection follows.
    virtual void close_connection(connection_id id) = 0;
    virtual void record_event(const statement_event& event) = 0;
    // Whether the protocol of databases can carry the request, in one message.
    [[nodiscard]] virtual bool can_encode(const database_request& request) const = 0;
    // An operation waits for tokens of its customer's limit, so a request for shares may be due.
    virtual void on_tokens_needed() {}
    // Adds the statement to the metrics.
    virtual void count_statement(const answered_statement& statement) = 0;
};

// Scheduling rules that load tests disable one by one to measure the effect of each. All are enabled in the
// program.
struct scheduling_rules {
    bool m_shorter_first = true;           // At equal priority, statements with a shorter run time go first.
    bool m_adapt_concurrency_limit = true; // Fewer statements are sent at once to an endpoint that is slow.
    bool m_extra_connections = true; // A host opens more connections than its share while it needs them.
};

// Limits of the session values and prepared statements that callers make this host keep. A message holds at
// most 1 MiB, so a session can keep several of the largest ones.
struct session_state_limits {
    std::size_t m_max_entries = 1000;                       // Of one session.
    std::size_t m_max_bytes = std::size_t{4} << 20U;        // Of one session.
    std::size_t m_max_total_bytes = std::size_t{64} << 20U; // Of all sessions.
    // Sessions that hold at most so much may use the reserve as well, so that a few large ones do not use up
    // what all others need.
    std::size_t m_small_session_bytes = std::size_t{16} << 10U;
    std::size_t m_reserved_bytes = std::size_t{8} << 20U;
};

struct relay_limits {
    core::availability_zone m_zone;
    // Connections kept free at each database for control hosts and for hosts that are just starting.
    std::uint32_t m_reserved_connections = 3;
    // Number of hosts that share the connections, until control hosts report the actual number.
    std::uint32_t m_entry_hosts = 8;
    scheduling_rules m_rules;
    // See documents::needs_primary_lease().
    bool m_executor_fences = true;
    session_state_limits m_session_state;
    core::incarnation m_incarnation; // Of this process; higher after each restart.
};

struct relay_counters {
    std::uint64_t m_statements = 0;
    std::uint64_t m_succeeded = 0;
    std::uint64_t m_refused = 0;   // Refusals that guarantee that nothing ran.
    std::uint64_t m_uncertain = 0; // Refusals without that guarantee.
    // Commits that were answered after the primary lease had ended, and reported as in doubt.
    std::uint64_t m_late_commits = 0;
    std::uint64_t m_repeated = 0; // Attempts after the first.
    std::uint64_t m_probes = 0;   // Probes for the primary's position.
    std::uint64_t m_connections_opened = 0;
    std::uint64_t m_connections_borrowed = 0;
    std::uint64_t m_served_by_replicas = 0;
    std::uint64_t m_served_by_primaries = 0;
    std::uint64_t m_unknown_keys = 0;   // Sessions refused because of their key.
    std::uint64_t m_withdrawn_keys = 0; // Statements refused because their key was withdrawn or moved.
};

// What this host observed of a service's primary, reported to the control hosts.
struct primary_observation {
    core::endpoint_id m_endpoint;
    bool m_answered = false; // It answered within the last 600 ms.
    bool m_failing = false;  // Connections to it failed, and it has not answered since.
};

enum class session_admission : std::uint8_t {
    accepted,
    unknown_database, // No route has that name.
    unknown_key,      // The key of no customer, on a route that is not public.
};

class relay_core {
public:
    relay_core(relay_ports& ports, relay_limits limits);

    // Replaces the configuration. A version that is not newer than the current one is ignored.
    void configure(documents::configuration next, core::time_point now);
    // `reports` lists all endpoints known now. Endpoints that are missing are dropped once unused.
    void on_endpoints_changed(const std::vector<registry::endpoint_report>& reports, core::time_point now);
    // Sets the number of hosts that share the connections of each database.
    void set_entry_host_count(std::uint32_t count) { m_limits.m_entry_hosts = std::max(1U, count); }
    // Whether the service has too few connections for each host to keep one of its own.
    [[nodiscard]] bool shares_connections(const core::service_name& service) const;
    // Whether connections belong to customers. All of them are lent then, because a host finds a connection
    // of the right customer among its own ones in only one to three cases of ten.
    [[nodiscard]] bool connections_by_customer() const { return m_configuration.m_customers.has_value(); }
    // Number of connections that all entry hosts together may use at one database of the service.
    [[nodiscard]] std::uint32_t usable_connections(const core::service_name& service) const;
    // Sets the endpoints whose connections are lent from now on, each with the number of connections that
    // this host keeps for itself. To all other endpoints it opens its own. The list may name endpoints that
    // on_endpoints_changed() has not listed yet.
    void set_lent_endpoints(const std::map<core::endpoint_id, std::uint32_t>& own_shares,
                            core::time_point now);

    // Whether a service of the configuration has primaries that are used only under a lease.
    [[nodiscard]] bool needs_primary_leases() const;
    // Replaces the endpoints that may be used as primaries, and the time when that ends.
    void set_primary_leases(const primary_leases::primary_list& primaries, core::deadline lease_end,
                            core::time_point now);

    session_admission on_session_opened(session_id id, const std::string& database,
                                        const std::optional<documents::key_digest>& key = std::nullopt);
    // The answer is sent by relay_ports::send_answer(), possibly before this function returns. Statements of
    // a session are answered in the order of arrival.
    void on_statement_received(session_id id, const session_statement& statement, core::time_point now);
    void on_session_closed(session_id id, core::time_point now);
    // Closes sessions without a statement or transaction in progress, at most `max_closed` of them, and marks
    // the others to be closed once theirs has ended. Returns the number of remaining sessions.
    std::size_t close_idle_sessions(std::size_t max_closed);
    // The host stops soon: aborts open transactions without a statement in progress, and from now on each
    // other one at its next statement unless that ends it. Other new work is refused as not run.
    void end_transactions(core::time_point now);
    // The host stops now: answers every statement in progress. Only what is known not to take effect is
    // refused as not run.
    void answer_all_statements(core::time_point now);

    void on_connection_opened(connection_id id, std::optional<core::history_position> position,
                              core::time_point now);
    // The answer belongs to the oldest request of the connection that is not answered.
    void on_answer_received(connection_id id, const database_answer& answer, core::time_point now);
    // `reason` is set if the database refused the connection, and empty if the connection broke.
    void on_connection_failed(connection_id id, std::optional<refusal> reason, core::time_point now);
    void on_connection_lent(connection_id id, const lending::loan_offer& offer, core::time_point now);
    void on_loan_refused(connection_id id, lending::loan_refusal reason, core::time_point now);
    // The lender or the connection to it was lost. This says nothing about the state of the endpoint.
    void on_loan_lost(connection_id id, const std::string& reason, core::time_point now);

    // Handles deadlines that have passed. To be called periodically.
    void tick(core::time_point now);

    // The request for shares of customers' limits to send now, or nothing.
    std::optional<quotas::quota_request> next_quota_request(core::time_point now) {
        return m_quotas.next_request(now);
    }
    // Returns false if the grant is out of date.
    bool on_quota_granted(const quotas::quota_grant& grant, core::time_point now);
    [[nodiscard]] const quotas::quota_holder& quota_shares() const { return m_quotas; }

    [[nodiscard]] bool configured() const { return m_configuration.m_version.value() > 0; }
    [[nodiscard]] documents::document_version version() const { return m_configuration.m_version; }
    [[nodiscard]] std::size_t session_count() const { return m_sessions.size(); }
    [[nodiscard]] std::size_t active_session_count() const { return m_active_sessions.size(); }
    [[nodiscard]] std::size_t connection_count() const { return m_connections.size(); }
    [[nodiscard]] const relay_counters& counters() const { return m_counters; }
    [[nodiscard]] std::vector<primary_observation> primary_observations(core::time_point now) const;

private:
    friend class test::relay_invariants;

    using statement_handler = void (relay_core::*)(session_id, session&, const session_statement&,
                                                   core::time_point);

    // relay_sessions.cpp: statements that need no database, transactions, answers to callers.
    void start_queued_statements(session_id id, core::time_point now);
    void start_statement(session_id id, session& caller, const session_statement& statement,
                         core::time_point now);
    void begin_transaction(session_id id, session& caller, const session_statement& statement,
                           core::time_point now);
    void end_transaction(session_id id, session& caller, const session_statement& statement,
                         core::time_point now);
    // Refuses the statement in progress if the host stops and the statement may not be started any more.
    // Returns whether it did.
    bool refuse_while_stopping(session_id id, session& caller, core::time_point now);
    void lose_transaction(session& caller, const std::string& reason, core::time_point now);
    void set_session_value(session_id id, session& caller, const session_statement& statement,
                           core::time_point now);
    void prepare_statement(session_id id, session& caller, const session_statement& statement,
                           core::time_point now);
    void deallocate_statement(session_id id, session& caller, const session_statement& statement,
                              core::time_point now);
    void run_statement(session_id id, session& caller, const session_statement& statement,
                       core::time_point now);
    // Accounts for an entry of the session's values or prepared statements that replaces another one or is
    // removed; empty sizes stand for no entry. Returns false, and changes nothing, if that would exceed a
    // limit.
    bool replace_entry_size(session& caller, std::optional<std::size_t> before,
                            std::optional<std::size_t> after);
    void remove_session(session_id id);
    // Whether a database could read the statement in progress, without a position, in one message.
    [[nodiscard]] bool fits_in_message(const session& caller) const;
    // Runs a read at the primary, which needs no position, if a position would make its message too long.
    void avoid_position_beyond_limit(session& caller);
    void reject_malformed(session_id id, session& caller, const session_statement& statement,
                          core::time_point now);
    void answer_locally(session_id id, session& caller, const session_statement& statement);
    void refuse_statement(session_id id, session& caller, refusal reason, const std::string& text,
                          core::time_point now);
    void finish_statement(session_id id, session& caller, session_answer answer, core::time_point now);
    void clear_transaction(session& caller);
    // The time by which the caller has to send the next statement of its transaction.
    [[nodiscard]] core::deadline idle_deadline(core::time_point now) const;

    // relay_customers.cpp: customers of sessions.
    struct caller_identity {
        std::optional<core::customer_name> m_customer;
    };
    // Whom a caller with this key works for; empty if its route does not accept the key.
    [[nodiscard]] std::optional<caller_identity>
    identify(bool route_is_public, const std::optional<documents::key_digest>& key) const;
    // Applies the keys of a new configuration to the open sessions.
    void check_identities(core::time_point now);
    // Returns whether the session's customer changed, or the session has to end.
    bool update_identity(session& caller, core::time_point now);
    void end_work_without_key(session_id id, session& caller, core::time_point now);
    void end_work_of_former_customer(session_id id, session& caller, core::time_point now);
    // Takes the token of the operation that the statement in progress belongs to. Returns false if there is
    // none yet, or if the statement was refused because the customer is over its limit.
    bool admit_operation(session_id id, session& caller, core::time_point now);
    // The operation of the session reached no database.
    void refund_operation(session& caller, core::time_point now);
    // Refuses the statement in progress of a session that has ended, and closes the session.
    void refuse_and_close(session_id id, session& caller, core::time_point now);

    // relay_dispatch.cpp: choice of endpoints and connections for statements.
    void dispatch(session_id id, core::time_point now);
    void dispatch_waiting(core::time_point now);
    [[nodiscard]] bool needs_primary(const session& caller, const documents::route_rule& route) const;
    // Empty if no known position covers what the caller must see. A probe is started in that case.
    std::optional<placement_request> request_of(const session& caller, const documents::route_rule& route,
                                                core::time_point now);
    // Sets the position that the endpoint must hold. Returns false if no known position covers what the
    // caller must see. A probe is started in that case.
    bool require_position(const session& caller, const documents::route_rule& route,
                          placement_request& request, core::time_point now);
    [[nodiscard]] std::optional<connection_id> find_idle_connection(const core::endpoint_id& endpoint,
                                                                    const session& caller) const;
    void prepare_connection(session& caller, connection_id conn_id, core::time_point now);
    struct preparation {
        std::vector<database_request> m_requests;
        std::vector<request_step> m_steps; // One for each request.
    };
    // Requests that have to precede the statement. Updates the record of the connection's state.
    preparation prepare_requests(session& caller, connection& conn, core::time_point now);
    void send_statement(session& caller, connection_id conn_id, core::time_point now);
    // The request that runs the statement in progress, without a position.
    static database_request statement_request(const session& caller);
    // Requests for the session values and prepared statements that the connection lacks. Updates the record
    // of the connection's state.
    static std::vector<database_request> missing_session_state(const session& caller, connection& conn);
    std::optional<std::pair<request_step, database_request>> transaction_start(const session& caller,
                                                                               core::time_point now);
    void mark_busy(connection& conn);
    void set_running(connection& conn, bool running);
    void start_probe(const core::service_name& service, core::time_point now);
    void send_requests(connection_id id, connection& conn, const std::vector<database_request>& requests,
                       const std::vector<request_step>& steps, core::time_point now);

    // relay_endpoints.cpp: connections that are kept open to endpoints.
    void preopen_connections(core::time_point now);
    void open_connections(const core::endpoint_id& endpoint, std::uint32_t requested, core::time_point now);
    // Number of connections to an endpoint that this host may keep open.
    [[nodiscard]] std::uint32_t connection_share(const core::service_name& service) const;
    [[nodiscard]] std::uint32_t connection_share(const endpoint_view& view) const;
    // Number of connections that this host may open while it needs them and other hosts leave them free.
    [[nodiscard]] std::uint32_t max_connections(const core::service_name& service) const;
    void close_extra_connections(core::time_point now);

    // Whether the connection's endpoint may be used as a primary.
    [[nodiscard]] bool may_use_primary(const connection& conn, core::time_point now) const;
    // Sets which endpoints are lent.
    void apply_lent_endpoints();
    // Sets which endpoints need a lease, by the configuration, and which ones have it.
    void apply_primary_leases();

    // relay_loans.cpp: connections that other hosts lend.
    void borrow_connection(session_id id, session& caller, const documents::route_rule& route,
                           const core::endpoint_id& endpoint, core::time_point now);
    void borrow_for_probe(const endpoint_view& primary, core::time_point now);
    connection_id add_loan(const core::endpoint_id& endpoint, core::time_point now);
    // Cancels the loan that the statement in progress waits for, if any.
    void cancel_loan(session& caller);
    void use_loan(connection_id id, core::time_point now);

    // relay_answers.cpp: handling of answers.
    void on_preparation_answered(connection_id id, request_step step, const database_answer& answer,
                                 core::time_point now);
    void on_statement_answered(connection_id id, const expected_answer& expected,
                               const database_answer& answer, core::time_point now);
    // Reports a commit as in doubt whose answer arrived after the primary lease had ended: another endpoint
    // may have been promoted before it ran.
    void refuse_late_commit(session_id owner, connection_id id, core::time_point now);
    void on_statement_succeeded(session_id owner, connection_id id, const expected_answer& expected,
                                const database_answer& answer, core::time_point now);
    void on_statement_refused(session_id owner, connection_id id, const database_answer& answer,
                              core::time_point now);
    // The database did not run the statement, because it does not hold a prepared statement that the record
    // of the connection lists. The record is not reliable any more, so the connection is closed.
    void on_unknown_statement(session_id owner, connection_id id, const std::string& text,
                              core::time_point now);
    // Returns false if the statement was refused instead of repeated.
    bool retry_or_refuse(session_id owner, session& caller, refusal reason, const std::string& text,
                         core::time_point now);
    void record_answer_time(const session& caller, core::duration taken);
    void record_refusal(const core::endpoint_id& endpoint, refusal reason, core::time_point now);
    void update_from_answer(const connection& conn, const expected_answer& expected,
                            const database_answer& answer, core::time_point now);

    // relay_connections.cpp: opening, loss and return of connections.
    void record_failure(const core::endpoint_id& endpoint, core::time_point now);
    enum class failure_source : std::uint8_t { endpoint, lender };
    void handle_lost_connection(connection_id id, const std::string& reason, core::time_point now,
                                failure_source source = failure_source::endpoint);
    void handle_loss_for_session(session_id owner, const std::string& reason, core::time_point now);
    void release_connection(connection_id id, core::time_point now);
    [[nodiscard]] bool keeps_too_much_state(const connection& conn) const;
    // Rolls back the open transaction of the connection.
    void roll_back(connection_id id, core::time_point now);
    void return_connection(connection_id id, bool in_transaction);
    void detach_connection(session& caller, core::time_point now);
    void remove_connection(connection_id id);

    // relay_ticks.cpp: handling of deadlines.
    void check_connection(connection_id id, core::time_point now);
    void check_session(session_id id, core::time_point now);
    // Takes a token if the budget allows one more hedged read; returns false otherwise.
    bool take_hedge_token();
    void hedge_read(session_id id, session& caller, core::time_point now);

    [[nodiscard]] const documents::route_rule* route_of(const session& caller) const;
    void record_event(const char* action, const session& caller, const std::string& endpoint,
                      const std::string& reason, core::time_point now);

    enum class stop_stage : std::uint8_t {
        running,
        ending_transactions, // Transactions may only end, and no other work starts.
        ended,               // No statement runs.
    };

    relay_ports& m_ports;
    relay_limits m_limits;
    stop_stage m_stop_stage = stop_stage::running;
    documents::configuration m_configuration;
    std::uint32_t m_lowest_priority = 0; // Largest priority number of all routes.
    statement_catalog m_statements;      // Declared before the sessions and connections that refer to it.
    std::unordered_map<session_id, session> m_sessions;
    std::set<session_id> m_active_sessions; // Sessions with a statement or transaction in progress.
    std::map<connection_id, connection> m_connections;
    endpoint_views m_endpoints;
    std::map<core::endpoint_id, std::uint32_t> m_own_shares; // Of the lent endpoints, also of future ones.
    std::map<core::service_name, position_samples> m_position_samples;
    std::size_t m_session_state_bytes = 0;                // Sum of session::m_state_bytes.
    std::map<core::service_name, connection_id> m_probes; // Connections with a probe in progress.
    std::uint64_t m_last_connection = 0;
    // Expected run time of a statement, by the database name of its route.
    std::map<std::string, double> m_expected_ms;
    primary_leases::primary_list m_leased_primaries;
    core::deadline m_primary_lease_end;
    double m_hedge_tokens = 0.0; // Number of hedged reads that may be started now.
    quotas::quota_holder m_quotas;
    relay_counters m_counters;
};

} // namespace mangoquay::relay
