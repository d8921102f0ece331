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
    CPPUNIT_TEST_SUITE_END();

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
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(prepared_statement_names);
