// The borrower's side of lent links: a lender that is silent, stops or loses messages must not cost a
// statement more than its wait, nor give its link an answer that is not its own.
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
const relay::connection_id link_one(1);
const lending::loan_terms terms{.m_expected_ms = 10, .m_wait = core::milliseconds(200)};

core::entry_host_id lender(int number) {
    return core::entry_host_id("10.1.0." + std::to_string(number));
}

class recording_borrower final : public lending::borrower_ports {
public:
    void ask(const core::entry_host_id& host, loan_id loan, const core::endpoint_id&,
             const lending::loan_terms&, const std::vector<relay::database_request>&) override {
        m_asked.emplace_back(host, loan);
    }
    void work(const core::entry_host_id&, loan_id, std::uint32_t number,
              const std::vector<relay::database_request>&) override {
        m_work.push_back(number);
    }
    void end(const core::entry_host_id& host, loan_id, const lending::link_remains& remains) override {
        m_ended.emplace_back(host, remains.m_reusable);
    }
    void opened(relay::connection_id, const lending::loan_offer&) override { ++m_opened; }
    void answered(relay::connection_id, const relay::database_answer&) override { ++m_answered; }
    void refused(relay::connection_id, loan_refusal reason) override { m_refused.push_back(reason); }
    void lost(relay::connection_id, const std::string&) override { ++m_lost; }

    std::vector<std::pair<core::entry_host_id, loan_id>> m_asked;
    std::vector<std::uint32_t> m_work;
    std::vector<std::pair<core::entry_host_id, bool>> m_ended;
    std::vector<loan_refusal> m_refused;
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
        m_borrower.lenders_changed(std::move(hosts));
    }
    void open(relay::connection_id link, const std::vector<relay::database_request>& first_work = {}) {
        m_borrower.open(link, endpoint, terms, first_work, start);
    }
    [[nodiscard]] const auto& last_asked() const { return m_ports.m_asked.back(); }

    recording_borrower m_ports;
    lending::borrower m_borrower{m_ports, 100};
};

