// Guards against a decoder that fails on arbitrary bytes from the network, reads past the end of a message,
// decodes a message before its end has arrived, or buffers a message without an end beyond the size limit.
#include "platform/line_protocol.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace mangoquay;
using entry::message_kind;

namespace {

std::vector<message_kind> decode_all(const std::string& bytes) {
    const platform::line_protocol protocol;
    std::vector<message_kind> kinds;
    std::size_t offset = 0;
    while (const auto message = protocol.decode_caller_message(bytes, offset)) {
        kinds.push_back(message->m_kind);
        if (message->m_kind == message_kind::too_long) {
            break;
        }
    }
    return kinds;
}

// Generates keywords of the protocol, spaces and invalid bytes in any order.
rc::Gen<std::string> arbitrary_bytes() {
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
                            "STARTUP", "QUERY", "TERMINATE", "READY", "ROW", "COMPLETE", "ERROR", " ", "  ",
                            "\r\n", "\r", "\n", std::string(1, '\0'), "BEGIN", "READ", "WRITE", "EXECUTE",
                            "PREPARE", "SET", "-", "1.2", "T", "I", "\xff\xfe", "99999999999999999999.1")),
                        [](const std::vector<std::string>& parts) {
                            std::string bytes;
                            for (const std::string& part : parts) {
                                bytes += part;
                            }
                            return bytes;
                        });
}

class platform_line_input : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_line_input);
    CPPUNIT_TEST(any_bytes_decode_to_complete_lines);
    CPPUNIT_TEST(any_answer_bytes_are_decoded_within_bounds);
    CPPUNIT_TEST(an_incomplete_message_is_not_decoded);
    CPPUNIT_TEST(a_message_without_an_end_is_rejected_above_the_limit);
    CPPUNIT_TEST(a_statement_cannot_carry_another);
    CPPUNIT_TEST(incomplete_statements_are_malformed);
    CPPUNIT_TEST(an_answer_without_outcome_is_not_marked_complete);
    CPPUNIT_TEST_SUITE_END();

    static void any_bytes_decode_to_complete_lines() {
        CPPUNIT_ASSERT(rc::check("one message for each complete line", [] {
            const std::string bytes = *arbitrary_bytes();
            std::size_t lines = 0;
            for (std::size_t at = bytes.find("\r\n"); at != std::string::npos;
                 at = bytes.find("\r\n", at + 2)) {
                ++lines;
            }
            RC_ASSERT(decode_all(bytes).size() == lines);
        }));
    }
    static void any_answer_bytes_are_decoded_within_bounds() {
        CPPUNIT_ASSERT(rc::check("an answer is complete, incomplete or malformed", [] {
            const platform::line_protocol protocol;
            const std::string bytes = *arbitrary_bytes();
            std::size_t offset = 0;
            entry::partial_answer answer;
            protocol.decode_answer(bytes, offset, answer);
            RC_ASSERT(offset <= bytes.size());
        }));
    }
    static void an_incomplete_message_is_not_decoded() {
        CPPUNIT_ASSERT(rc::check("nothing is decoded before its end has arrived", [] {
            const std::string whole = "QUERY 5c0e EXECUTE s1 1a4 " + *arbitrary_bytes();
            const auto end = whole.find("\r\n");
            const auto cut = *rc::gen::inRange<std::size_t>(0, std::min(end, whole.size()) + 1);
            RC_ASSERT(decode_all(whole.substr(0, cut)).empty());
        }));
    }
    static void a_message_without_an_end_is_rejected_above_the_limit() {
        const std::string longest_message(platform::max_message_bytes, 'x');
        CPPUNIT_ASSERT(decode_all(longest_message).empty());
        CPPUNIT_ASSERT(decode_all(longest_message + "x") == std::vector{message_kind::too_long});
    }
    static void a_statement_cannot_carry_another() {
        CPPUNIT_ASSERT(decode_all("QUERY 1 WRITE a b\nQUERY 2 WRITE a c\r\n") ==
                       std::vector{message_kind::malformed});
        CPPUNIT_ASSERT(decode_all("QUERY - BEGIN\r\n") == std::vector{message_kind::malformed});
    }
    static void incomplete_statements_are_malformed() {
        for (const char* text : {"READ", "WRITE", "SET", "PREPARE s1 WRITE", "PREPARE s1 OTHER q", "EXECUTE",
                                 "BEGIN WRITE", "COMMIT now", "AFTER 3.1 READ x", ""}) {
            const auto statement = platform::decode_statement("1", text);
            CPPUNIT_ASSERT_MESSAGE(text, statement.m_kind == relay::statement_kind::malformed);
        }
    }
    static void an_answer_without_outcome_is_not_marked_complete() {
        const platform::line_protocol protocol;
        entry::partial_answer answer;
        std::size_t offset = 0;
        const auto progress = protocol.decode_answer("ROW a\r\nREADY I 3.7\r\n", offset, answer);
        CPPUNIT_ASSERT(progress == entry::answer_progress::complete);
        CPPUNIT_ASSERT(!answer.m_complete);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_line_input);

} // namespace
