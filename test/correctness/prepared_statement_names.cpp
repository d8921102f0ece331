// Guards against prepared statements whose text becomes part of a request: a database then reads other fields
// than were meant, and a name on a pooled connection stands for the statement of another caller.
#include "support/entry_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;

namespace {

class prepared_statement_names : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(prepared_statement_names);
    CPPUNIT_TEST(statement_of_several_words_is_executed_unchanged);
    CPPUNIT_TEST(statement_with_keywords_does_not_replace_that_of_another_caller);
    CPPUNIT_TEST(numbers_are_not_given_to_a_second_statement);
    CPPUNIT_TEST(connection_holds_a_limited_number_of_statements);
    CPPUNIT_TEST(connection_holds_a_limited_number_of_bytes);
    CPPUNIT_TEST(connection_of_many_sessions_deallocates_statements);
    CPPUNIT_TEST(transaction_with_many_statements_runs_each_of_them);
    CPPUNIT_TEST(session_state_is_limited);
    CPPUNIT_TEST(largest_messages_reach_the_database_or_are_refused);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t max_line_bytes = 1U << 20U; // Without the end of the line.

    // The text, extended so that its line has the size.
    static std::string extended_to(std::size_t size, const test::session_client& caller, std::string text) {
        // The ids of a caller have the same length until the number of its next digit.
        text.append(size - std::string("QUERY  ").size() - caller.last_id().size() - text.size(), 'x');
        return text;
    }

    static void assert_no_violation(test::entry_fleet& fleet) {
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.record().find_violation());
    }

    // Prepares and executes the statement often enough to use every connection to the primary.
    static void execute_everywhere(test::entry_fleet& fleet, const std::string& statement) {
        std::vector<std::unique_ptr<test::session_client>> callers;
        for (int index = 0; index < 6; ++index) {
            callers.push_back(fleet.open_session("latest"));
            CPPUNIT_ASSERT(callers.back()->ask("PREPARE s1 " + statement).succeeded());
            CPPUNIT_ASSERT(callers.back()->ask("BEGIN").succeeded());
            const auto reply = callers.back()->ask("EXECUTE s1 item data");
            CPPUNIT_ASSERT_MESSAGE(statement + ": " + reply.m_text, reply.succeeded());
        }
        for (const auto& caller : callers) {
            CPPUNIT_ASSERT(caller->ask("COMMIT").succeeded());
        }
    }