class link_borrower_rules : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(link_borrower_rules);
    CPPUNIT_TEST(lenders_are_asked_in_turn);
    CPPUNIT_TEST(a_lender_that_stops_is_replaced_by_another);
    CPPUNIT_TEST(a_silent_lender_is_given_up_and_avoided);
    CPPUNIT_TEST(a_busy_lender_leads_to_the_next_and_then_to_a_refusal);
    CPPUNIT_TEST(a_gap_in_the_answers_ends_the_loan);
    CPPUNIT_TEST(an_answer_to_first_work_stands_for_the_grant);
    CPPUNIT_TEST(a_late_grant_is_given_back);
    CPPUNIT_TEST(a_request_that_sent_nothing_is_withdrawn_without_loss);
    CPPUNIT_TEST(loans_end_with_their_lender);
    CPPUNIT_TEST(messages_survive_the_wire);
    CPPUNIT_TEST(values_out_of_range_are_refused);
    CPPUNIT_TEST_SUITE_END();

    static void lenders_are_asked_in_turn() {
        borrower_fixture world(3);
        std::map<core::entry_host_id, int> asked;
        for (std::uint64_t link = 1; link <= 9; ++link) {
            world.open(relay::connection_id(link));
            ++asked[world.last_asked().first];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), asked.size());
        for (const auto& [host, count] : asked) {
            CPPUNIT_ASSERT_EQUAL(3, count);
        }
    }

    static void a_lender_that_stops_is_replaced_by_another() {
        borrower_fixture world(2);
        world.open(link_one);
        const auto [host, loan] = world.last_asked();
        world.m_borrower.refused(host, loan, loan_refusal::not_lending, start);
        CPPUNIT_ASSERT(world.last_asked().first != host);
        world.open(relay::connection_id(2));
        CPPUNIT_ASSERT(world.last_asked().first != host); // avoided for a while
    }

    static void a_silent_lender_is_given_up_and_avoided() {
        borrower_fixture world(1);
        world.open(link_one);
        world.m_borrower.tick(start + core::milliseconds(200));
        CPPUNIT_ASSERT(world.m_ports.m_refused.empty());
        world.m_borrower.tick(start + core::milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.m_ports.m_refused.size());
        // It may have lent the link and lost the answer: the link is not taken for unused.
        CPPUNIT_ASSERT(!world.m_ports.m_ended.back().second);
        CPPUNIT_ASSERT(!world.m_borrower.holds(link_one));
    }

    static void a_busy_lender_leads_to_the_next_and_then_to_a_refusal() {
        borrower_fixture world(2);
        world.open(link_one);
        for (int round = 0; round < 2; ++round) {
            const auto [host, loan] = world.last_asked();
            world.m_borrower.refused(host, loan, loan_refusal::busy, start);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.m_ports.m_asked.size());
        CPPUNIT_ASSERT((world.m_ports.m_refused == std::vector<loan_refusal>{loan_refusal::busy}));
    }

    static void a_gap_in_the_answers_ends_the_loan() {
        borrower_fixture world(1);
        world.open(link_one);
        const auto [host, loan] = world.last_asked();
        world.m_borrower.granted(host, loan, {});
        world.m_borrower.send(link_one, {{}});
        world.m_borrower.answered(host, loan, 1, {}); // the answer with number 0 was lost
        CPPUNIT_ASSERT_EQUAL(0, world.m_ports.m_answered);
        CPPUNIT_ASSERT_EQUAL(1, world.m_ports.m_lost);
        CPPUNIT_ASSERT(!world.m_ports.m_ended.back().second);
    }

    static void an_answer_to_first_work_stands_for_the_grant() {
        borrower_fixture world(1);
        world.open(link_one, {{.m_kind = relay::request_kind::begin}});
        const auto [host, loan] = world.last_asked();
        world.m_borrower.answered(host, loan, 0, {});
        CPPUNIT_ASSERT_EQUAL(1, world.m_ports.m_opened);
        CPPUNIT_ASSERT_EQUAL(1, world.m_ports.m_answered);
        world.m_borrower.send(link_one, {{}});
        CPPUNIT_ASSERT(
            (world.m_ports.m_work == std::vector<std::uint32_t>{1})); // the first work was number 0
    }

    static void a_late_grant_is_given_back() {
        borrower_fixture world(1);
        world.open(link_one);
        const auto [host, loan] = world.last_asked();
        world.m_borrower.close(link_one);
        world.m_borrower.granted(host, loan, {});
        CPPUNIT_ASSERT_EQUAL(0, world.m_ports.m_opened);
        CPPUNIT_ASSERT(world.m_ports.m_ended.back().second);
    }

    static void a_request_that_sent_nothing_is_withdrawn_without_loss() {
        borrower_fixture world(1);
        world.open(link_one);
        world.m_borrower.close(link_one);
        CPPUNIT_ASSERT(world.m_ports.m_ended.back().second);
        world.open(relay::connection_id(2), {{.m_kind = relay::request_kind::begin}});
        world.m_borrower.close(relay::connection_id(2)); // its begin may be at the database
        CPPUNIT_ASSERT(!world.m_ports.m_ended.back().second);
    }

    static void loans_end_with_their_lender() {
        borrower_fixture world(2);
        world.open(link_one);
        const auto [host, loan] = world.last_asked();
        world.m_borrower.granted(host, loan, {});
        world.m_borrower.host_lost(host, start);
        CPPUNIT_ASSERT_EQUAL(1, world.m_ports.m_lost);
        CPPUNIT_ASSERT(!world.m_borrower.holds(link_one));
    }

    static relay::database_request any_request() {
        relay::database_request request;
        request.m_kind = static_cast<relay::request_kind>(
            *rc::gen::inRange<int>(0, static_cast<int>(relay::request_kind::rollback) + 1));
        request.m_id = *rc::gen::arbitrary<std::string>();
        request.m_argument = *rc::gen::arbitrary<std::string>();
        request.m_name = *rc::gen::arbitrary<std::string>();
        if (*rc::gen::arbitrary<bool>()) {
            request.m_least_position =
                core::history_position{core::term(*rc::gen::arbitrary<std::uint32_t>()),
                                       core::log_position(*rc::gen::arbitrary<std::uint64_t>())};
        }
        return request;
    }

    static void messages_survive_the_wire() {
        CPPUNIT_ASSERT(rc::check("requests and answers arrive as they were sent", [] {
            const relay::database_request request = any_request();
            const auto back = lending::from_wire(lending::to_wire(loan_id(7), 3, {request}).requests);
            RC_ASSERT(back.has_value());
            RC_ASSERT(back->front().m_kind == request.m_kind);
            RC_ASSERT(back->front().m_id == request.m_id);
            RC_ASSERT(back->front().m_argument == request.m_argument);
            RC_ASSERT(back->front().m_name == request.m_name);
            RC_ASSERT(back->front().m_least_position == request.m_least_position);
            relay::database_answer answer;
            answer.m_rows = *rc::gen::arbitrary<std::vector<std::string>>();
            answer.m_text = *rc::gen::arbitrary<std::string>();
            answer.m_position = request.m_least_position;
            answer.m_state = relay::transaction_state::failed;
            answer.m_refusal = relay::refusal::in_doubt;
            const auto told = lending::from_wire(lending::to_wire(loan_id(7), 3, answer));
            RC_ASSERT(told.has_value());
            RC_ASSERT(told->m_rows == answer.m_rows);
            RC_ASSERT(told->m_text == answer.m_text);
            RC_ASSERT(told->m_position == answer.m_position);
            RC_ASSERT(told->m_state == answer.m_state);
            RC_ASSERT(told->m_refusal == answer.m_refusal);
        }));
    }

    // A host of a later version, or a step of a promotion, which only control hosts may send.
    static void values_out_of_range_are_refused() {
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

CPPUNIT_TEST_SUITE_REGISTRATION(link_borrower_rules);

} // namespace
