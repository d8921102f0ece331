// Guards against incorrect service of one endpoint without injected faults: reads that miss the caller's own
// writes, exceeded limits, transactions that share a connection, and a write with an idempotency key that
// runs twice.
#include "support/owner_harness.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using namespace mangoquay::test;
using core::statement_kind;

class endpoint_owner_service : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_owner_service);
    CPPUNIT_TEST(own_write_is_read_at_replica_by_token);
    CPPUNIT_TEST(replica_without_position_refuses_or_waits);
    CPPUNIT_TEST(read_with_age_limit_needs_proven_age);
    CPPUNIT_TEST(read_that_writes_is_refused);
    CPPUNIT_TEST(keyed_write_runs_once);
    CPPUNIT_TEST(key_belongs_to_one_request_and_caller);
    CPPUNIT_TEST(concurrent_requests_stay_within_slots_and_connections);
    CPPUNIT_TEST(transaction_keeps_its_connection);
    CPPUNIT_TEST(transaction_belongs_to_its_caller_and_origin);
    CPPUNIT_TEST(statement_that_would_end_the_transaction_is_refused);
    CPPUNIT_TEST(release_refuses_new_requests_and_finishes_open_transactions);
    CPPUNIT_TEST(closed_day_refuses_and_open_writes_are_counted);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<standin::postgres_standin> m_database;

    void expect(const std::string& expected, const core::statement_answer& answer) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.m_message, expected, summary(answer));
    }
    std::string row_count() {
        return standin_client(report_of(*m_database, "a1").m_layout.m_port, "x").run(count_entries).value();
    }