public:
    void statement_of_several_words_is_executed_unchanged() {
        test::entry_fleet fleet;
        for (const char* statement :
             {"READ q1 READ x", "WRITE q1 WRITE x", "READ q1 x", "READ READ READ", "READ q1 "}) {
            execute_everywhere(fleet, statement);
        }
        assert_no_violation(fleet);
    }

    void statement_with_keywords_does_not_replace_that_of_another_caller() {
        test::entry_fleet fleet;
        for (const char* statement : {"READ q1 READ at", "READ q1", "READ q2 WRITE x", "READ q2"}) {
            execute_everywhere(fleet, statement);
        }
        assert_no_violation(fleet);
    }

    void numbers_are_not_given_to_a_second_statement() {
        relay::statement_catalog catalog;
        const auto first = catalog.find_or_add({relay::access_kind::read, "q"});
        CPPUNIT_ASSERT(first == catalog.find_or_add({relay::access_kind::read, "q"}));
        CPPUNIT_ASSERT(first->m_number != catalog.find_or_add({relay::access_kind::write, "q"})->m_number);
        const auto third = catalog.find_or_add({relay::access_kind::write, "q"});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, third->m_number.value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, catalog.size());
    }

    void connection_holds_a_limited_number_of_statements() {
        relay::statement_catalog catalog;
        relay::held_statements held;
        const auto first = catalog.find_or_add({relay::access_kind::read, "first"});
        CPPUNIT_ASSERT(held.add(first).empty());
        for (std::size_t index = 1; index < relay::max_held_statements; ++index) {
            CPPUNIT_ASSERT(
                held.add(catalog.find_or_add({relay::access_kind::read, std::to_string(index)})).empty());
        }
        CPPUNIT_ASSERT(held.use(first));
        const auto dropped = held.add(catalog.find_or_add({relay::access_kind::read, "last"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dropped.size());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), dropped.front()->m_statement.m_template);
        CPPUNIT_ASSERT(held.use(first) && !held.use(dropped.front()));
    }

    void connection_holds_a_limited_number_of_bytes() {
        relay::statement_catalog catalog;
        relay::held_statements held;
        const std::string half(relay::max_held_bytes / 2, 'x');
        held.add(catalog.find_or_add({relay::access_kind::read, half}));
        held.add(catalog.find_or_add({relay::access_kind::write, half}));
        const std::string whole(2 * relay::max_held_bytes, 'x');
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             held.add(catalog.find_or_add({relay::access_kind::read, whole})).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             held.add(catalog.find_or_add({relay::access_kind::read, "q"})).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, catalog.size());
    }

    void connection_of_many_sessions_deallocates_statements() {
        test::entry_fleet fleet;
        for (std::size_t index = 0; index < 3 * relay::max_held_statements; ++index) {
            const auto caller = fleet.open_session("latest");
            CPPUNIT_ASSERT(caller->ask("PREPARE s1 WRITE q" + std::to_string(index)).succeeded());
            CPPUNIT_ASSERT(caller->ask("EXECUTE s1 item data").succeeded());
        }
        CPPUNIT_ASSERT(fleet.primary().max_prepared() <= relay::max_held_statements + 1);
        assert_no_violation(fleet);
    }

    void transaction_with_many_statements_runs_each_of_them() {
        test::entry_fleet fleet;
        const auto caller = fleet.open_session("latest");
        CPPUNIT_ASSERT(caller->ask("BEGIN").succeeded());
        for (std::size_t index = 0; index < 2 * relay::max_held_statements; ++index) {
            const std::string name = "s" + std::to_string(index % (relay::max_held_statements + 10));
            caller->ask("PREPARE " + name + " READ q" + std::to_string(index));
            CPPUNIT_ASSERT(caller->ask("EXECUTE " + name + " item").succeeded());
            CPPUNIT_ASSERT(caller->ask("EXECUTE s0 item").succeeded());
        }
        CPPUNIT_ASSERT(caller->ask("COMMIT").succeeded());
        assert_no_violation(fleet);
    }

    void session_state_is_limited() {
        test::entry_fleet fleet;
        const relay::session_state_limits limits;
        const auto many = fleet.open_session("own");
        for (std::size_t index = 0; index < limits.m_max_entries; ++index) {
            CPPUNIT_ASSERT(many->ask("PREPARE s" + std::to_string(index) + " READ q").succeeded());
        }
        CPPUNIT_ASSERT_EQUAL(std::string("FAILED"), many->ask("SET name value").m_code);
        CPPUNIT_ASSERT(many->ask("PREPARE s1 READ another").succeeded());
        CPPUNIT_ASSERT(many->ask("DEALLOCATE s2").succeeded());
        CPPUNIT_ASSERT(many->ask("SET name value").succeeded());
        const std::string large(max_line_bytes - 100, 'x');
        const auto wide = fleet.open_session("own");
        for (std::size_t index = 0; index < limits.m_max_bytes / max_line_bytes; ++index) {
            CPPUNIT_ASSERT(wide->ask("SET v" + std::to_string(index) + " " + large).succeeded());
        }
        CPPUNIT_ASSERT(wide->ask("READ item").succeeded());
        CPPUNIT_ASSERT_EQUAL(std::string("FAILED"), wide->ask("SET w " + large).m_code);
        assert_no_violation(fleet);
    }

    // Every line that a database receives has at most 1 MiB, or the size that the caller sent.
    void largest_messages_reach_the_database_or_are_refused() {
        test::entry_fleet fleet;
        for (const char* route : {"latest", "own", "aged"}) {
            const auto caller = fleet.open_session(route);
            CPPUNIT_ASSERT(caller->ask("PREPARE s WRITE q").succeeded());
            CPPUNIT_ASSERT(caller->ask("READ " + std::string(max_line_bytes - 30, 'x')).succeeded());
            CPPUNIT_ASSERT(caller->ask("WRITE a " + std::string(max_line_bytes - 30, 'x')).succeeded());
            CPPUNIT_ASSERT_EQUAL(std::string("MALFORMED"),
                                 caller->ask(extended_to(max_line_bytes, *caller, "EXECUTE s a ")).m_code);
            CPPUNIT_ASSERT_EQUAL(std::string("MALFORMED"),
                                 caller->ask(extended_to(max_line_bytes, *caller, "PREPARE t READ ")).m_code);
            CPPUNIT_ASSERT(caller->ask("EXECUTE s a " + std::string(max_line_bytes - 50, 'x')).succeeded());
        }
        assert_no_violation(fleet);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(prepared_statement_names);
