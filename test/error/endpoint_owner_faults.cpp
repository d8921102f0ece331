// Guards against wrong verdicts when the database, its replication or this proxy's rights fail in the middle
// of a request, and against exceeding slots while sessions of lost requests still run.
#include "support/owner_harness.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using namespace mangoquay::test;
using core::statement_kind;

class endpoint_owner_faults : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_owner_faults);
    CPPUNIT_TEST(write_without_quorum_is_uncertain);
    CPPUNIT_TEST(lease_lost_before_the_quorum_is_uncertain);
    CPPUNIT_TEST(write_without_rights_is_not_run);
    CPPUNIT_TEST(promotion_ends_waiting_writes);
    CPPUNIT_TEST(lost_commit_answer_is_uncertain_and_a_resend_by_key_runs_once);
    CPPUNIT_TEST(resend_waits_for_the_quorum_of_the_first);
    CPPUNIT_TEST(lost_read_is_not_run_unless_it_may_not_repeat);
    CPPUNIT_TEST(slot_of_a_timed_out_statement_stays_taken);
    CPPUNIT_TEST(commit_of_a_lost_session_is_not_run);
    CPPUNIT_TEST(later_owner_ends_the_earlier_one);
    CPPUNIT_TEST(owner_without_lease_ends_no_sessions);
    CPPUNIT_TEST(restarted_database_is_taken_over_again);
    CPPUNIT_TEST(destroyed_owner_answers_every_request);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<standin::postgres_standin> m_database;

    void expect(const std::string& wanted, const core::statement_answer& answer) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.m_message, wanted, summary(answer));
    }
    void act(const std::string& endpoint, const std::string& action) {
        CPPUNIT_ASSERT(m_database->apply_action(endpoint, action));
    }
    void expect_rows(const std::string& wanted) {
        const standin_client client(report_of(*m_database, "a1").m_layout.m_port, "x");
        CPPUNIT_ASSERT_EQUAL(wanted, client.run(count_entries).value());
    }
    std::uint32_t statements_running() { return report_of(*m_database, "a1").m_usage.m_running_statements; }

