// Guards against a stand-in that is more permissive than PostgreSQL: tests of the proxy would then pass
// against behaviour that no database has.
#include "dialect/postgres_sql.h"
#include "standin/statements.h"
#include "support/standin_client.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using namespace mangoquay::test;
namespace sql = mangoquay::dialect::postgres_sql;

namespace {
constexpr const char* insert = "INSERT INTO entries (id, value) VALUES ($1, $2)";
constexpr const char* update = "UPDATE entries SET value = $2 WHERE id = $1";
constexpr const char* read_entry = "SELECT id, value FROM entries WHERE id = $1";
constexpr const char* count = "SELECT count(*) FROM entries";
} // namespace

class postgres_standin_behaviour : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(postgres_standin_behaviour);
    CPPUNIT_TEST(write_reaches_replica_after_its_lag);
    CPPUNIT_TEST(read_only_sessions_refuse_writes);
    CPPUNIT_TEST(duplicate_key_waits_for_the_other_transaction);
    CPPUNIT_TEST(failed_transaction_commits_nothing);
    CPPUNIT_TEST(pipeline_error_skips_to_sync);
    CPPUNIT_TEST(dropped_answer_keeps_the_write);
    CPPUNIT_TEST(truncated_answer_is_not_complete);
    CPPUNIT_TEST(connections_above_the_limit_are_refused);
    CPPUNIT_TEST(new_owner_ends_earlier_sessions);
    CPPUNIT_TEST(statements_running_at_once_are_counted);
    CPPUNIT_TEST(cancel_ends_a_statement);
    CPPUNIT_TEST(diverged_replica_does_not_stream);
    CPPUNIT_TEST(crash_loses_open_transactions_only);
    CPPUNIT_TEST(frozen_database_answers_after_thaw);
    CPPUNIT_TEST(cut_client_gets_no_answer);
    CPPUNIT_TEST(password_is_checked);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<standin::postgres_standin> m_standin;

    void start(const standin::layout& layout = three_database_layout()) {
        m_standin = std::make_unique<standin::postgres_standin>(layout);
        CPPUNIT_ASSERT(m_standin->start());
    }
    standin_client connect(const std::string& id, const std::string& name = "test") {
        return {report_of(*m_standin, id).m_layout.m_port, name};
    }
    void apply_action(const std::string& id, const std::string& action,
                      const standin::action_parameters& with = {}) {
        const auto done = m_standin->apply_action(id, action, with);
        CPPUNIT_ASSERT_MESSAGE(done.reason(), done);
    }
    bool count_becomes(const std::string& id, const std::string& expected) {
        const auto client = connect(id);
        return eventually([&] { return client.run(count).value() == expected; });
    }

