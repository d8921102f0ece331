// Guards against two failures: log positions, timelines or error codes of PostgreSQL are misread; a caller's
// statement begins or ends a transaction that the proxy manages, because the dialect does not recognize it.
#include "dialect/postgres_dialect.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace mangoquay;

class postgres_texts : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(postgres_texts);
    CPPUNIT_TEST(positions_round_trip);
    CPPUNIT_TEST(status_row_is_read);
    CPPUNIT_TEST(malformed_status_rows_are_refused);
    CPPUNIT_TEST(error_codes_are_classified);
    CPPUNIT_TEST(transaction_control_is_recognised);
    CPPUNIT_TEST_SUITE_END();

    dialect::postgres_dialect m_dialect;

public:
    void positions_round_trip() {
        CPPUNIT_ASSERT_EQUAL(std::string("16/B374D848"),
                             m_dialect.format_position(core::log_position{0x16B374D848U}));
        CPPUNIT_ASSERT(rc::check("positions round trip", [this](std::uint64_t number) {
            const core::log_position position{number};
            RC_ASSERT(m_dialect.parse_position(m_dialect.format_position(position)) == position);
        }));
        for (const char* text : {"", "/", "1/", "/1", "1/100000000", "x/1", "1/1 "}) {
            CPPUNIT_ASSERT(!m_dialect.parse_position(text).has_value());
        }
    }

    void status_row_is_read() {
        const auto status = m_dialect.parse_status({"t", "4", "0/78", "0/80", std::nullopt});
        CPPUNIT_ASSERT(status && status->m_is_replica && status->m_primary_conninfo.empty());
        const core::history_position applied{core::term{4}, core::log_position{0x78}};
        CPPUNIT_ASSERT(status->m_applied == applied);
    }

    void malformed_status_rows_are_refused() {
        CPPUNIT_ASSERT(!m_dialect.parse_status({}));
        CPPUNIT_ASSERT(!m_dialect.parse_status({"t", "4", std::nullopt, "0/80", ""}));
        CPPUNIT_ASSERT(!m_dialect.parse_status({"t", "-4", "0/78", "0/80", ""}));
    }

    void error_codes_are_classified() {
        using dialect::error_class;
        CPPUNIT_ASSERT(m_dialect.classify_error("23505") == error_class::statement_refused);
        CPPUNIT_ASSERT(m_dialect.classify_error("40001") == error_class::transaction_conflict);
        CPPUNIT_ASSERT(m_dialect.classify_error("40003") == error_class::session_ended);
        CPPUNIT_ASSERT(m_dialect.classify_error("25006") == error_class::not_writable);
        CPPUNIT_ASSERT(m_dialect.classify_error("57P01") == error_class::session_ended);
        CPPUNIT_ASSERT(m_dialect.classify_error("57014") == error_class::statement_refused);
    }

    void transaction_control_is_recognised() {
        for (const char* sql :
             {"COMMIT", " commit;", "/* a /* b */ */ End", "-- x\nABORT", "start transaction",
              "PREPARE TRANSACTION 'a'", "rollback", "ROLLBACK WORK", ";COMMIT"}) {
            CPPUNIT_ASSERT_MESSAGE(sql, m_dialect.controls_transaction(sql));
        }
        for (const char* sql : {"SELECT 1", "rollback to savepoint a", "ROLLBACK WORK TO a", "SAVEPOINT a",
                                "prepare a as select 1", "", "/* COMMIT"}) {
            CPPUNIT_ASSERT_MESSAGE(sql, !m_dialect.controls_transaction(sql));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(postgres_texts);