public:
    void setUp() override {
        m_database = std::make_unique<standin::postgres_standin>(three_database_layout());
        CPPUNIT_ASSERT(m_database->start());
    }
    void tearDown() override { m_database.reset(); }

    void write_without_quorum_is_uncertain() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.serving());
        act("a1", "cut");
        expect("may_have_run quorum_not_reached", primary.run(write("k", "v", 1s)));
        // One replica is a quorum of three.
        act("a1", "heal");
        act("a3", "cut");
        expect("ran", primary.run(write("l")));
    }

    void lease_lost_before_the_quorum_is_uncertain() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.serving());
        act("a1", "cut");
        auto waiting = primary.send(write("k"));
        CPPUNIT_ASSERT(eventually([&] { return primary.measures().m_writes_waiting == 1; }));
        primary.m_rights.m_lease = false;
        act("a1", "heal");
        expect("may_have_run lease_lapsed", waiting.get());
    }

    void write_without_rights_is_not_run() {
        owner_harness primary(*m_database, "a1");
        owner_harness replica(*m_database, "a2");
        CPPUNIT_ASSERT(primary.serving() && replica.serving());
        expect("not_run no_primary", replica.run(write("k")));
        expect("ran", primary.run(of_transaction(statement_kind::begin)));
        expect("ran", primary.run(of_transaction(statement_kind::step, insert_entry, {"t", "v"})));
        const auto token = primary.run(read(count_entries)).m_position;
        primary.m_rights.m_lease = false;
        expect("not_run lease_lapsed", primary.run(write("k")));
        expect("not_run lease_lapsed", primary.run(of_transaction(statement_kind::commit)));
        expect_rows("0");
        // Reads go on by token only.
        expect("not_run lease_lapsed", primary.run(read(count_entries)));
        auto by_token = read(count_entries);
        by_token.m_least_position = token;
        expect("ran", primary.run(by_token, 5s));
        primary.m_rights.m_lease = true;
        auto group = group_of_three();
        group.m_term = core::term{2};
        primary.on_loop([&](auto& owner) {
            owner.set_group(group);
            return 0;
        });
        expect("not_run term_replaced", primary.run(write("k")));
    }

    void promotion_ends_waiting_writes() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.serving());
        act("a1", "cut");
        auto waiting = primary.send(write("k"));
        CPPUNIT_ASSERT(eventually([&] { return primary.measures().m_writes_waiting == 1; }));
        auto group = group_of_three();
        group.m_promotion_in_progress = true;
        primary.on_loop([&](auto& owner) {
            owner.set_group(group);
            return 0;
        });
        expect("may_have_run term_replaced", waiting.get());
        expect("not_run no_primary", primary.run(write("k")));
    }

    void lost_commit_answer_is_uncertain_and_a_resend_by_key_runs_once() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.serving());
        auto keyed = write("k");
        keyed.m_idempotency_key = core::idempotency_key("key");
        auto first = write("first");
        first.m_idempotency_key = core::idempotency_key("creates the table");
        expect("ran", primary.run(first));
        act("a1", "drop_next_answer");
        expect("may_have_run connection_lost", primary.run(keyed));
        const auto again = primary.run(keyed);
        expect("ran", again);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, again.m_rows_affected);
        expect_rows("2");
    }

    void resend_waits_for_the_quorum_of_the_first() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.serving());
        act("a1", "cut");
        auto keyed = write("k", "v", 1s);
        keyed.m_idempotency_key = core::idempotency_key("key");
        expect("may_have_run quorum_not_reached", primary.run(keyed));
        keyed.m_deadline = core::deadline_after(transport::event_loop::now(), 1s);
        expect("may_have_run quorum_not_reached", primary.run(keyed));
        act("a1", "heal");
        keyed.m_deadline = core::deadline_after(transport::event_loop::now(), 5s);
        expect("ran", primary.run(keyed));
    }

    void lost_read_is_not_run_unless_it_may_not_repeat() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.serving());
        act("a1", "truncate_next_answer");
        expect("not_run connection_lost", primary.run(read(count_entries)));
        act("a1", "truncate_next_answer");
        auto once = read(count_entries);
        once.m_not_repeatable = true;
        expect("may_have_run connection_lost", primary.run(once));
        expect("ran", primary.run(once));
    }

    void slot_of_a_timed_out_statement_stays_taken() {
        owner_harness primary(*m_database, "a1", 1, 1);
        CPPUNIT_ASSERT(primary.serving());
        expect("not_run deadline_exceeded", primary.run(read(sleep_seconds, {"0.4"}, 100ms)));
        expect("ran", primary.run(read(count_entries)));
        auto late = write("k");
        late.m_sql = sleep_seconds;
        late.m_parameters = {"3"};
        late.m_deadline = core::deadline_after(transport::event_loop::now(), 1s);
        late.m_business_day = core::business_day("2026-12-04");
        expect("may_have_run deadline_exceeded", primary.run(late));
        expect("ran", primary.run(read(count_entries)));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1},
                             report_of(*m_database, "a1").m_usage.m_peak_running_statements);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, primary.unsettled());
    }

    void commit_of_a_lost_session_is_not_run() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.serving());
        expect("ran", primary.run(of_transaction(statement_kind::begin)));
        expect("ran", primary.run(of_transaction(statement_kind::step, insert_entry, {"k", "v"})));
        act("a1", "crash");
        act("a1", "restart");
        CPPUNIT_ASSERT(eventually([&] { return primary.measures().m_open_transactions == 0; }));
        expect("not_run unknown_transaction", primary.run(of_transaction(statement_kind::commit)));
        expect_rows("0");
    }

    void later_owner_ends_the_earlier_one() {
        owner_harness earlier(*m_database, "a1", 1, 1, "old");
        CPPUNIT_ASSERT(earlier.serving());
        auto lost = earlier.send(request(statement_kind::write, sleep_seconds, {"0.3"}));
        CPPUNIT_ASSERT(eventually([&] { return statements_running() == 1; }));
        owner_harness later(*m_database, "a1", 2, 1, "new");
        CPPUNIT_ASSERT(later.serving());
        expect("may_have_run connection_lost", lost.get());
        expect("ran", later.run(write("k")));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1},
                             report_of(*m_database, "a1").m_usage.m_peak_running_statements);
        expect("not_run endpoint_unreachable", earlier.run(write("l")));
        CPPUNIT_ASSERT(!earlier.on_loop([](auto& owner) { return owner.health().m_lock_held; }));
    }

    void owner_without_lease_ends_no_sessions() {
        owner_harness earlier(*m_database, "a1", 1, 1, "old");
        CPPUNIT_ASSERT(earlier.serving());
        owner_harness later(*m_database, "a1", 2, 1, "new", false);
        CPPUNIT_ASSERT(eventually(
            [&] { return later.on_loop([](auto& owner) { return owner.health().m_reachable; }); }));
        for (const char* id : {"k", "l", "m"}) {
            expect("ran", earlier.run(write(id)));
        }
        CPPUNIT_ASSERT(!later.on_loop([](auto& owner) { return owner.health().m_lock_held; }));
        later.m_rights.m_lease = true;
        CPPUNIT_ASSERT(later.serving());
    }

    void restarted_database_is_taken_over_again() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.serving());
        expect("ran", primary.run(write("k")));
        auto lost = primary.send(request(statement_kind::write, sleep_seconds, {"5"}));
        CPPUNIT_ASSERT(eventually([&] { return statements_running() == 1; }));
        act("a1", "crash");
        expect("may_have_run connection_lost", lost.get());
        CPPUNIT_ASSERT(eventually(
            [&] { return !primary.on_loop([](auto& owner) { return owner.health().m_reachable; }); }));
        expect("not_run endpoint_unreachable", primary.run(read(count_entries)));
        act("a1", "restart");
        CPPUNIT_ASSERT(primary.serving());
        expect("ran", primary.run(write("l")));
        // The slot of the lost statement is free again.
        CPPUNIT_ASSERT(eventually([&] { return primary.measures().m_busy_slots == 0; }));
    }

    void destroyed_owner_answers_every_request() {
        owner_harness primary(*m_database, "a1", 1, 1);
        CPPUNIT_ASSERT(primary.serving());
        auto sent = primary.send(request(statement_kind::write, sleep_seconds, {"5"}));
        CPPUNIT_ASSERT(eventually([&] { return statements_running() == 1; }));
        auto queued = primary.send(write("k"));
        CPPUNIT_ASSERT(eventually([&] { return primary.measures().m_queue_length == 1; }));
        primary.destroy_owner();
        expect("may_have_run shutting_down", sent.get());
        expect("not_run shutting_down", queued.get());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_owner_faults);
