// Guards against texts of callers, databases or hosts that move the end of a field or of a message, so that
// the other side reads something else than was meant.
#include "entry/database_connection.h"
#include "platform/line_protocol.h"
#include "support/protocol_reader.h"
#include "support/protocol_texts.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <array>
#include <memory>
#include <optional>
#include <random>

using namespace mangoquay;
using relay::request_kind;
using relay::statement_kind;

namespace {

constexpr std::size_t max_line_bytes = platform::max_message_bytes;
constexpr const char* line_end = "\r\n";

test::draw_below seeded_draws() {
    const auto random = std::make_shared<std::mt19937_64>(*rc::gen::arbitrary<std::uint32_t>());
    return [random](std::uint64_t bound) { return (*random)() % bound; };
}

std::string encode(const relay::database_request& request) {
    std::string out;
    platform::line_protocol().encode_request(request, out);
    return out;
}

// The fields that a database has to read.
std::vector<std::string> meant_fields(const relay::database_request& request) {
    const std::string access = request.m_access == relay::access_kind::write ? "WRITE" : "READ";
    switch (request.m_kind) {
    case request_kind::execute:
    case request_kind::set_value:
        return {request.m_name, request.m_argument};
    case request_kind::prepare:
        return {request.m_name, access, request.m_argument};
    case request_kind::deallocate:
        return {request.m_name};
    case request_kind::pause_replication:
    case request_kind::step_down:
        return {std::to_string(request.m_term.value())};
    default:
        return {};
    }
}

const char* meant_word(request_kind kind) {
    // In the order of request_kind.
    constexpr std::array words{"",       "EXECUTE",    "RESET",     "SET",    "PREPARE",
                               "BEGIN",  "BEGIN READ", "ROLLBACK",  "STATUS", "PAUSE",
                               "RESUME", "STEPDOWN",   "DEALLOCATE"};
    return words.at(static_cast<std::size_t>(kind));
}

relay::database_request draw_request(const test::draw_below& draw) {
    relay::database_request request;
    request.m_kind =
        static_cast<request_kind>(draw(static_cast<std::uint64_t>(request_kind::deallocate) + 1));
    const bool is_callers =
        request.m_kind == request_kind::forward || request.m_kind == request_kind::execute;
    request.m_id = is_callers ? test::draw_field(draw) : "";
    request.m_name = test::draw_field(draw);
    request.m_argument = test::draw_last_field(draw);
    if (request.m_kind == request_kind::forward) {
        request.m_argument = (draw(2) == 0 ? "READ " : "WRITE i ") + request.m_argument;
    }
    request.m_access = draw(2) == 0 ? relay::access_kind::read : relay::access_kind::write;
    request.m_term = core::term(static_cast<std::uint32_t>(draw(1000)));
    if ((is_callers || request.m_kind == request_kind::begin_read_only) && draw(2) == 0) {
        request.m_min_position = core::history_position{core::term(3), core::log_position(draw(1000))};
    }
    return request;
}

class platform_line_boundaries : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_line_boundaries);
    CPPUNIT_TEST(database_reads_the_fields_that_were_meant);
    CPPUNIT_TEST(statement_of_a_caller_is_sent_on_with_its_fields);
    CPPUNIT_TEST(request_with_a_boundary_in_a_field_cannot_be_encoded);
    CPPUNIT_TEST(database_that_cannot_be_named_is_not_connected_to);
    CPPUNIT_TEST(request_beyond_the_size_limit_cannot_be_encoded);
    CPPUNIT_TEST(caller_reads_the_answer_that_was_meant);
    CPPUNIT_TEST(line_size_is_judged_alike_in_any_pieces);
    CPPUNIT_TEST(message_in_pieces_is_noticed_when_it_is_complete);
    CPPUNIT_TEST(answer_with_two_outcomes_is_malformed);
    CPPUNIT_TEST(incomplete_statements_are_malformed);
    CPPUNIT_TEST_SUITE_END();

    static void database_reads_the_fields_that_were_meant() {
        CPPUNIT_ASSERT(rc::check("the fields that a database reads are those of the request", [] {
            const relay::database_request meant = draw_request(seeded_draws());
            RC_ASSERT(platform::line_protocol().can_encode(meant));
            const auto lines = test::split_lines(encode(meant));
            RC_ASSERT(lines.size() == 1U);
            const auto read = test::read_request_line(lines.front());
            RC_ASSERT(read.has_value());
            RC_ASSERT(read->m_id == (meant.m_id.empty() ? "-" : meant.m_id));
            RC_ASSERT(read->m_after.empty() == !meant.m_min_position.has_value());
            if (meant.m_kind == request_kind::forward) {
                RC_ASSERT(read->m_text == meant.m_argument);
            } else {
                RC_ASSERT(read->m_word == meant_word(meant.m_kind));
                RC_ASSERT(read->m_fields == meant_fields(meant));
            }
        }));
    }

    // Any line that the protocol allows a caller to send: what is decoded from it and encoded again has the
    // same fields, but for the name of a prepared statement.
    static void statement_of_a_caller_is_sent_on_with_its_fields() {
        CPPUNIT_ASSERT(rc::check("a caller's statement keeps its fields", [] {
            const auto draw = seeded_draws();
            const std::string name = test::draw_field(draw);
            const std::string last = test::draw_last_field(draw);
            const std::string id = "q" + test::draw_field(draw);
            const std::vector<std::string> texts{"READ " + last,
                                                 "WRITE " + name + " " + last,
                                                 "SET " + name + " " + last,
                                                 "SET " + name + " ",
                                                 "PREPARE " + name + " READ " + last,
                                                 "PREPARE " + name + " WRITE " + last,
                                                 "EXECUTE " + name + " " + last,
                                                 "DEALLOCATE " + name,
                                                 "BEGIN",
                                                 "BEGIN READ",
                                                 "COMMIT",
                                                 "ROLLBACK"};
            const std::string& text = texts.at(draw(texts.size()));
            const std::string bytes = "QUERY " + id + " " + text + line_end;
            std::size_t offset = 0;
            const auto message = platform::line_protocol().decode_caller_message(bytes, offset);
            RC_ASSERT(message.has_value() && offset == bytes.size());
            RC_ASSERT(message->m_kind == entry::message_kind::statement);
            const relay::session_statement& statement = message->m_statement;
            RC_ASSERT(statement.m_kind != statement_kind::malformed);
            RC_ASSERT(statement.m_id == id && statement.m_text == text);
            const auto sent = test::read_request_line("QUERY " + id + " " + text);
            RC_ASSERT(sent.has_value());
            if (statement.m_kind == statement_kind::execute ||
                statement.m_kind == statement_kind::set_value) {
                const bool executes = statement.m_kind == statement_kind::execute;
                const auto read = test::read_request_line(
                    test::split_lines(
                        encode({.m_kind = executes ? request_kind::execute : request_kind::set_value,
                                .m_id = statement.m_id,
                                .m_name = statement.m_name,
                                .m_argument = statement.m_argument}))
                        .front());
                RC_ASSERT(read.has_value() && read->m_text == text);
            } else if (statement.m_kind == statement_kind::prepare) {
                RC_ASSERT(statement.m_name == name && statement.m_argument == last);
            }
        }));
    }

    static void request_with_a_boundary_in_a_field_cannot_be_encoded() {
        const platform::line_protocol protocol;
        for (const std::string& part :
             std::vector<std::string>{" ", "\r", "\n", "\r\n", std::string(1, '\0')}) {
            const std::string text = "a" + part + "b";
            CPPUNIT_ASSERT(!protocol.can_encode({.m_id = text, .m_argument = "READ a"}));
            for (const auto kind : {request_kind::execute, request_kind::set_value, request_kind::prepare,
                                    request_kind::deallocate}) {
                CPPUNIT_ASSERT(!protocol.can_encode({.m_kind = kind, .m_name = text, .m_argument = "a"}));
                CPPUNIT_ASSERT(!protocol.can_encode({.m_kind = kind, .m_name = "", .m_argument = "a"}));
                CPPUNIT_ASSERT_EQUAL(
                    part == " ", protocol.can_encode({.m_kind = kind, .m_name = "n", .m_argument = text}));
            }
            CPPUNIT_ASSERT_EQUAL(part == " ",
                                 protocol.can_encode({.m_id = "1", .m_argument = "READ " + text}));
        }
    }

    // Without its id a startup would be accepted by any database at the address.
    static void database_that_cannot_be_named_is_not_connected_to() {
        const platform::line_protocol protocol;
        registry::endpoint_report target;
        target.m_id = core::endpoint_id("i-1");
        target.m_service = core::service_name("ledger");
        target.m_address = {"127.0.0.1", 1};
        CPPUNIT_ASSERT(protocol.can_encode(target));
        for (const std::string& text : {std::string(), std::string("a b"), std::string("a\r\nQUERY - RESET"),
                                        std::string("a\0", 2), std::string(max_line_bytes, 'x')}) {
            registry::endpoint_report other_service = target;
            other_service.m_service = core::service_name(text);
            registry::endpoint_report other_id = target;
            other_id.m_id = core::endpoint_id(text);
            for (const registry::endpoint_report& odd : {other_service, other_id}) {
                CPPUNIT_ASSERT(!protocol.can_encode(odd));
                CPPUNIT_ASSERT_EQUAL(std::string("the id or the service of the database cannot be sent"),
                                     failure_of_connecting(odd));
            }
        }
    }

    // Returns the reason with which a connection to `target` ends.
    static std::string failure_of_connecting(const registry::endpoint_report& target) {
        const platform::line_protocol protocol;
        transport::event_loop loop;
        std::string failure;
        entry::database_connection_handlers handlers;
        handlers.m_failed = [&](std::optional<relay::refusal>, const std::string& reason) {
            failure = reason;
            loop.stop();
        };
        entry::database_connection connection(loop, protocol, target, std::nullopt, std::move(handlers));
        connection.send({}); // Ignored, as after any other failure.
        loop.run();
        return failure;
    }

    static void request_beyond_the_size_limit_cannot_be_encoded() {
        const platform::line_protocol protocol;
        const core::history_position position{core::term(1), core::log_position(1)};
        relay::database_request request{.m_kind = request_kind::execute, .m_id = "1", .m_name = "p1"};
        request.m_argument = std::string(max_line_bytes - encode(request).size(), 'x');
        CPPUNIT_ASSERT_EQUAL(max_line_bytes, encode(request).size());
        CPPUNIT_ASSERT(protocol.can_encode(request));
        request.m_argument += 'x';
        CPPUNIT_ASSERT(!protocol.can_encode(request));
        const std::string text = "READ " + std::string(max_line_bytes - 20, 'x');
        CPPUNIT_ASSERT(protocol.can_encode({.m_id = "1", .m_argument = text}));
        CPPUNIT_ASSERT(!protocol.can_encode({.m_id = "1", .m_min_position = position, .m_argument = text}));
    }

    // Rows, signatures and refusals are arbitrary bytes here, as a faulty host could pass them on.
    static void caller_reads_the_answer_that_was_meant() {
        CPPUNIT_ASSERT(rc::check("an answer is read as one answer", [] {
            const auto draw = seeded_draws();
            const auto text = [&draw] {
                std::string drawn = test::draw_last_field(draw, 3000);
                if (draw(4) == 0) {
                    drawn += draw(2) == 0 ? "\r\nREADY I -" : std::string("\n\0x", 3);
                }
                return drawn;
            };
            relay::session_answer meant{.m_text = text(), .m_state = relay::transaction_state::open};
            for (std::uint64_t rows = draw(3); rows > 0; --rows) {
                meant.m_rows.push_back(text());
            }
            if (draw(2) == 0) {
                meant.m_refusal = relay::refusal::busy;
                meant.m_retry_after = core::milliseconds(100);
            }
            std::string bytes;
            const platform::line_protocol protocol;
            protocol.encode_answer(meant, bytes);
            entry::partial_answer read;
            std::size_t offset = 0;
            RC_ASSERT(protocol.decode_answer(bytes, offset, read) == entry::answer_progress::complete);
            RC_ASSERT(offset == bytes.size() && read.m_complete);
            RC_ASSERT(read.m_answer.m_state == meant.m_state);
            if (meant.m_refusal) {
                RC_ASSERT(read.m_answer.m_refusal == meant.m_refusal);
                RC_ASSERT(read.m_answer.m_text.ends_with("; retry after 100 ms"));
                RC_ASSERT(bytes.size() < 1200U);
            } else if (read.m_answer.m_refusal) {
                RC_ASSERT(read.m_answer.m_refusal == relay::refusal::in_doubt);
                RC_ASSERT(bytes.find("cannot be sent") != std::string::npos);
            } else {
                RC_ASSERT(read.m_answer.m_rows == meant.m_rows);
                RC_ASSERT(read.m_answer.m_text == meant.m_text);
            }
        }));
    }

    static void message_in_pieces_is_noticed_when_it_is_complete() {
        const platform::line_protocol protocol;
        const std::string start = "QUERY 1 WRITE a ";
        const std::string largest = start + std::string(max_line_bytes - start.size(), 'x');
        for (const std::string& text : {std::string("QUERY 1 READ a\r"), largest + "\r", largest}) {
            for (const std::string& rest : {std::string("\n"), std::string("\r\n"), std::string("xx")}) {
                std::size_t offset = 0;
                CPPUNIT_ASSERT(!protocol.decode_caller_message(text, offset));
                const std::string received = text + rest;
                const bool decoded = protocol.decode_caller_message(received, offset).has_value();
                CPPUNIT_ASSERT(!decoded || protocol.may_have_caller_message(received, text.size()));
            }
        }
        CPPUNIT_ASSERT(!protocol.may_have_caller_message("QUERY 1 READ ab", 14));
    }

    static void line_size_is_judged_alike_in_any_pieces() {
        const platform::line_protocol protocol;
        for (const std::size_t extra : {0U, 1U, 5000U}) {
            const std::string start = "QUERY 1 WRITE a ";
            const std::string line = start + std::string(max_line_bytes + extra - start.size(), 'x');
            std::size_t offset = 0;
            const auto whole = protocol.decode_caller_message(line + line_end, offset);
            CPPUNIT_ASSERT(whole.has_value());
            CPPUNIT_ASSERT(whole->m_kind ==
                           (extra == 0 ? entry::message_kind::statement : entry::message_kind::too_long));
            offset = 0;
            const auto part = protocol.decode_caller_message(line, offset);
            CPPUNIT_ASSERT_EQUAL(extra != 0, part.has_value());
            entry::partial_answer answer;
            offset = 0;
            const std::string row = "ROW " + std::string(max_line_bytes + extra - 4, 'x') + line_end;
            CPPUNIT_ASSERT(
                protocol.decode_answer(row, offset, answer) ==
                (extra == 0 ? entry::answer_progress::incomplete : entry::answer_progress::malformed));
        }
    }

    static void answer_with_two_outcomes_is_malformed() {
        const platform::line_protocol protocol;
        for (const char* bytes :
             {"COMPLETE a\r\nCOMPLETE b\r\nREADY I -\r\n", "COMPLETE a\r\nROW b\r\nREADY I -\r\n",
              "ERROR BUSY\r\nCOMPLETE b\r\nREADY I -\r\n", "ROW a\nb\r\nCOMPLETE a\r\nREADY I -\r\n",
              "ROW a\rb\r\nCOMPLETE a\r\nREADY I -\r\n"}) {
            entry::partial_answer answer;
            std::size_t offset = 0;
            CPPUNIT_ASSERT_MESSAGE(bytes, protocol.decode_answer(bytes, offset, answer) ==
                                              entry::answer_progress::malformed);
        }
    }

    // A database would reject them, and the relay answers some of them itself.
    static void incomplete_statements_are_malformed() {
        for (const char* text : {"SET name", "SET  value", "EXECUTE name", "EXECUTE name ", "DEALLOCATE a b",
                                 "DEALLOCATE a ", "DEALLOCATE ", "BEGIN ", "COMMIT ", "ROLLBACK ", "READ ",
                                 "PREPARE name READ", "PREPARE name READ ", "PREPARE name DROP x",
                                 "PREPARE  READ x", "RESET", "AFTER 1.1 READ a", "READ\ta"}) {
            CPPUNIT_ASSERT_MESSAGE(text,
                                   platform::decode_statement("1", text).m_kind == statement_kind::malformed);
        }
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(platform_line_boundaries);
