// Guards against an encoder or a decoder that deviates from the platform's line protocol. The platform's
// callers and databases would reject such messages or misread them.
#include "platform/line_protocol.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;

namespace {

const core::history_position some_position{core::term(3), core::log_position(1207)};

std::string encode_request(const relay::database_request& request) {
    std::string out;
    platform::line_protocol().encode_request(request, out);
    return out;
}

class platform_line_protocol : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_line_protocol);
    CPPUNIT_TEST(a_read_carries_the_required_position);
    CPPUNIT_TEST(statements_of_the_relay_carry_no_id);
    CPPUNIT_TEST(a_startup_names_service_and_expected_endpoint);
    CPPUNIT_TEST(an_answer_has_rows_signature_state_and_position);
    CPPUNIT_TEST(an_error_decodes_to_its_refusal_and_state);
    CPPUNIT_TEST(a_status_row_holds_role_term_and_position);
    CPPUNIT_TEST(every_refusal_has_a_distinct_keyword);
    CPPUNIT_TEST_SUITE_END();

    static void a_read_carries_the_required_position() {
        const relay::database_request read{
            .m_id = "5c0e", .m_min_position = some_position, .m_argument = "READ 1a4"};
        CPPUNIT_ASSERT_EQUAL(std::string("QUERY 5c0e AFTER 3.1207 READ 1a4\r\n"), encode_request(read));
    }
    static void statements_of_the_relay_carry_no_id() {
        CPPUNIT_ASSERT_EQUAL(std::string("QUERY - BEGIN\r\n"),
                             encode_request({.m_kind = relay::request_kind::begin}));
        CPPUNIT_ASSERT_EQUAL(
            std::string("QUERY - PAUSE 7\r\n"),
            encode_request({.m_kind = relay::request_kind::pause_replication, .m_term = core::term(7)}));
        CPPUNIT_ASSERT_EQUAL(std::string("QUERY - PREPARE w_q WRITE q\r\n"),
                             encode_request({.m_kind = relay::request_kind::prepare,
                                             .m_name = "w_q",
                                             .m_argument = "q",
                                             .m_access = relay::access_kind::write}));
    }
    static void a_startup_names_service_and_expected_endpoint() {
        registry::endpoint_report target;
        target.m_service = core::service_name("huvo11a");
        target.m_id = core::endpoint_id("i-7f3a");
        std::string out;
        platform::line_protocol().encode_startup(target, std::nullopt, out);
        CPPUNIT_ASSERT_EQUAL(std::string("STARTUP huvo11a mangoquay i-7f3a\r\n"), out);
    }
    static void an_answer_has_rows_signature_state_and_position() {
        const std::string bytes = "ROW a b\r\nROW c\r\nCOMPLETE 7.1f\r\nREADY T 3.1207\r\n";
        entry::partial_answer answer;
        std::size_t offset = 0;
        const platform::line_protocol protocol;
        CPPUNIT_ASSERT(protocol.decode_answer(bytes, offset, answer) == entry::answer_progress::complete);
        CPPUNIT_ASSERT(answer.m_answer.m_rows == (std::vector<std::string>{"a b", "c"}));
        CPPUNIT_ASSERT_EQUAL(std::string("7.1f"), answer.m_answer.m_text);
        CPPUNIT_ASSERT(answer.m_answer.m_position == some_position);
        relay::session_answer reply{
            .m_rows = answer.m_answer.m_rows, .m_text = "7.1f", .m_state = relay::transaction_state::open};
        reply.m_position = some_position;
        std::string out;
        protocol.encode_answer(reply, out);
        CPPUNIT_ASSERT_EQUAL(bytes, out);
    }
    static void an_error_decodes_to_its_refusal_and_state() {
        entry::partial_answer answer;
        std::size_t offset = 0;
        const platform::line_protocol protocol;
        protocol.decode_answer("ERROR READONLY i-7f3a\r\nREADY E 3.1209\r\n", offset, answer);
        CPPUNIT_ASSERT(answer.m_answer.m_refusal == relay::refusal::read_only);
        CPPUNIT_ASSERT(answer.m_answer.m_state == relay::transaction_state::failed);
    }
    static void a_status_row_holds_role_term_and_position() {
        const platform::line_protocol protocol;
        const auto status = protocol.decode_status("replica 3 3.1207 0 12 2 17");
        CPPUNIT_ASSERT(status && !status->m_is_primary && status->m_received == some_position);
        CPPUNIT_ASSERT(!protocol.decode_status("arbiter 3 3.1207 0 12 2 17"));
        CPPUNIT_ASSERT(!protocol.decode_status("replica x"));
    }
    static void every_refusal_has_a_distinct_keyword() {
        const platform::line_protocol protocol;
        for (int value = 0; value <= static_cast<int>(relay::refusal::malformed); ++value) {
            const auto reason = static_cast<relay::refusal>(value);
            std::string bytes;
            protocol.encode_refusal(reason, "text", bytes);
            bytes += "READY I -\r\n";
            entry::partial_answer answer;
            std::size_t offset = 0;
            protocol.decode_answer(bytes, offset, answer);
            CPPUNIT_ASSERT(answer.m_answer.m_refusal == reason);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_line_protocol);

} // namespace
