// Guards against a failover step of a replaced or stalled control leader that takes effect after a step of
// its successor: two leaders that promote different replicas of one group would make its history diverge.
#include "control_host/step_runner.h"
#include "dialect/postgres_dialect.h"
#include "dialect/postgres_sql.h"
#include "support/standin_client.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using namespace mangoquay::test;

namespace {

struct leader_harness {
    transport::event_loop m_loop;
    dialect::postgres_dialect m_dialect;
    std::optional<std::uint64_t> m_term;
    control_host::step_runner m_runner;
    control::control_state m_state;

    leader_harness(standin::postgres_standin& databases, std::optional<std::uint64_t> term)
        : m_term(term), m_runner(m_loop, core::entry_host_id("c1"), {"test", "", "test", {}, ""}, m_dialect,
                                 [this] { return m_term; }) {
        for (const auto& report : databases.endpoint_reports()) {
            m_state.m_endpoints[core::endpoint_id(report.m_layout.m_id)].m_address = {"127.0.0.1",
                                                                                      report.m_layout.m_port};
        }
    }

    template <class Step>
    failover::step_answer run(const Step& step) {
        failover::step_answer seen;
        m_runner.run(m_state, step, [&](const failover::step_answer& answer) {
            seen = answer;
            m_loop.stop();
        });
        m_loop.run();
        return seen;
    }
};

} // namespace

class failover_steps : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(failover_steps);
    CPPUNIT_TEST(step_ends_sessions_of_earlier_leaders);
    CPPUNIT_TEST(step_leaves_sessions_of_later_leaders);
    CPPUNIT_TEST(step_without_the_lease_changes_nothing);
    CPPUNIT_TEST(replica_of_a_lost_primary_does_not_stream);
    CPPUNIT_TEST(promoted_replica_reports_its_new_term);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<standin::postgres_standin> m_databases;

    bool alive_after_step(const char* session, std::uint64_t term) {
        const standin_client other(report_of(*m_databases, "a2").m_layout.m_port, session);
        CPPUNIT_ASSERT(other.connected());
        leader_harness leader(*m_databases, term);
        CPPUNIT_ASSERT(leader.run(failover::stop_following{7, core::endpoint_id("a2")}).m_succeeded);
        return other.run(dialect::postgres_sql::status).m_sqlstate.empty();
    }

public:
    void setUp() override {
        m_databases = std::make_unique<standin::postgres_standin>(three_database_layout());
        CPPUNIT_ASSERT(m_databases->start());
    }
    void tearDown() override { m_databases.reset(); }

    void step_ends_sessions_of_earlier_leaders() {
        CPPUNIT_ASSERT(!alive_after_step("mangoquay-control/3/900", 4));
        CPPUNIT_ASSERT(!alive_after_step("mangoquay-control/4/6", 4));
    }

    void step_leaves_sessions_of_later_leaders() {
        CPPUNIT_ASSERT(alive_after_step("mangoquay-control/10/1", 9));
        CPPUNIT_ASSERT(alive_after_step("mangoquay/1/owner", 9));
    }

    void step_without_the_lease_changes_nothing() {
        leader_harness deposed(*m_databases, std::nullopt);
        CPPUNIT_ASSERT(!deposed.run(failover::promote{1, core::endpoint_id("a2")}).m_succeeded);
        CPPUNIT_ASSERT(!deposed.run(failover::stop_following{2, core::endpoint_id("a3")}).m_succeeded);
        CPPUNIT_ASSERT(!report_of(*m_databases, "a2").m_primary);
        CPPUNIT_ASSERT(report_of(*m_databases, "a3").m_streaming);
    }

    // Guards against a replica that is reported as streaming because its configuration still names a lost
    // primary.
    void replica_of_a_lost_primary_does_not_stream() {
        leader_harness leader(*m_databases, 2);
        const failover::read_position reading{1, core::endpoint_id("a2")};
        CPPUNIT_ASSERT(leader.run(reading).m_status.m_streaming);
        CPPUNIT_ASSERT(m_databases->apply_action("a1", "crash"));
        const auto answer = leader.run(reading);
        CPPUNIT_ASSERT(answer.m_succeeded && !answer.m_status.m_streaming);
    }

    void promoted_replica_reports_its_new_term() {
        leader_harness leader(*m_databases, 2);
        CPPUNIT_ASSERT(leader.run(failover::stop_following{1, core::endpoint_id("a2")}).m_succeeded);
        const auto answer = leader.run(failover::promote{2, core::endpoint_id("a2")});
        CPPUNIT_ASSERT(answer.m_succeeded && !answer.m_status.m_in_recovery);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, answer.m_status.m_position.m_term.value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(failover_steps);
