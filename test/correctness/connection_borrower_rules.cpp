// Guards the borrower's side of lent connections: a lender that does not answer, stops or loses messages must
// not delay a statement beyond its maximum wait, and a connection must never receive an answer that belongs
// to another request.
#include "lending/borrower.h"
#include "lending/lending_wire.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <string>

using namespace mangoquay;
using lending::loan_id;
using lending::loan_refusal;

namespace {

const core::time_point start{std::chrono::hours(1)};
const core::endpoint_id endpoint("db-1");
const relay::connection_id first_connection(1);
const lending::loan_terms terms{.m_expected_run_ms = 10, .m_max_wait = core::milliseconds(200)};

core::entry_host_id lender(int number) {
    return core::entry_host_id("10.1.0." + std::to_string(number));
}

class recording_ports final : public lending::borrower_ports {
public:
    void send_loan_request(const core::entry_host_id& host, loan_id loan, const core::endpoint_id&,
                           const lending::loan_terms&, const std::vector<relay::database_request>&) override {
        m_loan_requests.emplace_back(host, loan);
    }
    void send_requests(const core::entry_host_id&, loan_id, std::uint32_t number,
                       const std::vector<relay::database_request>&) override {
        m_request_numbers.push_back(number);
    }
    void send_loan_end(const core::entry_host_id& host, loan_id,
                       const lending::returned_state& state) override {
        m_loan_ends.emplace_back(host, state.m_reusable);
    }
    void on_connection_lent(relay::connection_id, const lending::loan_offer&) override { ++m_opened; }
    void on_connection_answered(relay::connection_id, const relay::database_answer&) override {
        ++m_answered;
    }
    void on_loan_refused(relay::connection_id, loan_refusal reason) override { m_refusals.push_back(reason); }
    void on_loan_lost(relay::connection_id, const std::string&) override { ++m_lost; }

    std::vector<std::pair<core::entry_host_id, loan_id>> m_loan_requests;
    std::vector<std::uint32_t> m_request_numbers;
    std::vector<std::pair<core::entry_host_id, bool>> m_loan_ends;
    std::vector<loan_refusal> m_refusals;
    int m_opened = 0;
    int m_answered = 0;
    int m_lost = 0;
};

struct borrower_fixture {
    explicit borrower_fixture(int lenders) {
        lending::lenders_by_endpoint hosts;
        for (int number = 1; number <= lenders; ++number) {
            hosts[endpoint].push_back(lender(number));
        }
        m_borrower.set_lenders(std::move(hosts));
    }
    void borrow(relay::connection_id connection,
                const std::vector<relay::database_request>& initial_requests = {}) {
        m_borrower.borrow(connection, endpoint, terms, initial_requests, start);
    }
    [[nodiscard]] const auto& last_loan_request() const { return m_ports.m_loan_requests.back(); }

    recording_ports m_ports;
    lending::borrower m_borrower{m_ports, 100};
};

class connection_borrower_rules : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(connection_borrower_rules);
    CPPUNIT_TEST(loan_requests_rotate_over_lenders);
    CPPUNIT_TEST(a_lender_that_stops_lending_is_replaced_and_avoided);
    CPPUNIT_TEST(a_lender_that_does_not_answer_is_abandoned);
    CPPUNIT_TEST(a_busy_refusal_tries_the_next_lender_and_then_fails);
    CPPUNIT_TEST(a_gap_in_the_answers_ends_the_loan);
    CPPUNIT_TEST(an_answer_to_the_initial_requests_implies_the_grant);
    CPPUNIT_TEST(a_late_grant_is_returned);
    CPPUNIT_TEST(a_withdrawn_request_without_statements_leaves_the_connection_reusable);
    CPPUNIT_TEST(losing_a_lender_ends_its_loans);
    CPPUNIT_TEST(messages_round_trip_through_the_wire_format);
    CPPUNIT_TEST(values_out_of_range_are_rejected);
    CPPUNIT_TEST_SUITE_END();

