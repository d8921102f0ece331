// Guards against overlapping steps of one transaction, steps by another caller or from another entry host,
// and transactions that never expire.
#include "transactions/open_transactions.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using namespace std::chrono_literals;
using core::reason;
using transactions::open_transactions;

class open_transaction_rules : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(open_transaction_rules);
    CPPUNIT_TEST(steps_run_one_at_a_time_for_their_caller);
    CPPUNIT_TEST(idle_and_old_transactions_expire);
    CPPUNIT_TEST_SUITE_END();

    const core::transaction_id m_id{"t"};
    const transactions::transaction_origin m_origin{core::service_name("s"), core::caller_id("c"),
                                                    core::entry_host_id("e")};
    const core::time_point m_start{1s};

public:
    void steps_run_one_at_a_time_for_their_caller() {
        open_transactions table;
        CPPUNIT_ASSERT(table.open(m_id, m_origin, m_start));
        CPPUNIT_ASSERT(!table.open(m_id, m_origin, m_start));
        auto other_caller = m_origin;
        other_caller.m_caller = core::caller_id("other");
        CPPUNIT_ASSERT(table.begin_step(m_id, other_caller, m_start) == reason::unknown_transaction);
        CPPUNIT_ASSERT(table.begin_step(m_id, m_origin, m_start) == reason::none);
        CPPUNIT_ASSERT(table.begin_step(m_id, m_origin, m_start) == reason::transaction_failed);
        table.end_step(m_id, true, m_start);
        CPPUNIT_ASSERT(table.failed(m_id) && table.opened_through(core::entry_host_id("e")).size() == 1);
    }

    void idle_and_old_transactions_expire() {
        open_transactions table;
        table.open(m_id, m_origin, m_start);
        CPPUNIT_ASSERT(table.next_expiry() == m_start + open_transactions::max_idle_time);
        core::time_point now = m_start;
        while (table.begin_step(m_id, m_origin, now) == reason::none) {
            CPPUNIT_ASSERT(table.expired(now).empty() && !table.next_expiry());
            table.end_step(m_id, false, now);
            now += 1s;
        }
        CPPUNIT_ASSERT(now == m_start + open_transactions::max_lifetime && table.expired(now).size() == 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(open_transaction_rules);
