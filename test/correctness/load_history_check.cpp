// Guards against a load tool that reports a clean run after a lost, doubled, stale or misdirected answer, and
// against one that reports a violation where a caller was told that the outcome is unknown.
#include "load/history.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using core::verdict;
using load::history;

class load_history_check : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(load_history_check);
    CPPUNIT_TEST(each_violation_is_reported);
    CPPUNIT_TEST(allowed_outcomes_are_not);
    CPPUNIT_TEST_SUITE_END();

    history m_history;

    std::uint64_t found(const load::row_values& present) {
        m_history.check_all(present);
        return m_history.violations().total();
    }

public:
    void setUp() override {
        m_history = {};
        m_history.write_ended("r", 0, verdict::ran);
        m_history.write_ended("r", 1, verdict::ran);
        m_history.write_ended("r", 2, verdict::not_run);
    }

    void each_violation_is_reported() {
        const auto counts = [this] { return m_history.violations(); };
        m_history.check_all({});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counts().m_acknowledged_lost);
        m_history.check_all({{"r", "r:0"}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, counts().m_acknowledged_lost);
        m_history.update_found_no_row("r");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, counts().m_acknowledged_lost);
        m_history.check_all({{"r", "r:2"}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counts().m_not_run_ran);
        m_history.check_all({{"r", "other:1"}});
        m_history.read("r", "r1:0");
        m_history.session_read("r", 1, "r:1x");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, counts().m_foreign_answers);
        m_history.session_read("r", 1, "r:0");
        m_history.session_read("r", 0, std::nullopt);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, counts().m_stale_session_reads);
        m_history.duplicate_reported("r", false);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counts().m_doubled);
    }

    void allowed_outcomes_are_not() {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, found({{"r", "r:1"}, {"of another run", "x"}}));
        m_history.session_read("r", 1, "r:1");
        m_history.read("r", "r:0");
        m_history.read("r", std::nullopt);
        m_history.duplicate_reported("r", true);
        m_history.write_ended("r", 3, verdict::may_have_run);
        m_history.write_ended("r", 4, verdict::ran);
        // Of an unknown outcome both are allowed, and it may even take effect late.
        m_history.session_read("r", 4, "r:3");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, found({{"r", "r:4"}}) + found({{"r", "r:3"}}));
        m_history.write_ended("s", 0, verdict::may_have_run);
        m_history.write_ended("t", 0, verdict::not_run);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, found({{"r", "r:4"}, {"s", "s:0"}}) + found({{"r", "r:4"}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_history_check);
