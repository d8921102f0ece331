// Guards the guarantees to callers when connections fail, replicas lag or primaries change: no lost or
// repeated write, no read that misses a commit that it must see, and no statement in a foreign transaction or
// with foreign session values. The relay core runs in a simulation of databases that lose answers, lag and
// change their primary. For each check a fault is injected that the check must detect.
#include "support/property_check.h"
#include "support/relay_simulation.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace mangoquay::test;

namespace {

constexpr std::uint64_t injected_fault_seeds = 200;
// Fewer than one for each host, so that every connection is lent.
constexpr std::uint32_t scarce_connections = 3;

constexpr int process_event_seeds = 25;

std::string violation_of(const relay_simulation_options& options) {
    relay_simulation simulation(options);
    simulation.run();
    return simulation.violation();
}

void check_holds(const relay_simulation_options& options) {
    CPPUNIT_ASSERT(rc::check("the guarantees to callers hold", [&options] {
        relay_simulation_options seeded = options;
        seeded.m_seed = *rc::gen::arbitrary<std::uint32_t>();
        const std::string violation = violation_of(seeded);
        RC_LOG() << violation;
        RC_ASSERT(violation.empty());
    }));
}

void check_detects(const injected_faults& faults, bool lent_connections = false) {
    relay_simulation_options options;
    options.m_lent_connections = lent_connections;
    options.m_connections = lent_connections ? scarce_connections : options.m_connections;
    options.m_injected_faults = faults;
    bool detected = false;
    for (std::uint64_t seed = 1; seed <= injected_fault_seeds && !detected; ++seed) {
        options.m_seed = seed;
        detected = !violation_of(options).empty();
    }
    CPPUNIT_ASSERT_MESSAGE("the injected fault was not detected", detected);
}

void check_holds_with(const process_events& events, relay_simulation_options options = {}) {
    options.m_events = events;
    CPPUNIT_ASSERT(meets_expectation(
        expectation::holds,
        [&options] {
            relay_simulation_options seeded = options;
            seeded.m_seed = *rc::gen::arbitrary<std::uint32_t>();
            const std::string violation = violation_of(seeded);
            RC_LOG() << violation;
            RC_ASSERT(violation.empty());
        },
        process_event_seeds));
}

class relay_safety : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(relay_safety);
    CPPUNIT_TEST(writes_succeed_without_faults);
    CPPUNIT_TEST(guarantees_hold_when_connections_fail);
    CPPUNIT_TEST(guarantees_hold_when_primaries_change_and_replicas_lag);
    CPPUNIT_TEST(guarantees_hold_when_connections_are_scarce);
    CPPUNIT_TEST(guarantees_hold_with_nine_databases);
    CPPUNIT_TEST(writes_succeed_over_lent_connections_without_faults);
    CPPUNIT_TEST(guarantees_hold_over_lent_connections);
    CPPUNIT_TEST(guarantees_hold_when_old_primaries_go_on);
    CPPUNIT_TEST(guarantees_hold_over_lent_connections_when_old_primaries_go_on);
    CPPUNIT_TEST(a_planned_stop_answers_every_statement);
    CPPUNIT_TEST(guarantees_hold_when_processes_fail_and_pause);
    CPPUNIT_TEST(guarantees_hold_over_lent_connections_when_processes_fail_and_pause);
    CPPUNIT_TEST(guarantees_hold_when_old_primaries_go_on_and_processes_fail);
    CPPUNIT_TEST(session_values_of_rolled_back_transactions_are_set_again);
    CPPUNIT_TEST(statements_behind_a_refused_one_are_answered);
    CPPUNIT_TEST(own_commit_at_another_service_is_not_required);
    CPPUNIT_TEST(reads_prepared_while_their_route_moves_are_fresh);
    CPPUNIT_TEST(loan_lost_before_its_first_answer_is_requested_again);
    CPPUNIT_TEST(endpoints_that_return_stay_lent);
    CPPUNIT_TEST(other_shape_under_a_prepared_name_is_detected);
    CPPUNIT_TEST(text_in_the_name_of_a_prepared_statement_is_detected);
    CPPUNIT_TEST(changed_statement_is_detected);
    CPPUNIT_TEST(open_transaction_after_a_rollback_is_detected);
    CPPUNIT_TEST(leases_that_do_not_end_are_detected);
    CPPUNIT_TEST(read_without_min_position_is_detected);
    CPPUNIT_TEST(read_without_primary_check_is_detected);
    CPPUNIT_TEST(missing_session_values_are_detected);
    CPPUNIT_TEST(executed_write_reported_as_busy_is_detected);
    CPPUNIT_TEST(answer_to_another_statement_is_detected);
    CPPUNIT_TEST(session_values_that_a_reset_leaves_are_detected);
    CPPUNIT_TEST(session_values_that_a_borrower_conceals_do_not_reach_the_next_one);
    CPPUNIT_TEST(open_transaction_on_a_returned_connection_is_detected);
    CPPUNIT_TEST_SUITE_END();

