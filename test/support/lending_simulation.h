// Simulates lenders and a borrower between a relay core and simulated databases: messages between hosts are
// delayed and lost, and lenders are disconnected. The ids of the lenders' connections are disjoint from those
// of the relay core's own connections.
#pragma once

#include "lending/borrower.h"
#include "lending/lender.h"
#include "relay/relay_core.h"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace mangoquay::test {

struct lending_faults {
    bool m_lose_messages = false;
    bool m_late_messages = false;   // Some messages arrive seconds late.
    bool m_differing_lists = false; // Hosts disagree about which databases are lent by whom.
    // Injected faults: connections are returned as if they had no session values, or no open transaction.
    bool m_hide_session_values = false;
    bool m_hide_open_transaction = false;
};

// Access to simulated time, randomness and databases.
struct lending_environment {
    std::function<void(core::duration, std::function<void()>)> m_schedule;
    std::function<void(std::function<void()>)> m_post;    // Runs an action on the borrower's host later.
    std::function<void(std::function<void()>)> m_on_host; // Runs it at once unless the host is paused.
    std::function<core::time_point()> m_now;
    std::function<std::uint64_t(std::uint64_t)> m_random_below;
    std::function<void(relay::connection_id, const registry::endpoint_report&)> m_open_connection;
    std::function<void(relay::connection_id, const std::vector<relay::database_request>&)> m_send_requests;
    std::function<void(relay::connection_id)> m_close_connection;
};

class lending_simulation {
public:
    lending_simulation(lending_environment environment, lending_faults faults);
    ~lending_simulation();
    lending_simulation(const lending_simulation&) = delete;
    lending_simulation& operator=(const lending_simulation&) = delete;
    lending_simulation(lending_simulation&&) = delete;
    lending_simulation& operator=(lending_simulation&&) = delete;

    void set_core(relay::relay_core& core);
    // Lends the connections of all `listed` databases, by two lenders.
    void announce_endpoints(const std::vector<registry::endpoint_report>& listed);
    void tick(bool borrower_runs);
    void disconnect_random_lender();
    // The lender's process ends and another starts at its address. The borrower is told within seconds.
    void restart_random_lender();
    // As above, for the borrower's process.
    void restart_borrower();

    void borrow(relay::connection_id connection, const core::endpoint_id& endpoint,
                const lending::loan_terms& terms,
                const std::vector<relay::database_request>& initial_requests);
    void return_connection(relay::connection_id connection, const lending::returned_state& state);
    // Both return false if the connection is not borrowed.
    bool send(relay::connection_id connection, const std::vector<relay::database_request>& requests);
    bool close(relay::connection_id connection);

    // Whether a lender opened the connection.
    static bool is_lender_connection(relay::connection_id connection);
    void on_connection_opened(relay::connection_id connection,
                              std::optional<core::history_position> position);
    void on_connection_answered(relay::connection_id connection, const relay::database_answer& answer);
    void on_connection_failed(relay::connection_id connection);

private:
    class lender_host;
    class borrower_host;

    [[nodiscard]] lender_host* owner_of(relay::connection_id connection) const;
    lender_host& host_of(const core::entry_host_id& lender);
    void announce_to(lender_host& lender);

    // Calls the handler after the message delay between two hosts, in sending order. Some messages are lost.
    void deliver(const core::entry_host_id& lender, std::function<void()> handler);

    lending_environment m_environment;
    lending_faults m_faults;
    relay::relay_core* m_core = nullptr;
    std::vector<registry::endpoint_report> m_listed;
    std::vector<std::unique_ptr<lender_host>> m_lenders;
    std::unique_ptr<borrower_host> m_borrower;
    std::map<core::entry_host_id, core::time_point> m_last_arrival;
};

} // namespace mangoquay::test
