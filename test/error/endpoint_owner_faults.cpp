// Guards against wrong verdicts when the database, its replication or the rights of the proxy are lost during
// a request, and against more concurrent statements than slots while sessions of lost requests still run.
#include "support/owner_harness.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using namespace mangoquay::test;
using core::statement_kind;

class endpoint_owner_faults : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_owner_faults);
    CPPUNIT_TEST(write_without_quorum_is_uncertain);
    CPPUNIT_TEST(write_is_uncertain_if_lease_expires_before_quorum);
    CPPUNIT_TEST(write_without_rights_is_not_run);
    CPPUNIT_TEST(promotion_makes_waiting_writes_uncertain);
    CPPUNIT_TEST(lost_commit_answer_is_uncertain_and_keyed_resend_runs_once);
    CPPUNIT_TEST(resend_waits_for_quorum_of_first_request);
    CPPUNIT_TEST(lost_read_is_not_run_unless_not_repeatable);
    CPPUNIT_TEST(slot_of_timed_out_statement_stays_occupied);
    CPPUNIT_TEST(commit_of_a_lost_session_is_not_run);
    CPPUNIT_TEST(later_owner_terminates_sessions_of_earlier_owner);
    CPPUNIT_TEST(owner_without_lease_terminates_no_sessions);
    CPPUNIT_TEST(restarted_database_is_taken_over_again);
    CPPUNIT_TEST(destroyed_owner_answers_every_request);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<standin::postgres_standin> m_database;

    void expect(const std::string& expected, const core::statement_answer& answer) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.m_message, expected, summary(answer));
    }
    void act(const std::string& endpoint, const std::string& action) {
        CPPUNIT_ASSERT(m_database->apply_action(endpoint, action));
    }
    void expect_rows(const std::string& expected) {
        const standin_client client(report_of(*m_database, "a1").m_layout.m_port, "x");
        CPPUNIT_ASSERT_EQUAL(expected, client.run(count_entries).value());
    }
    std::uint32_t running_statement_count() {
        return report_of(*m_database, "a1").m_usage.m_running_statements;
    }