    static void writes_succeed_without_faults() {
        relay_simulation_options options;
        options.m_promotions = false;
        options.m_connection_faults = false;
        options.m_lag = false;
        relay_simulation simulation(options);
        simulation.run();
        CPPUNIT_ASSERT_EQUAL(std::string(), simulation.violation());
        CPPUNIT_ASSERT(simulation.succeeded() > 20);
    }
    static void guarantees_hold_when_connections_fail() {
        relay_simulation_options options;
        options.m_promotions = false;
        check_holds(options);
    }
    static void guarantees_hold_when_primaries_change_and_replicas_lag() { check_holds({}); }
    static void guarantees_hold_when_connections_are_scarce() {
        relay_simulation_options options;
        options.m_connections = 8; // One of them is for this host.
        check_holds(options);
    }
    static void guarantees_hold_with_nine_databases() {
        relay_simulation_options options;
        options.m_databases = 9;
        check_holds(options);
    }
    static void writes_succeed_over_lent_connections_without_faults() {
        relay_simulation_options options;
        options.m_promotions = false;
        options.m_connection_faults = false;
        options.m_lag = false;
        options.m_lent_connections = true;
        options.m_connections = scarce_connections;
        relay_simulation simulation(options);
        simulation.run();
        CPPUNIT_ASSERT_EQUAL(std::string(), simulation.violation());
        CPPUNIT_ASSERT(simulation.succeeded() > 20);
    }
    // Lenders and messages are lost, and connections of lenders break or stop delivering answers.
    static void guarantees_hold_over_lent_connections() {
        relay_simulation_options options;
        options.m_lent_connections = true;
        options.m_connections = scarce_connections;
        check_holds(options);
    }
    // An old primary acknowledges writes and answers fresh reads until it steps down.
    static void guarantees_hold_when_old_primaries_go_on() {
        relay_simulation_options options;
        options.m_leased = true;
        check_holds(options);
    }
    static void guarantees_hold_over_lent_connections_when_old_primaries_go_on() {
        relay_simulation_options options;
        options.m_leased = true;
        options.m_lent_connections = true;
        options.m_connections = scarce_connections;
        check_holds(options);
    }
    // Guards against a process that ends while a statement is in progress: transactions whose statements
    // follow each other went on until the end, as did single statements on sessions that stayed open.
    // Refusals of the stopping host have to be as true as others.
    static void a_planned_stop_answers_every_statement() {
        for (const std::int64_t max_run_ms : {40, 320, 900}) {
            for (const bool lent : {false, true}) {
                CPPUNIT_ASSERT(rc::check("a planned stop answers every statement", [&] {
                    relay_simulation_options options;
                    options.m_seed = *rc::gen::arbitrary<std::uint32_t>();
                    options.m_operations = 100'000;
                    options.m_max_run_ms = max_run_ms;
                    options.m_max_transaction_statements = 12;
                    options.m_promotions = false;
                    options.m_lent_connections = lent;
                    options.m_connections = lent ? scarce_connections : options.m_connections;
                    options.m_stop_after = mangoquay::core::milliseconds(500 + options.m_seed % 2500);
                    const std::string violation = violation_of(options);
                    RC_LOG() << violation;
                    RC_ASSERT(violation.empty());
                }));
            }
        }
    }
    // Databases and hosts restart, pause and change while statements are in progress.
    static void guarantees_hold_when_processes_fail_and_pause() {
        check_holds_with(process_events::all());
        relay_simulation_options scarce;
        scarce.m_connections = 8;
        check_holds_with(process_events::all(), scarce);
    }
    static void guarantees_hold_over_lent_connections_when_processes_fail_and_pause() {
        relay_simulation_options options;
        options.m_lent_connections = true;
        options.m_connections = scarce_connections;
        check_holds_with(process_events::all(), options);
    }
    static void guarantees_hold_when_old_primaries_go_on_and_processes_fail() {
        relay_simulation_options options;
        options.m_leased = true;
        process_events events = process_events::all();
        events.m_route_changes = false;
        check_holds_with(events, options);
    }
    // Guards against a statement that runs without values or prepared statements that a transaction set and a
    // rollback of the database discarded.
    static void session_values_of_rolled_back_transactions_are_set_again() {
        check_holds_with({.m_rolled_back_values = true});
    }
    // Guards against a session whose further statements are never started after a refusal during the
    // preparation of a connection.
    static void statements_behind_a_refused_one_are_answered() {
        check_holds_with({.m_pauses = true, .m_pipelined_statements = true});
    }
    // Guards against reads that require the position of a commit at the service that the route had before,
    // and against the loss of that requirement once the route is back.
    static void own_commit_at_another_service_is_not_required() {
        check_holds_with({.m_route_changes = true});
    }
    // Guards against a read that requires a position of the new service, or none, at the former service on
    // whose connection it was prepared.
    static void reads_prepared_while_their_route_moves_are_fresh() {
        relay_simulation_options options;
        options.m_events.m_route_changes = true;
        for (options.m_seed = 320; options.m_seed < 340; ++options.m_seed) {
            CPPUNIT_ASSERT_EQUAL(std::string(), violation_of(options));
        }
    }
    // Guards against a statement that waits until it is refused for a loan that was lost before.
    static void loan_lost_before_its_first_answer_is_requested_again() {
        relay_simulation_options options;
        options.m_lent_connections = true;
        options.m_connections = scarce_connections;
        check_holds_with({.m_database_faults = true}, options);
    }
    // Guards against own connections to a lent endpoint that disappeared for a while.
    static void endpoints_that_return_stay_lent() {
        relay_simulation_options options;
        options.m_lent_connections = true;
        options.m_connections = scarce_connections;
        check_holds_with({.m_endpoint_changes = true}, options);
    }
    static void other_shape_under_a_prepared_name_is_detected() { check_detects({.m_mix_up_shapes = true}); }
    static void text_in_the_name_of_a_prepared_statement_is_detected() {
        check_detects({.m_name_by_text = true});
    }
    static void changed_statement_is_detected() { check_detects({.m_change_texts = true}); }
    static void open_transaction_after_a_rollback_is_detected() {
        check_detects({.m_leave_transaction_open = true});
    }
    static void leases_that_do_not_end_are_detected() {
        bool detected = false;
        for (std::uint64_t seed = 1; seed <= injected_fault_seeds && !detected; ++seed) {
            relay_simulation_options options;
            options.m_seed = seed;
            options.m_leased = true;
            options.m_injected_faults = {.m_endless_leases = true};
            detected = !violation_of(options).empty();
        }
        CPPUNIT_ASSERT_MESSAGE("the injected fault was not detected", detected);
    }
    static void read_without_min_position_is_detected() { check_detects({.m_drop_min_positions = true}); }
    static void read_without_primary_check_is_detected() { check_detects({.m_skip_primary_check = true}); }
    static void missing_session_values_are_detected() { check_detects({.m_drop_session_values = true}); }
    static void executed_write_reported_as_busy_is_detected() {
        check_detects({.m_report_in_doubt_as_busy = true});
    }
    static void answer_to_another_statement_is_detected() { check_detects({.m_mix_up_answers = true}); }
    static void open_transaction_on_a_returned_connection_is_detected() {
        check_detects({.m_return_in_transaction = true}, true);
    }
    static void session_values_that_a_reset_leaves_are_detected() {
        check_detects({.m_keep_session_state = true}, true);
    }
    // Guards against lenders that rely on what a borrower says of a connection that it returns.
    static void session_values_that_a_borrower_conceals_do_not_reach_the_next_one() {
        relay_simulation_options options;
        options.m_lent_connections = true;
        options.m_connections = scarce_connections;
        options.m_injected_faults = {.m_return_with_session_values = true};
        check_holds_with({}, options);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_safety);

} // namespace
