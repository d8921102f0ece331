// Guards against a history check that reports no violation after a lost, duplicated, stale or misrouted
// answer, and against one that reports a violation where the caller was told that the outcome is unknown.
#include "load/history.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using core::verdict;
using load::history;

class load_history_check : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(load_history_check);
    CPPUNIT_TEST(each_violation_is_reported);
    CPPUNIT_TEST(allowed_outcomes_are_not_reported);
    CPPUNIT_TEST_SUITE_END();

    history m_history;

    std::uint64_t count_violations(const load::row_values& stored) {
        m_history.check_stored_rows(stored);
        return m_history.violations().total();
    }

public:
    void setUp() override {
        m_history = {};
        m_history.record_write("r", 0, verdict::ran);
        m_history.record_write("r", 1, verdict::ran);
        m_history.record_write("r", 2, verdict::not_run);
    }

    void each_violation_is_reported() {
        const auto counts = [this] { return m_history.violations(); };
        m_history.check_stored_rows({});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counts().m_acknowledged_lost);
        m_history.check_stored_rows({{"r", "r:0"}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, counts().m_acknowledged_lost);
        m_history.record_update_without_row("r");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, counts().m_acknowledged_lost);
        m_history.check_stored_rows({{"r", "r:2"}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counts().m_not_run_ran);
        m_history.check_stored_rows({{"r", "other:1"}});
        m_history.check_read("r", "r1:0");
        m_history.check_session_read("r", 1, "r:1x");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, counts().m_foreign_answers);
        m_history.check_session_read("r", 1, "r:0");
        m_history.check_session_read("r", 0, std::nullopt);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, counts().m_stale_session_reads);
        m_history.record_duplicate_error("r", false);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counts().m_doubled);
    }

    void allowed_outcomes_are_not_reported() {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, count_violations({{"r", "r:1"}, {"of another run", "x"}}));
        m_history.check_session_read("r", 1, "r:1");
        m_history.check_read("r", "r:0");
        m_history.check_read("r", std::nullopt);
        m_history.record_duplicate_error("r", true);
        m_history.record_write("r", 3, verdict::may_have_run);
        m_history.record_write("r", 4, verdict::ran);
        // A write with an unknown outcome may have run or not, and may take effect even after a later one.
        m_history.check_session_read("r", 4, "r:3");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             count_violations({{"r", "r:4"}}) + count_violations({{"r", "r:3"}}));
        m_history.record_write("s", 0, verdict::may_have_run);
        m_history.record_write("t", 0, verdict::not_run);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, count_violations({{"r", "r:4"}, {"s", "s:0"}}) +
                                                   count_violations({{"r", "r:4"}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_history_check);
