// Guards against more connections than an endpoint allows, a connection lent to two users or after its
// session ended, and load peaks that find too few open connections. Injected faults verify that the
// checks detect these violations.
#include "pooling/connection_pool.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <random>
#include <set>
#include <string>

using namespace mangoquay;
using namespace std::chrono_literals;
using pooling::connection_number;
using pooling::connection_pool;
using pooling::pool_policy;
using pooling::pool_rules;

namespace {

class pool_simulation {
public:
    pool_simulation(std::uint64_t seed, const pool_rules& rules)
        : m_random(seed), m_policy{1 + m_random() % 12, m_random() % 8, 12ms, 200ms},
          m_pool(m_policy, rules) {}

    std::string run() {
        for (int step = 0; step < 300 && m_violation.empty(); ++step) {
            m_now += core::milliseconds(m_random() % 20);
            m_pool.record_demand(m_random() % 15, m_now);
            for (const auto number : m_pool.plan(m_now).m_open) {
                m_opening.insert(number);
            }
            apply_random_event();
            if (m_pool.total() > m_policy.m_limit) {
                m_violation = "more connections than the limit";
            }
        }
        return m_violation;
    }

private:
    connection_number take_random(std::set<connection_number>& from) {
        const auto number = *std::next(from.begin(), static_cast<long>(m_random() % from.size()));
        from.erase(number);
        return number;
    }

    void apply_random_event() {
        const auto event = m_random() % 6;
        if (event <= 1 && !m_opening.empty()) {
            const auto number = take_random(m_opening);
            m_random() % 4 == 0 ? m_pool.on_open_failed(number, m_now) : m_pool.on_opened(number, m_now);
        } else if (event == 2) {
            if (const auto number = m_pool.lend()) {
                const bool valid = m_lent.insert(*number).second && !m_ended.contains(*number);
                m_violation = valid ? "" : "a connection was lent twice or after it ended";
            }
        } else if (event == 3 && !m_lent.empty()) {
            m_pool.return_connection(take_random(m_lent), m_now);
        } else if (event == 4 && !m_lent.empty()) {
            const auto number = take_random(m_lent);
            m_ended.insert(number);
            m_pool.close_and_linger(number);
            m_pool.return_connection(number, m_now); // Must not make it idle again.
            if (m_random() % 2 == 0) {
                m_pool.on_session_ended(number);
            }
        } else if (event == 5 && m_pool.idle() > 0) {
            // The server ended an idle session.
            const auto number = m_pool.lend();
            m_pool.return_connection(*number, m_now);
            m_ended.insert(*number);
            m_pool.on_session_ended(*number);
        }
    }

    std::mt19937_64 m_random;
    pool_policy m_policy;
    connection_pool m_pool;
    core::time_point m_now{1s};
    std::set<connection_number> m_opening;
    std::set<connection_number> m_lent;
    std::set<connection_number> m_ended;
    std::string m_violation;
};

bool some_seed_violates(const pool_rules& rules) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        try {
            if (!pool_simulation(seed, rules).run().empty()) {
                return true;
            }
        } catch (const std::out_of_range&) {
            return true; // The pool lent a connection that it no longer holds.
        }
    }
    return false;
}

// Number of 1 ms steps, in a linear rise from 0 to 20 users within 200 ms, with fewer open connections than
// users.
int steps_without_enough_connections(const pool_rules& rules) {
    connection_pool pool({30, 2, 12ms, 10s}, rules);
    core::time_point now{1s};
    std::set<std::pair<core::time_point, connection_number>> opening;
    int steps_without_enough = 0;
    for (int step = 0; step < 200; ++step) {
        now += 1ms;
        while (!opening.empty() && opening.begin()->first <= now) {
            pool.on_opened(opening.begin()->second, now);
            opening.erase(opening.begin());
        }
        const auto users = static_cast<std::size_t>(step / 10);
        pool.record_demand(users, now);
        for (const auto number : pool.plan(now).m_open) {
            opening.emplace(now + 12ms, number);
        }
        steps_without_enough += pool.idle() < users ? 1 : 0;
    }
    return steps_without_enough;
}

} // namespace

class connection_pool_rules : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(connection_pool_rules);
    CPPUNIT_TEST(invariants_hold);
    CPPUNIT_TEST(injected_faults_are_detected);
    CPPUNIT_TEST(rising_demand_finds_open_connections);
    CPPUNIT_TEST(idle_connections_are_closed_after_a_peak);
    CPPUNIT_TEST_SUITE_END();

public:
    void invariants_hold() {
        CPPUNIT_ASSERT(rc::check("connection pool invariants", [](std::uint64_t seed) {
            const std::string violated = pool_simulation(seed, {}).run();
            if (!violated.empty()) {
                RC_FAIL(violated);
            }
        }));
    }

    void injected_faults_are_detected() {
        pool_rules no_limit;
        no_limit.m_enforce_limit = false;
        CPPUNIT_ASSERT(some_seed_violates(no_limit));
        pool_rules keep_ended;
        keep_ended.m_remove_ended = false;
        CPPUNIT_ASSERT(some_seed_violates(keep_ended));
    }

    void rising_demand_finds_open_connections() {
        pool_rules no_forecast;
        no_forecast.m_forecast = false;
        const int with = steps_without_enough_connections({});
        const int without = steps_without_enough_connections(no_forecast);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(with) + " of 200 against " + std::to_string(without),
                               with * 4 < without);
    }

    void idle_connections_are_closed_after_a_peak() {
        connection_pool pool({30, 2, 12ms, 1s});
        core::time_point now{1s};
        pool.record_demand(20, now);
        for (const auto number : pool.plan(now).m_open) {
            pool.on_opened(number, now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, pool.idle());
        for (int second = 0; second < 100; ++second) {
            now += 1s;
            pool.record_demand(0, now);
            pool.plan(now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, pool.total());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_pool_rules);