public:
    void setUp() override {
        m_database = std::make_unique<standin::postgres_standin>(three_database_layout());
        CPPUNIT_ASSERT(m_database->start());
    }
    void tearDown() override { m_database.reset(); }

    void write_without_quorum_is_uncertain() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.wait_until_serving());
        act("a1", "cut");
        expect("may_have_run quorum_not_reached", primary.run(write_request("k", "v", 1s)));
        // The primary and one replica are a quorum of three.
        act("a1", "heal");
        act("a3", "cut");
        expect("ran", primary.run(write_request("l")));
    }

    void write_is_uncertain_if_lease_expires_before_quorum() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.wait_until_serving());
        act("a1", "cut");
        auto waiting = primary.send(write_request("k"));
        CPPUNIT_ASSERT(eventually([&] { return primary.statistics().m_waiting_writes == 1; }));
        primary.m_rights.m_lease_valid = false;
        act("a1", "heal");
        expect("may_have_run lease_lapsed", waiting.get());
    }

    void write_without_rights_is_not_run() {
        owner_harness primary(*m_database, "a1");
        owner_harness replica(*m_database, "a2");
        CPPUNIT_ASSERT(primary.wait_until_serving() && replica.wait_until_serving());
        expect("not_run no_primary", replica.run(write_request("k")));
        expect("ran", primary.run(transaction_request(statement_kind::begin)));
        expect("ran",
               primary.run(transaction_request(statement_kind::in_transaction, insert_entry, {"t", "v"})));
        const auto token = primary.run(read_request(count_entries)).m_position;
        primary.m_rights.m_lease_valid = false;
        expect("not_run lease_lapsed", primary.run(write_request("k")));
        expect("not_run lease_lapsed", primary.run(transaction_request(statement_kind::commit)));
        expect_rows("0");
        // Without the lease, a read is served only if it carries a token.
        expect("not_run lease_lapsed", primary.run(read_request(count_entries)));
        auto by_token = read_request(count_entries);
        by_token.m_min_position = token;
        expect("ran", primary.run(by_token, 5s));
        primary.m_rights.m_lease_valid = true;
        auto group = group_of_three();
        group.m_term = core::term{2};
        primary.on_loop([&](auto& owner) {
            owner.set_group(group);
            return 0;
        });
        expect("not_run term_replaced", primary.run(write_request("k")));
    }

    void promotion_makes_waiting_writes_uncertain() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.wait_until_serving());
        act("a1", "cut");
        auto waiting = primary.send(write_request("k"));
        CPPUNIT_ASSERT(eventually([&] { return primary.statistics().m_waiting_writes == 1; }));
        auto group = group_of_three();
        group.m_promotion_in_progress = true;
        primary.on_loop([&](auto& owner) {
            owner.set_group(group);
            return 0;
        });
        expect("may_have_run term_replaced", waiting.get());
        expect("not_run no_primary", primary.run(write_request("k")));
    }

    void lost_commit_answer_is_uncertain_and_keyed_resend_runs_once() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.wait_until_serving());
        auto keyed = write_request("k");
        keyed.m_idempotency_key = core::idempotency_key("key");
        auto first = write_request("first");
        first.m_idempotency_key = core::idempotency_key("creates the table");
        expect("ran", primary.run(first));
        act("a1", "drop_next_answer");
        expect("may_have_run connection_lost", primary.run(keyed));
        const auto again = primary.run(keyed);
        expect("ran", again);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, again.m_rows_affected);
        expect_rows("2");
    }

    void resend_waits_for_quorum_of_first_request() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.wait_until_serving());
        act("a1", "cut");
        auto keyed = write_request("k", "v", 1s);
        keyed.m_idempotency_key = core::idempotency_key("key");
        expect("may_have_run quorum_not_reached", primary.run(keyed));
        keyed.m_deadline = core::deadline_after(transport::event_loop::now(), 1s);
        expect("may_have_run quorum_not_reached", primary.run(keyed));
        act("a1", "heal");
        keyed.m_deadline = core::deadline_after(transport::event_loop::now(), 5s);
        expect("ran", primary.run(keyed));
    }

    void lost_read_is_not_run_unless_not_repeatable() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.wait_until_serving());
        act("a1", "truncate_next_answer");
        expect("not_run connection_lost", primary.run(read_request(count_entries)));
        act("a1", "truncate_next_answer");
        auto not_repeatable_read = read_request(count_entries);
        not_repeatable_read.m_not_repeatable = true;
        expect("may_have_run connection_lost", primary.run(not_repeatable_read));
        expect("ran", primary.run(not_repeatable_read));
    }

    void slot_of_timed_out_statement_stays_occupied() {
        owner_harness primary(*m_database, "a1", 1, 1);
        CPPUNIT_ASSERT(primary.wait_until_serving());
        expect("not_run deadline_exceeded", primary.run(read_request(sleep_seconds, {"0.4"}, 100ms)));
        expect("ran", primary.run(read_request(count_entries)));
        auto slow_write = write_request("k");
        slow_write.m_sql = sleep_seconds;
        slow_write.m_parameters = {"3"};
        slow_write.m_deadline = core::deadline_after(transport::event_loop::now(), 1s);
        slow_write.m_business_day = core::business_day("2026-12-04");
        expect("may_have_run deadline_exceeded", primary.run(slow_write));
        expect("ran", primary.run(read_request(count_entries)));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1},
                             report_of(*m_database, "a1").m_usage.m_peak_running_statements);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, primary.unsettled_day_count());
    }

    void commit_of_a_lost_session_is_not_run() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.wait_until_serving());
        expect("ran", primary.run(transaction_request(statement_kind::begin)));
        expect("ran",
               primary.run(transaction_request(statement_kind::in_transaction, insert_entry, {"k", "v"})));
        act("a1", "crash");
        act("a1", "restart");
        CPPUNIT_ASSERT(eventually([&] { return primary.statistics().m_open_transactions == 0; }));
        expect("not_run unknown_transaction", primary.run(transaction_request(statement_kind::commit)));
        expect_rows("0");
    }

    void later_owner_terminates_sessions_of_earlier_owner() {
        owner_harness earlier(*m_database, "a1", 1, 1, "old");
        CPPUNIT_ASSERT(earlier.wait_until_serving());
        auto lost_write = earlier.send(make_request(statement_kind::write, sleep_seconds, {"0.3"}));
        CPPUNIT_ASSERT(eventually([&] { return running_statement_count() == 1; }));
        owner_harness later(*m_database, "a1", 2, 1, "new");
        CPPUNIT_ASSERT(later.wait_until_serving());
        expect("may_have_run connection_lost", lost_write.get());
        expect("ran", later.run(write_request("k")));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1},
                             report_of(*m_database, "a1").m_usage.m_peak_running_statements);
        expect("not_run endpoint_unreachable", earlier.run(write_request("l")));
        CPPUNIT_ASSERT(!earlier.on_loop([](auto& owner) { return owner.health().m_lock_held; }));
    }

    void owner_without_lease_terminates_no_sessions() {
        owner_harness earlier(*m_database, "a1", 1, 1, "old");
        CPPUNIT_ASSERT(earlier.wait_until_serving());
        owner_harness later(*m_database, "a1", 2, 1, "new", false);
        CPPUNIT_ASSERT(eventually(
            [&] { return later.on_loop([](auto& owner) { return owner.health().m_reachable; }); }));
        for (const char* id : {"k", "l", "m"}) {
            expect("ran", earlier.run(write_request(id)));
        }
        CPPUNIT_ASSERT(!later.on_loop([](auto& owner) { return owner.health().m_lock_held; }));
        later.m_rights.m_lease_valid = true;
        CPPUNIT_ASSERT(later.wait_until_serving());
    }

    void restarted_database_is_taken_over_again() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.wait_until_serving());
        expect("ran", primary.run(write_request("k")));
        auto lost_write = primary.send(make_request(statement_kind::write, sleep_seconds, {"5"}));
        CPPUNIT_ASSERT(eventually([&] { return running_statement_count() == 1; }));
        act("a1", "crash");
        expect("may_have_run connection_lost", lost_write.get());
        CPPUNIT_ASSERT(eventually(
            [&] { return !primary.on_loop([](auto& owner) { return owner.health().m_reachable; }); }));
        expect("not_run endpoint_unreachable", primary.run(read_request(count_entries)));
        act("a1", "restart");
        CPPUNIT_ASSERT(primary.wait_until_serving());
        expect("ran", primary.run(write_request("l")));
        // The slot of the lost statement is released.
        CPPUNIT_ASSERT(eventually([&] { return primary.statistics().m_busy_slots == 0; }));
    }

    void destroyed_owner_answers_every_request() {
        owner_harness primary(*m_database, "a1", 1, 1);
        CPPUNIT_ASSERT(primary.wait_until_serving());
        auto sent = primary.send(make_request(statement_kind::write, sleep_seconds, {"5"}));
        CPPUNIT_ASSERT(eventually([&] { return running_statement_count() == 1; }));
        auto queued = primary.send(write_request("k"));
        CPPUNIT_ASSERT(eventually([&] { return primary.statistics().m_queue_length == 1; }));
        primary.destroy_owner();
        expect("may_have_run shutting_down", sent.get());
        expect("not_run shutting_down", queued.get());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_owner_faults);
