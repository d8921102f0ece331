// A world around the relay core for property tests: databases with a replicated log, links that lose and
// delay, callers that read and write. Time is simulated; all choices come from one seed.
//
// It checks, from what callers and databases see, that nothing acknowledged is missing from a read, that no
// write takes effect twice or despite a refusal that promised otherwise, and that statements stay in their
// own transactions and session values.
#pragma once

#include "relay/relay_core.h"
#include "support/lending_simulation.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mangoquay::test {

// Rules of the relay that the world breaks on purpose, to show that its checks notice.
struct planted_faults {
    bool m_drop_positions = false;         // reads carry no least position
    bool m_drop_fences = false;            // a begin is answered without reaching the database
    bool m_drop_values = false;            // session values are not set on the link
    bool m_promise_lost_writes = false;    // "in doubt" is told as "busy"
    bool m_cross_answers = false;          // a link gives its answer to another session's statement
    bool m_keep_lent_values = false;       // a lent link is given back with another session's values
    bool m_keep_lent_transactions = false; // a lent link is given back with an open transaction
};

struct relay_world_options {
    std::uint64_t m_seed = 1;
    int m_operations = 150;
    bool m_promotions = true;
    bool m_link_faults = true;
    bool m_lag = true;
    std::uint32_t m_databases = 3;
    std::uint32_t m_connections = 30; // a database, before one entry host
    bool m_lent_links = false;        // every link is borrowed from one of two other hosts
    planted_faults m_planted;
};

class relay_world final : private relay::relay_ports {
public:
    explicit relay_world(relay_world_options options);
    ~relay_world() override;
    relay_world(const relay_world&) = delete;
    relay_world& operator=(const relay_world&) = delete;
    relay_world(relay_world&&) = delete;
    relay_world& operator=(relay_world&&) = delete;

    void run();
    // The first rule that was broken, or empty.
    [[nodiscard]] const std::string& violation() const { return m_violation; }
    [[nodiscard]] std::size_t succeeded() const { return m_succeeded; }

private:
    struct commit {
        std::uint64_t m_attempt = 0;
        std::uint32_t m_term = 0;
    };
    struct database {
        registry::endpoint_report m_report;
        std::vector<commit> m_log;
        std::uint32_t m_term = 1; // of the log that it follows or leads
        bool m_leads = false;
        std::int64_t m_lag_ms = 60;
    };
    struct server_session {
        std::size_t m_database = 0;
        bool m_gone = false;   // the connection broke
        bool m_silent = false; // answers get lost from now on
        std::map<std::string, std::string> m_values;
        std::map<std::string, std::string> m_prepared;
        bool m_in_transaction = false;
        bool m_plain = false;
        bool m_failed = false;
        std::uint32_t m_begun_term = 0;
        std::uint64_t m_attempt = 0; // of the statements of the transaction
        std::vector<std::uint64_t> m_writes;
        core::time_point m_free_at{}; // answers leave in order
    };
    struct acknowledged {
        std::uint64_t m_attempt = 0;
        std::uint64_t m_session = 0;
        core::time_point m_at{};
    };
    struct caller {
        std::size_t m_route = 0;
        std::map<std::string, std::string> m_values;
        std::vector<relay::session_statement> m_script; // of the operation in progress
        std::size_t m_next = 0;
        std::uint64_t m_attempt = 0;
        bool m_writes = false;
        bool m_transaction = false;
        core::time_point m_started{};
        bool m_waiting = false;
    };

    void answer(relay::session_id session, const relay::session_answer& answer) override;
    void close_session(relay::session_id session) override;
    void open_link(relay::link_id link, const registry::endpoint_report& target) override;
    void send(relay::link_id link, const std::vector<relay::database_request>& requests) override;
    void close_link(relay::link_id link) override;
    void borrow_link(relay::link_id link, const core::endpoint_id& endpoint, const lending::loan_terms& terms,
                     const std::vector<relay::database_request>& first_work) override;
    void give_back(relay::link_id link, const lending::returned_state& remains) override;
    void record(const relay::relay_event&) override {}
    void count(const relay::answered_statement&) override {}

    // Of a connection to a database, for its user.
    void connect(relay::link_id link, const registry::endpoint_report& target);
    void send_to_database(relay::link_id link, const std::vector<relay::database_request>& requests);
    void disconnect(relay::link_id link);
    void database_failed(relay::link_id link);

    void at(core::duration delay, std::function<void()> work);
    [[nodiscard]] std::uint64_t draw(std::uint64_t below);
    [[nodiscard]] bool chance(std::uint64_t percent) { return draw(100) < percent; }
    void violate(const std::string& what);

    void start_operation(std::uint64_t session);
    void send_next(std::uint64_t session);
    void operation_ended(std::uint64_t session);
    void disturb();
    void promote();
    void replicate();
    void announce();

    relay::database_answer execute(server_session& session, const relay::database_request& request);
    relay::database_answer execute_statement(server_session& session, const relay::database_request& request,
                                             const std::string& text, relay::database_answer base);
    void check_place(const server_session& session, std::uint64_t attempt);
    void check_read(const server_session& session, std::uint64_t attempt);
    [[nodiscard]] bool holds(const database& one, const core::history_position& position) const;
    [[nodiscard]] core::history_position position_of(const database& one);

    relay_world_options m_options;
    std::mt19937_64 m_random;
    core::time_point m_now{std::chrono::hours(1)};
    using event = std::pair<core::time_point, std::uint64_t>;
    std::map<event, std::function<void()>> m_events;
    std::uint64_t m_event_number = 0;
    std::unique_ptr<relay::relay_core> m_core;
    std::unique_ptr<lending_simulation> m_lending; // set when links are lent
    std::vector<database> m_databases;
    std::map<core::history_position, std::uint64_t> m_last_commit; // before a position, its attempt
    std::map<relay::link_id, std::shared_ptr<server_session>> m_links;
    std::map<std::uint64_t, caller> m_callers;
    std::vector<acknowledged> m_acknowledged;
    std::set<std::uint64_t> m_rolled_back;    // attempts whose commit a promotion discarded
    std::map<std::uint64_t, int> m_committed; // attempts, how often
    std::set<std::uint64_t> m_promised;       // attempts that were told that nothing is kept
    std::uint64_t m_last_attempt = 0;
    std::uint64_t m_last_session = 0;
    std::map<std::uint64_t, std::uint64_t> m_session_of; // attempt
    std::size_t m_succeeded = 0;
    int m_operations_left = 0;
    std::string m_violation;
};

} // namespace mangoquay::test
