// Carries statements of callers' sessions to databases and their answers back.
//
// Decides: which endpoint runs a statement, on which link, after which preparation; what is repeated and what
// the caller is told. Owns: sessions, links, what this host has learnt about endpoints. Deterministic: no
// socket, clock or log; it acts through relay_ports, whose functions must not call back.
//
// Safety rules:
// - a read on a `latest` route runs inside a plain transaction, which an endpoint that lost the lead refuses;
// - any other read carries a position that covers what its caller must see;
// - a refusal that promises "not run" is given only when no single write and no commit of the attempt was
// sent,
//   or the database itself said that it did not run;
// - an answer belongs to the statement at the head of its link's queue; a link with an answer missing is
// closed,
//   never reused.
#pragma once

#include "documents/configuration.h"
#include "lending/loan.h"
#include "relay/freshness.h"
#include "relay/link.h"
#include "relay/placement.h"
#include "relay/session.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace mangoquay::relay {

// A decision that touches a caller's statement, for the log.
struct relay_event {
    const char* m_what = "";
    std::string m_request;
    std::string m_endpoint;
    std::string m_reason;
    std::int64_t m_age_ms = 0; // since the statement arrived
    std::uint32_t m_attempts = 0;
};

// A statement that the caller has its answer to.
struct answered_statement {
    documents::consistency m_consistency = documents::consistency::latest;
    std::optional<refusal> m_refusal;
    core::duration m_taken{};
};

class relay_ports {
public:
    relay_ports() = default;
    virtual ~relay_ports() = default;
    relay_ports(const relay_ports&) = delete;
    relay_ports& operator=(const relay_ports&) = delete;
    relay_ports(relay_ports&&) = delete;
    relay_ports& operator=(relay_ports&&) = delete;

    virtual void answer(session_id session, const session_answer& answer) = 0;
    virtual void close_session(session_id session) = 0;
    // Answered by link_opened() or link_failed().
    virtual void open_link(link_id link, const registry::endpoint_report& target) = 0;
    // Asks a host that keeps connections to the endpoint for one. Answered by link_lent() or loan_refused();
    // a link that was lent ends by loan_lost() or link_failed().
    // `first_work` is sent as soon as the link is lent.
    virtual void borrow_link(link_id link, const core::endpoint_id& endpoint,
                             const lending::loan_terms& terms,
                             const std::vector<database_request>& first_work) = 0;
    // Of a link that was lent. No event of the link follows.
    virtual void give_back(link_id link, const lending::returned_state& remains) = 0;
    virtual void send(link_id link, const std::vector<database_request>& requests) = 0;
    // No event of the link follows.
    virtual void close_link(link_id link) = 0;
    virtual void record(const relay_event& event) = 0;
    // For metrics.
    virtual void count(const answered_statement& statement) = 0;
};

// Rules that a replay of a recorded load switches off to show what each is worth; all on in the program.
struct relay_rules {
    bool m_shorter_first = true; // kinds of work that take less time go first at equal priority
    bool m_adapt_window = true;  // fewer statements at an endpoint whose answers are slow
    bool m_extra_links = true;   // more links than the host's share while its work needs them
};

struct relay_limits {
    core::availability_zone m_zone;
    // Kept free at each database for control hosts and for hosts that are just starting.
    std::uint32_t m_reserved_connections = 3;
    std::uint32_t m_entry_hosts = 8; // that share the connections, until control hosts say how many there are
    relay_rules m_rules;
};

struct relay_counters {
    std::uint64_t m_statements = 0;
    std::uint64_t m_succeeded = 0;
    std::uint64_t m_refused = 0;   // with the promise that nothing ran
    std::uint64_t m_uncertain = 0; // without
    std::uint64_t m_repeated = 0;  // attempts after the first
    std::uint64_t m_probes = 0;    // for the primary's position
    std::uint64_t m_links_opened = 0;
    std::uint64_t m_links_borrowed = 0;
    std::uint64_t m_replica_reads = 0;
    std::uint64_t m_primary_reads = 0;
};

// What this host saw of a service's primary, for the control hosts.
struct primary_sighting {
    core::endpoint_id m_endpoint;
    bool m_answered = false; // within the last second or so
    bool m_failing = false;  // links fail and none has answered since
};

class relay_core {
public:
    relay_core(relay_ports& ports, relay_limits limits);