public:
    void setUp() override { start(); }
    void tearDown() override { m_standin.reset(); }

    // A replica must not show a write before its lag has passed, but must report its position as durable
    // before that.
    void write_reaches_replica_after_its_lag() {
        apply_action("a2", "lag", {{"ms", "3600000"}});
        const auto primary = connect("a1");
        CPPUNIT_ASSERT_EQUAL(std::string("1"), primary.run(insert, {"k", "v"}).m_affected_rows);
        const std::string position = primary.run(sql::current_position).value();
        CPPUNIT_ASSERT(count_becomes("a3", "1"));
        CPPUNIT_ASSERT(eventually([&] {
            const auto replicas = primary.run(sql::replica_positions).m_rows;
            return replicas.size() == 2 && replicas[0][1] == position && replicas[1][1] == position;
        }));
        const auto late = connect("a2");
        CPPUNIT_ASSERT_EQUAL(std::string("0"), late.run(count).value());
        const auto status = late.run(sql::status).m_rows.at(0);
        CPPUNIT_ASSERT(status[0] == "t" && status[2] != position && status[3] == position);
        apply_action("a2", "lag", {{"ms", "0"}});
        CPPUNIT_ASSERT(count_becomes("a2", "1"));
    }

    // A replica and a read-only transaction must refuse writes with SQLSTATE 25006.
    void read_only_sessions_refuse_writes() {
        CPPUNIT_ASSERT_EQUAL(std::string("25006"), connect("a2").run(insert, {"k", "v"}).m_sqlstate);
        const auto primary = connect("a1");
        static_cast<void>(primary.run(sql::begin_read_only));
        CPPUNIT_ASSERT_EQUAL(std::string("25006"), primary.run(update, {"k", "v"}).m_sqlstate);
    }

    // An insert of a key that an open transaction has inserted must wait for its end: it succeeds after a
    // rollback and fails after a commit.
    void duplicate_key_waits_for_the_other_transaction() {
        const auto first = connect("a1");
        const auto second = connect("a1");
        for (const char* end : {sql::rollback, sql::commit}) {
            static_cast<void>(first.run(sql::begin));
            static_cast<void>(first.run(insert, {end, "first"}));
            second.send(insert, {end, "second"});
            CPPUNIT_ASSERT(
                eventually([&] { return report_of(*m_standin, "a1").m_usage.m_running_statements == 1; }));
            CPPUNIT_ASSERT_EQUAL(std::string(), first.run(end).m_sqlstate);
            const query_result result = second.receive();
            CPPUNIT_ASSERT_EQUAL(std::string(end == sql::commit ? "23505" : ""), result.m_sqlstate);
            static_cast<void>(second.receive());
        }
    }

    // After an error, a transaction must refuse further statements, and its COMMIT must roll back.
    void failed_transaction_commits_nothing() {
        const auto client = connect("a1");
        static_cast<void>(client.run(sql::begin));
        static_cast<void>(client.run(insert, {"k", "v"}));
        CPPUNIT_ASSERT_EQUAL(std::string("23505"), client.run(insert, {"k", "v"}).m_sqlstate);
        CPPUNIT_ASSERT_EQUAL(std::string("25P02"), client.run(count).m_sqlstate);
        CPPUNIT_ASSERT_EQUAL(std::string(), client.run(sql::commit).m_sqlstate);
        CPPUNIT_ASSERT_EQUAL(std::string("0"), client.run(count).value());
    }

    // After an error in a pipeline, the remaining statements up to the Sync must be skipped.
    void pipeline_error_skips_to_sync() {
        const auto client = connect("a1");
        PQenterPipelineMode(client.raw());
        client.send(sql::begin);
        client.send("SELECT nonsense");
        client.send(insert, {"k", "v"});
        PQpipelineSync(client.raw());
        std::vector<ExecStatusType> seen;
        while (seen.empty() || seen.back() != PGRES_PIPELINE_SYNC) {
            PGresult* result = PQgetResult(client.raw());
            if (result != nullptr) {
                seen.push_back(PQresultStatus(result));
                PQclear(result);
            }
        }
        const std::vector<ExecStatusType> expected = {PGRES_COMMAND_OK, PGRES_FATAL_ERROR,
                                                      PGRES_PIPELINE_ABORTED, PGRES_PIPELINE_SYNC};
        CPPUNIT_ASSERT(seen == expected);
        CPPUNIT_ASSERT(PQtransactionStatus(client.raw()) == PQTRANS_INERROR);
    }

    // A write whose answer is lost must remain committed.
    void dropped_answer_keeps_the_write() {
        apply_action("a1", "drop_next_answer");
        const auto client = connect("a1");
        CPPUNIT_ASSERT_EQUAL(std::string("no answer"), client.run(insert, {"k", "v"}).m_sqlstate);
        CPPUNIT_ASSERT(!client.connected());
        CPPUNIT_ASSERT(count_becomes("a1", "1"));
    }

    // A client must not take a truncated answer for a complete one, and the rows must remain.
    void truncated_answer_is_not_complete() {
        const auto client = connect("a1");
        static_cast<void>(client.run(insert, {"k", "v"}));
        apply_action("a1", "truncate_next_answer");
        CPPUNIT_ASSERT(!client.run(read_entry, {"k"}).m_sqlstate.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("v"), connect("a1").run(read_entry, {"k"}).m_rows.at(0).at(1));
    }

    // A connection above the limit must be refused with an error and counted.
    void connections_above_the_limit_are_refused() {
        auto layout = three_database_layout();
        layout.m_endpoints[0].m_connections = 1;
        start(layout);
        const auto first = connect("a1");
        const auto second = connect("a1");
        CPPUNIT_ASSERT(first.connected() && !second.connected());
        CPPUNIT_ASSERT(std::string(PQerrorMessage(second.raw())).find("too many") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, report_of(*m_standin, "a1").m_usage.m_connections_refused);
    }

    // A new owner must end the sessions of earlier owners; only then does it get the owner lock.
    void new_owner_ends_earlier_sessions() {
        const auto old_owner = connect("a1", "mangoquay/1/h1");
        const auto new_owner = connect("a1", "mangoquay/2/h2");
        CPPUNIT_ASSERT_EQUAL(std::string("t"), old_owner.run(sql::try_owner_lock).value());
        CPPUNIT_ASSERT_EQUAL(std::string("f"), new_owner.run(sql::try_owner_lock).value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, new_owner.run(sql::end_earlier_owners, {"2"}).m_rows.size());
        CPPUNIT_ASSERT_EQUAL(std::string("t"), new_owner.run(sql::try_owner_lock).value());
        CPPUNIT_ASSERT_EQUAL(std::string("57P01"), old_owner.run(count).m_sqlstate);
    }

    // Tests of the slot limit rely on the counters of concurrent statements.
    void statements_running_at_once_are_counted() {
        const auto first = connect("a1");
        const auto second = connect("a1");
        first.send("SELECT pg_sleep($1)", {"0.05"});
        second.send("SELECT pg_sleep($1)", {"0.05"});
        CPPUNIT_ASSERT(first.receive().m_sqlstate.empty() && second.receive().m_sqlstate.empty());
        const auto usage = report_of(*m_standin, "a1").m_usage;
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, usage.m_peak_running_statements);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, usage.m_running_statements);
    }

    // A cancel request must end a running statement with SQLSTATE 57014.
    void cancel_ends_a_statement() {
        const auto client = connect("a1");
        client.send("SELECT pg_sleep($1)", {"3600"});
        CPPUNIT_ASSERT(
            eventually([&] { return report_of(*m_standin, "a1").m_usage.m_running_statements == 1; }));
        const std::unique_ptr<PGcancel, decltype(&PQfreeCancel)> cancel(PQgetCancel(client.raw()),
                                                                        PQfreeCancel);
        std::array<char, 256> error{};
        CPPUNIT_ASSERT_EQUAL(1, PQcancel(cancel.get(), error.data(), error.size()));
        CPPUNIT_ASSERT_EQUAL(std::string("57014"), client.receive().m_sqlstate);
    }

    // A database with records that the new primary lacks must not follow it before a rewind discards them.
    void diverged_replica_does_not_stream() {
        apply_action("a1", "cut");
        static_cast<void>(connect("a1").run(insert, {"lost", "v"}));
        const auto successor = connect("a2");
        static_cast<void>(successor.run(sql::stop_following));
        static_cast<void>(successor.run(sql::reload_configuration));
        CPPUNIT_ASSERT_EQUAL(std::string("t"), successor.run(sql::promote).value());
        static_cast<void>(successor.run(insert, {"kept", "v"}));
        const std::string conninfo = standin::conninfo_for(report_of(*m_standin, "a2").m_layout, "a3");
        const auto follower = connect("a3");
        static_cast<void>(follower.run((sql::follow_prefix + ("'" + conninfo + "'")).c_str()));
        static_cast<void>(follower.run(sql::reload_configuration));
        CPPUNIT_ASSERT(count_becomes("a3", "1"));
        CPPUNIT_ASSERT_EQUAL(std::string("2"), follower.run(sql::status).m_rows.at(0)[1]);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), follower.run(sql::count_wal_receivers).value());
        apply_action("a1", "heal");
        const auto old_primary = report_of(*m_standin, "a1");
        CPPUNIT_ASSERT(old_primary.m_primary && old_primary.m_term == 1);
        apply_action("a1", "rewind");
        CPPUNIT_ASSERT(eventually([&] { return report_of(*m_standin, "a1").m_streaming; }));
        const auto rewound = connect("a1");
        CPPUNIT_ASSERT(rewound.run(read_entry, {"lost"}).m_rows.empty());
        // A replica that received more records of the old term than the new primary has a diverged tail.
        apply_action("a3", "cut");
        static_cast<void>(successor.run(insert, {"tail", "v"}));
        CPPUNIT_ASSERT(count_becomes("a1", "2"));
        apply_action("a2", "crash");
        static_cast<void>(follower.run(sql::promote));
        const auto new_conninfo = standin::conninfo_for(report_of(*m_standin, "a3").m_layout, "a1");
        static_cast<void>(rewound.run((sql::follow_prefix + ("'" + new_conninfo + "'")).c_str()));
        static_cast<void>(rewound.run(sql::reload_configuration));
        apply_action("a3", "heal");
        CPPUNIT_ASSERT_EQUAL(std::string("0"), rewound.run(sql::count_wal_receivers).value());
    }

    // A crash must lose uncommitted writes and connections, but no committed write.
    void crash_loses_open_transactions_only() {
        const auto client = connect("a1");
        static_cast<void>(client.run(insert, {"kept", "v"}));
        static_cast<void>(client.run(sql::begin));
        static_cast<void>(client.run(insert, {"open", "v"}));
        apply_action("a1", "crash");
        CPPUNIT_ASSERT(!connect("a1").connected());
        apply_action("a1", "restart");
        CPPUNIT_ASSERT(!client.run(count).m_sqlstate.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), connect("a1").run(count).value());
    }

    // A frozen database must not run a statement that arrives; it runs it after the thaw.
    void frozen_database_answers_after_thaw() {
        const auto client = connect("a1");
        apply_action("a1", "freeze");
        client.send(insert, {"k", "v"});
        CPPUNIT_ASSERT(PQflush(client.raw()) == 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, report_of(*m_standin, "a1").m_rows);
        apply_action("a1", "thaw");
        CPPUNIT_ASSERT_EQUAL(std::string(), client.receive().m_sqlstate);
    }

    // A cut must affect only the named client, which receives its answer after the cut ends.
    void cut_client_gets_no_answer() {
        const auto reachable = connect("a1", "mangoquay/1/h1");
        const auto unreachable = connect("a1", "mangoquay/1/h2");
        apply_action("a1", "cut", {{"client", "h2"}});
        unreachable.send(count);
        CPPUNIT_ASSERT_EQUAL(std::string("0"), reachable.run(count).value());
        PQconsumeInput(unreachable.raw());
        CPPUNIT_ASSERT_EQUAL(1, PQisBusy(unreachable.raw()));
        apply_action("a1", "heal");
        CPPUNIT_ASSERT_EQUAL(std::string("0"), unreachable.receive().value());
    }

    // A client without the right password must be refused.
    void password_is_checked() {
        auto layout = three_database_layout();
        layout.m_password = "secret";
        start(layout);
        CPPUNIT_ASSERT(!connect("a1").connected());
        CPPUNIT_ASSERT(connect("a1", "test password=secret").connected());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(postgres_standin_behaviour);
