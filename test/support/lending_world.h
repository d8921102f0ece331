// The lender and borrower cores between a relay core and simulated databases: messages between hosts take
// time, get lost and cut off lenders. Links of lenders are numbered apart from the relay core's own.
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
    // Planted: links are given back as if they held no session values, or no open transaction.
    bool m_keep_values = false;
    bool m_keep_transactions = false;
};

// How the world around reaches databases and time.
struct lending_surroundings {
    std::function<void(core::duration, std::function<void()>)> m_after;
    std::function<core::time_point()> m_now;
    std::function<std::uint64_t(std::uint64_t)> m_draw;
    std::function<void(relay::connection_id, const registry::endpoint_report&)> m_open;
    std::function<void(relay::connection_id, const std::vector<relay::database_request>&)> m_send;
    std::function<void(relay::connection_id)> m_close;
};

class lending_world {
public:
    lending_world(lending_surroundings around, lending_faults faults);
    ~lending_world();
    lending_world(const lending_world&) = delete;
    lending_world& operator=(const lending_world&) = delete;
    lending_world(lending_world&&) = delete;
    lending_world& operator=(lending_world&&) = delete;

    void use(relay::relay_core& core);
    // All databases are lent, by two lenders.
    void announce(const std::vector<registry::endpoint_report>& listed);
    void tick();
    void lose_a_lender();

    void borrow(relay::connection_id link, const core::endpoint_id& endpoint,
                const lending::loan_terms& terms, const std::vector<relay::database_request>& first_work);
    void give_back(relay::connection_id link, const lending::link_remains& remains);
    // False: not a borrowed link.
    bool send(relay::connection_id link, const std::vector<relay::database_request>& requests);
    bool close(relay::connection_id link);

    // Of a link that a lender opened.
    static bool is_lenders(relay::connection_id link);
    void database_opened(relay::connection_id link, std::optional<core::history_position> position);
    void database_answered(relay::connection_id link, const relay::database_answer& answer);
    void database_failed(relay::connection_id link);

private:
    class lender_host;
    class borrower_host;

    // After the way between two hosts; in the order of sending, some are lost.
    void deliver(const core::entry_host_id& lender, std::function<void()> work);

    lending_surroundings m_around;
    lending_faults m_faults;
    relay::relay_core* m_core = nullptr;
    std::vector<std::unique_ptr<lender_host>> m_lenders;
    std::unique_ptr<borrower_host> m_borrower;
    std::map<core::entry_host_id, core::time_point> m_last_arrival;
};

} // namespace mangoquay::test