    void configure(documents::configuration next, core::time_point now);
    void endpoints_changed(const std::vector<registry::endpoint_report>& listed, core::time_point now);
    void entry_hosts_counted(std::uint32_t count) { m_limits.m_entry_hosts = std::max(1U, count); }
    // Whether the service's connections are too few for each host to keep its own.
    [[nodiscard]] bool shares_links(const core::service_name& service) const;
    // Connections of one of its databases that entry hosts may use together.
    [[nodiscard]] std::uint32_t usable_connections(const core::service_name& service) const;
    // The endpoints whose links are lent from now on, with the links that this host keeps itself. It opens
    // its own to all others.
    void lent_endpoints(const std::map<core::endpoint_id, std::uint32_t>& kept, core::time_point now);

    // False: no route has that name.
    bool session_opened(session_id id, const std::string& database);
    void statement_received(session_id id, const session_statement& statement, core::time_point now);
    void session_closed(session_id id, core::time_point now);
    // Closes sessions without a statement or transaction in progress, at most `most` of them, and marks the
    // others to be closed when theirs has ended. Returns how many sessions are left.
    std::size_t close_idle_sessions(std::size_t most);
    // Ends open transactions that have no statement in progress.
    void abort_idle_transactions(core::time_point now);

    void link_opened(link_id id, std::optional<core::history_position> position, core::time_point now);
    void link_answered(link_id id, const database_answer& answer, core::time_point now);
    // `reason` tells a refused connection from one that broke.
    void link_failed(link_id id, std::optional<refusal> reason, core::time_point now);
    void link_lent(link_id id, const lending::loan_offer& offer, core::time_point now);
    void loan_refused(link_id id, lending::loan_refusal reason, core::time_point now);
    // Its lender or the lender's connection is gone, which says nothing about the endpoint.
    void loan_lost(link_id id, const std::string& reason, core::time_point now);

    void tick(core::time_point now);

    [[nodiscard]] bool configured() const { return m_configuration.m_version.value() > 0; }
    [[nodiscard]] documents::document_version version() const { return m_configuration.m_version; }
    [[nodiscard]] std::size_t sessions() const { return m_sessions.size(); }
    [[nodiscard]] std::size_t active() const { return m_active.size(); }
    [[nodiscard]] std::size_t links() const { return m_links.size(); }
    [[nodiscard]] const relay_counters& counters() const { return m_counters; }
    [[nodiscard]] std::vector<primary_sighting> sightings(core::time_point now) const;

private:
    using statement_handler = void (relay_core::*)(session_id, session&, const session_statement&,
                                                   core::time_point);

    // relay_sessions.cpp: statements that need no database, transactions, answers to callers.
    void start_next(session_id id, core::time_point now);
    void start(session_id id, session& caller, const session_statement& statement, core::time_point now);
    void begin(session_id id, session& caller, const session_statement& statement, core::time_point now);
    void end_transaction(session_id id, session& caller, const session_statement& statement,
                         core::time_point now);
    void set_value(session_id id, session& caller, const session_statement& statement, core::time_point now);
    void prepare(session_id id, session& caller, const session_statement& statement, core::time_point now);
    void deallocate(session_id id, session& caller, const session_statement& statement, core::time_point now);
    void run(session_id id, session& caller, const session_statement& statement, core::time_point now);
    void reject_malformed(session_id id, session& caller, const session_statement& statement,
                          core::time_point now);
    void succeed_locally(session_id id, session& caller, const session_statement& statement);
    void refuse(session_id id, session& caller, refusal reason, const std::string& text,
                core::time_point now);
    void finish(session_id id, session& caller, session_answer answer, core::time_point now);
    void leave_transaction(session& caller);
    // Of a transaction that waits for its caller from now on.
    [[nodiscard]] core::deadline idle_limit(core::time_point now) const;

    // relay_dispatch.cpp: endpoints and links for statements.
    void dispatch(session_id id, core::time_point now);
    void dispatch_waiting(core::time_point now);
    [[nodiscard]] bool needs_primary(const session& caller, const documents::route_rule& route) const;
    // Nothing when what the caller must see cannot be proven now; a probe was started then.
    std::optional<placement_request> request_of(const session& caller, const documents::route_rule& route,
                                                core::time_point now);
    // False: not provable now; a probe was started.
    bool require_position(const session& caller, const documents::route_rule& route,
                          placement_request& request, core::time_point now);
    [[nodiscard]] std::optional<link_id> take_link(const core::endpoint_id& endpoint,
                                                   const session& caller) const;
    void prepare_link(session& caller, link_id number, core::time_point now);
    struct preparation {
        std::vector<database_request> m_requests;
        std::vector<link_step> m_steps; // one each
    };
    // What has to come before the statement; the link's record is updated.
    preparation preparation_of(session& caller, link& on, core::time_point now);
    void send_statement(session& caller, link_id number, core::time_point now);
    // What the link lacks of the session's values and prepared statements; the link's record is updated.
    static std::vector<database_request> missing_values(const session& caller, link& on);
    std::optional<std::pair<link_step, database_request>> transaction_start(const session& caller,
                                                                            core::time_point now);
    void occupy(link& on);
    void set_running(link& on, bool running);
    void start_probe(const core::service_name& service, core::time_point now);
    void send(link_id id, link& on, const std::vector<database_request>& requests,
              const std::vector<link_step>& steps, core::time_point now);