    static void loan_requests_rotate_over_lenders() {
        borrower_fixture fixture(3);
        std::map<core::entry_host_id, int> request_counts;
        for (std::uint64_t connection = 1; connection <= 9; ++connection) {
            fixture.borrow(relay::connection_id(connection));
            ++request_counts[fixture.last_loan_request().first];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), request_counts.size());
        for (const auto& [host, count] : request_counts) {
            CPPUNIT_ASSERT_EQUAL(3, count);
        }
    }

    static void a_lender_that_stops_lending_is_replaced_and_avoided() {
        borrower_fixture fixture(2);
        fixture.borrow(first_connection);
        const auto [host, loan] = fixture.last_loan_request();
        fixture.m_borrower.on_loan_refused(host, loan, loan_refusal::not_lending, start);
        CPPUNIT_ASSERT(fixture.last_loan_request().first != host);
        fixture.borrow(relay::connection_id(2));
        CPPUNIT_ASSERT(fixture.last_loan_request().first != host); // The host is avoided for a while.
    }

    static void a_lender_that_does_not_answer_is_abandoned() {
        borrower_fixture fixture(1);
        fixture.borrow(first_connection);
        fixture.m_borrower.tick(start + core::milliseconds(200));
        CPPUNIT_ASSERT(fixture.m_ports.m_refusals.empty());
        fixture.m_borrower.tick(start + core::milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.m_ports.m_refusals.size());
        // The lender may have granted the loan while its answer was lost, so the connection must not be
        // reported as reusable.
        CPPUNIT_ASSERT(!fixture.m_ports.m_loan_ends.back().second);
        CPPUNIT_ASSERT(!fixture.m_borrower.has_loan(first_connection));
    }

    static void a_busy_refusal_tries_the_next_lender_and_then_fails() {
        borrower_fixture fixture(2);
        fixture.borrow(first_connection);
        for (int round = 0; round < 2; ++round) {
            const auto [host, loan] = fixture.last_loan_request();
            fixture.m_borrower.on_loan_refused(host, loan, loan_refusal::busy, start);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.m_ports.m_loan_requests.size());
        CPPUNIT_ASSERT((fixture.m_ports.m_refusals == std::vector<loan_refusal>{loan_refusal::busy}));
    }

    static void a_gap_in_the_answers_ends_the_loan() {
        borrower_fixture fixture(1);
        fixture.borrow(first_connection);
        const auto [host, loan] = fixture.last_loan_request();
        fixture.m_borrower.on_loan_granted(host, loan, {});
        fixture.m_borrower.send(first_connection, {{}});
        fixture.m_borrower.on_answer_received(host, loan, 1, {}); // The answer with number 0 was lost.
        CPPUNIT_ASSERT_EQUAL(0, fixture.m_ports.m_answered);
        CPPUNIT_ASSERT_EQUAL(1, fixture.m_ports.m_lost);
        CPPUNIT_ASSERT(!fixture.m_ports.m_loan_ends.back().second);
    }

    static void an_answer_to_the_initial_requests_implies_the_grant() {
        borrower_fixture fixture(1);
        fixture.borrow(first_connection, {{.m_kind = relay::request_kind::begin}});
        const auto [host, loan] = fixture.last_loan_request();
        fixture.m_borrower.on_answer_received(host, loan, 0, {});
        CPPUNIT_ASSERT_EQUAL(1, fixture.m_ports.m_opened);
        CPPUNIT_ASSERT_EQUAL(1, fixture.m_ports.m_answered);
        fixture.m_borrower.send(first_connection, {{}});
        // The initial requests have number 0.
        CPPUNIT_ASSERT((fixture.m_ports.m_request_numbers == std::vector<std::uint32_t>{1}));
    }

    static void a_late_grant_is_returned() {
        borrower_fixture fixture(1);
        fixture.borrow(first_connection);
        const auto [host, loan] = fixture.last_loan_request();
        fixture.m_borrower.close(first_connection);
        fixture.m_borrower.on_loan_granted(host, loan, {});
        CPPUNIT_ASSERT_EQUAL(0, fixture.m_ports.m_opened);
        CPPUNIT_ASSERT(fixture.m_ports.m_loan_ends.back().second);
    }

    static void a_withdrawn_request_without_statements_leaves_the_connection_reusable() {
        borrower_fixture fixture(1);
        fixture.borrow(first_connection);
        fixture.m_borrower.close(first_connection);
        CPPUNIT_ASSERT(fixture.m_ports.m_loan_ends.back().second);
        fixture.borrow(relay::connection_id(2), {{.m_kind = relay::request_kind::begin}});
        fixture.m_borrower.close(relay::connection_id(2)); // Its BEGIN may have reached the database.
        CPPUNIT_ASSERT(!fixture.m_ports.m_loan_ends.back().second);
    }

    static void losing_a_lender_ends_its_loans() {
        borrower_fixture fixture(2);
        fixture.borrow(first_connection);
        const auto [host, loan] = fixture.last_loan_request();
        fixture.m_borrower.on_loan_granted(host, loan, {});
        fixture.m_borrower.on_host_lost(host, start);
        CPPUNIT_ASSERT_EQUAL(1, fixture.m_ports.m_lost);
        CPPUNIT_ASSERT(!fixture.m_borrower.has_loan(first_connection));
    }

    static relay::database_request any_request() {
        relay::database_request request;
        request.m_kind = static_cast<relay::request_kind>(
            *rc::gen::inRange<int>(0, static_cast<int>(relay::request_kind::rollback) + 1));
        request.m_id = *rc::gen::arbitrary<std::string>();
        request.m_argument = *rc::gen::arbitrary<std::string>();
        request.m_name = *rc::gen::arbitrary<std::string>();
        if (*rc::gen::arbitrary<bool>()) {
            request.m_min_position =
                core::history_position{core::term(*rc::gen::arbitrary<std::uint32_t>()),
                                       core::log_position(*rc::gen::arbitrary<std::uint64_t>())};
        }
        return request;
    }

    static void messages_round_trip_through_the_wire_format() {
        CPPUNIT_ASSERT(rc::check("requests and answers arrive as they were sent", [] {
            const relay::database_request request = any_request();
            const auto decoded = lending::from_wire(lending::to_wire(loan_id(7), 3, {request}).requests);
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(decoded->front().m_kind == request.m_kind);
            RC_ASSERT(decoded->front().m_id == request.m_id);
            RC_ASSERT(decoded->front().m_argument == request.m_argument);
            RC_ASSERT(decoded->front().m_name == request.m_name);
            RC_ASSERT(decoded->front().m_min_position == request.m_min_position);
            relay::database_answer answer;
            answer.m_rows = *rc::gen::arbitrary<std::vector<std::string>>();
            answer.m_text = *rc::gen::arbitrary<std::string>();
            answer.m_position = request.m_min_position;
            answer.m_state = relay::transaction_state::failed;
            answer.m_refusal = relay::refusal::in_doubt;
            const auto decoded_answer = lending::from_wire(lending::to_wire(loan_id(7), 3, answer));
            RC_ASSERT(decoded_answer.has_value());
            RC_ASSERT(decoded_answer->m_rows == answer.m_rows);
            RC_ASSERT(decoded_answer->m_text == answer.m_text);
            RC_ASSERT(decoded_answer->m_position == answer.m_position);
            RC_ASSERT(decoded_answer->m_state == answer.m_state);
            RC_ASSERT(decoded_answer->m_refusal == answer.m_refusal);
        }));
    }

    // Values come from a host of a later version; promotion steps may be sent by control hosts only.
    static void values_out_of_range_are_rejected() {
        auto message = lending::to_wire(loan_id(1), 0, {{.m_kind = relay::request_kind::step_down}});
        CPPUNIT_ASSERT(!lending::from_wire(message.requests).has_value());
        message = lending::to_wire(loan_id(1), 0, {relay::database_request{}});
        message.requests.front()->access = 9;
        CPPUNIT_ASSERT(!lending::from_wire(message.requests).has_value());
        wire::loan_answerT answer = lending::to_wire(loan_id(1), 0, relay::database_answer{});
        answer.state = 3;
        CPPUNIT_ASSERT(!lending::from_wire(answer).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_borrower_rules);

} // namespace