public:
    void setUp() override {
        m_database = std::make_unique<standin::postgres_standin>(three_database_layout());
        CPPUNIT_ASSERT(m_database->start());
    }
    void tearDown() override { m_database.reset(); }

    void own_write_is_read_at_replica_by_token() {
        owner_harness primary(*m_database, "a1");
        owner_harness replica(*m_database, "a2");
        CPPUNIT_ASSERT(primary.wait_until_serving() && replica.wait_until_serving());
        const auto written = primary.run(write_request("k"));
        expect("ran", written);
        CPPUNIT_ASSERT(written.m_position && written.m_rows_affected == 1);
        for (owner_harness* owner : {&primary, &replica}) {
            auto request = read_request(read_entry, {"k"});
            request.m_min_position = written.m_position;
            const auto seen = owner->run(request, 5s);
            expect("ran", seen);
            CPPUNIT_ASSERT(seen.m_rows.size() == 1 && seen.m_rows[0][1] == "v" &&
                           seen.m_columns[1] == "value");
        }
        // A caller without a token gets one that covers its writes.
        CPPUNIT_ASSERT(primary.run(read_request(count_entries)).m_position >= written.m_position);
    }

    void replica_without_position_refuses_or_waits() {
        owner_harness primary(*m_database, "a1");
        owner_harness replica(*m_database, "a2");
        CPPUNIT_ASSERT(primary.wait_until_serving() && replica.wait_until_serving());
        CPPUNIT_ASSERT(m_database->apply_action("a2", "lag", {{"ms", "3600000"}}));
        auto request = read_request(count_entries);
        expect("not_run no_eligible_endpoint", replica.run(request));
        request.m_min_position = primary.run(write_request("k")).m_position;
        expect("not_run no_eligible_endpoint", replica.run(request, 20ms));
        auto waiting = replica.send(request, 5s);
        CPPUNIT_ASSERT(m_database->apply_action("a2", "lag", {{"ms", "0"}}));
        expect("ran", waiting.get());
    }

    void read_with_age_limit_needs_proven_age() {
        owner_harness replica(*m_database, "a2");
        CPPUNIT_ASSERT(replica.wait_until_serving());
        auto request = read_request(count_entries);
        request.m_max_age = 60s;
        expect("not_run data_too_old", replica.run(request));
        const auto queried_at = transport::event_loop::now() - 30s;
        replica.on_loop([&](auto& owner) {
            owner.on_primary_position(queried_at, {core::term{1}, core::log_position{0}});
            return 0;
        });
        expect("ran", replica.run(request));
        request.m_max_age = 10s;
        expect("not_run data_too_old", replica.run(request));
    }

    void read_that_writes_is_refused() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.wait_until_serving());
        expect("not_run database_error", primary.run(read_request(insert_entry, {"k", "v"})));
        CPPUNIT_ASSERT_EQUAL(std::string("0"), row_count());
    }

    void keyed_write_runs_once() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.wait_until_serving());
        auto request = write_request("k");
        request.m_idempotency_key = core::idempotency_key("key");
        auto first = primary.send(request);
        auto second = primary.send(request);
        for (auto* answer : {&first, &second}) {
            const auto got = answer->get();
            expect("ran", got);
            CPPUNIT_ASSERT(got.m_rows_affected == 1 && got.m_position);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("1"), row_count());
    }

    void key_belongs_to_one_request_and_caller() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.wait_until_serving());
        auto first = write_request("k");
        first.m_idempotency_key = core::idempotency_key("key");
        expect("ran", primary.run(first));
        auto other_request = write_request("other");
        other_request.m_idempotency_key = first.m_idempotency_key;
        expect("not_run malformed_request", primary.run(other_request));
        other_request.m_caller = core::caller_id("other caller");
        expect("ran", primary.run(other_request));
    }

    void concurrent_requests_stay_within_slots_and_connections() {
        owner_harness primary(*m_database, "a1", 1, 3);
        CPPUNIT_ASSERT(primary.wait_until_serving());
        // Long shed limit, so that the queue refuses no request on a slow test machine.
        control::preset_record policy;
        policy.m_shed_wait_ms = 60000;
        primary.on_loop([&](auto& owner) {
            owner.apply_policy(policy);
            return 0;
        });
        std::vector<owner_harness::answer_future> answers;
        answers.reserve(40);
        for (int number = 0; number < 40; ++number) {
            answers.push_back(primary.send(number % 2 == 0 ? read_request(sleep_seconds, {"0.01"})
                                                           : write_request(std::to_string(number))));
        }
        for (auto& answer : answers) {
            expect("ran", answer.get());
        }
        const auto usage = report_of(*m_database, "a1").m_usage;
        CPPUNIT_ASSERT(usage.m_peak_running_statements <= 3);
        CPPUNIT_ASSERT(usage.m_peak_connections <= 10);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, usage.m_caller_statements);
    }

    void transaction_keeps_its_connection() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.wait_until_serving());
        expect("ran", primary.run(transaction_request(statement_kind::begin)));
        expect("ran",
               primary.run(transaction_request(statement_kind::in_transaction, insert_entry, {"k", "v"})));
        CPPUNIT_ASSERT_EQUAL(std::string("0"), *primary.run(read_request(count_entries)).m_rows[0][0]);
        CPPUNIT_ASSERT_EQUAL(
            std::string("1"),
            *primary.run(transaction_request(statement_kind::in_transaction, count_entries)).m_rows[0][0]);
        const auto committed = primary.run(transaction_request(statement_kind::commit));
        expect("ran", committed);
        CPPUNIT_ASSERT(committed.m_position);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), row_count());
        // After a failed step the transaction can only be rolled back.
        expect("ran", primary.run(transaction_request(statement_kind::begin)));
        expect("not_run database_error",
               primary.run(transaction_request(statement_kind::in_transaction, insert_entry, {"k", "v"})));
        expect("not_run transaction_failed",
               primary.run(transaction_request(statement_kind::in_transaction, count_entries)));
        expect("not_run transaction_failed", primary.run(transaction_request(statement_kind::commit)));
        expect("not_run unknown_transaction", primary.run(transaction_request(statement_kind::rollback)));
        CPPUNIT_ASSERT(eventually([&] { return primary.statistics().m_busy_slots == 0; }));
    }

    void transaction_belongs_to_its_caller_and_origin() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.wait_until_serving());
        expect("ran", primary.run(transaction_request(statement_kind::begin)));
        const auto insert = transaction_request(statement_kind::in_transaction, insert_entry, {"k", "v"});
        expect("ran", primary.run(insert));
        auto other_caller = insert;
        other_caller.m_caller = core::caller_id("stranger");
        expect("not_run unknown_transaction", primary.run(other_caller));
        expect("not_run unknown_transaction", primary.run(insert, 0ms, "other entry"));
        primary.on_loop([](auto& owner) {
            owner.on_origin_lost(core::entry_host_id("entry"));
            return 0;
        });
        expect("not_run unknown_transaction", primary.run(transaction_request(statement_kind::commit)));
        expect("ran", primary.run(write_request("k", "other"))); // The row lock has been released.
    }

    void statement_that_would_end_the_transaction_is_refused() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.wait_until_serving());
        expect("not_run malformed_request",
               primary.run(make_request(statement_kind::write, "/* x */ COMMIT")));
        expect("ran", primary.run(transaction_request(statement_kind::begin)));
        expect("not_run malformed_request",
               primary.run(transaction_request(statement_kind::in_transaction, "COMMIT")));
        expect("ran", primary.run(transaction_request(statement_kind::rollback)));
    }

    void release_refuses_new_requests_and_finishes_open_transactions() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.wait_until_serving());
        expect("ran", primary.run(transaction_request(statement_kind::begin)));
        std::atomic<bool> released = false;
        primary.on_loop([&](auto& owner) {
            owner.release([&] { released = true; });
            return 0;
        });
        expect("not_run endpoint_leaving", primary.run(read_request(count_entries)));
        expect("ran",
               primary.run(transaction_request(statement_kind::in_transaction, insert_entry, {"k", "v"})));
        CPPUNIT_ASSERT(!released);
        expect("ran", primary.run(transaction_request(statement_kind::commit)));
        CPPUNIT_ASSERT(eventually([&] { return released.load(); }));
        CPPUNIT_ASSERT(eventually([&] { return report_of(*m_database, "a1").m_open_connections == 0; }));
    }

    void closed_day_refuses_and_open_writes_are_counted() {
        owner_harness primary(*m_database, "a1");
        CPPUNIT_ASSERT(primary.wait_until_serving());
        CPPUNIT_ASSERT(m_database->apply_action("a1", "cut"));
        auto request = write_request("k");
        request.m_business_day = core::business_day("2026-12-04");
        auto waiting = primary.send(request);
        CPPUNIT_ASSERT(eventually([&] { return primary.statistics().m_waiting_writes == 1; }));
        primary.m_rights.m_day_open = false;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, primary.unsettled_day_count());
        expect("not_run day_closed", primary.run(request));
        CPPUNIT_ASSERT(m_database->apply_action("a1", "heal"));
        expect("ran", waiting.get());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, primary.unsettled_day_count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_owner_service);