    // relay_endpoints.cpp: links that are kept to endpoints.
    void open_links_ahead(core::time_point now);
    void open_links(const core::endpoint_id& endpoint, std::uint32_t wanted, core::time_point now);
    // Links to an endpoint that this host may keep open.
    [[nodiscard]] std::uint32_t links_kept(const core::service_name& service) const;
    [[nodiscard]] std::uint32_t links_kept(const endpoint_view& view) const;
    // Links that it may open while its work needs them and others leave them free.
    [[nodiscard]] std::uint32_t links_allowed(const core::service_name& service) const;
    void close_extra_links(core::time_point now);

    // relay_loans.cpp: links that other hosts lend.
    void borrow(session_id id, session& caller, const documents::route_rule& route,
                const core::endpoint_id& endpoint, core::time_point now);
    void borrow_for_probe(const endpoint_view& primary, core::time_point now);
    link_id add_loan(const core::endpoint_id& endpoint, core::time_point now);
    // Of a statement that does not wait for one any more.
    void cancel_loan(session& caller);
    void use_loan(link_id id, core::time_point now);

    // relay_answers.cpp: what answers mean.
    void preparation_answered(link_id id, link_step step, const database_answer& answer,
                              core::time_point now);
    void statement_answered(link_id id, const expected_answer& expected, const database_answer& answer,
                            core::time_point now);
    void statement_succeeded(session_id owner, link_id id, const expected_answer& expected,
                             const database_answer& answer, core::time_point now);
    void statement_refused(session_id owner, link_id id, const database_answer& answer, core::time_point now);
    // False: the caller was refused instead.
    bool repeat(session_id owner, session& caller, refusal reason, const std::string& text,
                core::time_point now);
    void note_answer_time(const session& caller, core::duration taken);
    void note_refusal(const core::endpoint_id& endpoint, refusal reason, core::time_point now);
    void observe(const link& on, const expected_answer& expected, const database_answer& answer,
                 core::time_point now);

    // relay_links.cpp: losing and giving back of links.
    void note_failure(const core::endpoint_id& endpoint, core::time_point now);
    enum class blame : std::uint8_t { endpoint, lender };
    void lose_link(link_id id, const std::string& reason, core::time_point now,
                   blame blamed = blame::endpoint);
    void link_lost_by(session_id owner, const std::string& reason, core::time_point now);
    void release(link_id id, core::time_point now);
    // Of a link with an open transaction of which nothing is to be kept.
    void roll_back(link_id id, core::time_point now);
    void give_back(link_id id, bool in_transaction);
    void detach(session& caller, core::time_point now);
    void drop_link(link_id id);

    // relay_ticks.cpp: limits that pass.
    void check_link(link_id id, core::time_point now);
    void check_session(session_id id, core::time_point now);
    // Whether the budget allows one more read to run twice.
    bool take_hedge();
    void hedge(session_id id, session& caller, core::time_point now);

    [[nodiscard]] const documents::route_rule* route_of(const session& caller) const;
    void record(const char* what, const session& caller, const std::string& endpoint,
                const std::string& reason, core::time_point now);

    relay_ports& m_ports;
    relay_limits m_limits;
    documents::configuration m_configuration;
    std::uint32_t m_least_priority = 0; // the largest number among the routes
    std::unordered_map<session_id, session> m_sessions;
    std::set<session_id> m_active; // sessions with a statement or transaction in progress
    std::map<link_id, link> m_links;
    endpoint_views m_endpoints;
    std::map<core::service_name, freshness> m_freshness;
    std::map<core::service_name, link_id> m_probes; // in progress
    std::uint64_t m_last_link = 0;
    std::map<std::string, double> m_expected_ms; // of a statement, by the name of its route's database
    double m_hedges = 0.0;                       // that may be started now
    relay_counters m_counters;
};

// The name under which a shape is prepared on every link, whatever its callers call it.
std::string prepared_name(const prepared_statement& statement);

} // namespace mangoquay::relay
