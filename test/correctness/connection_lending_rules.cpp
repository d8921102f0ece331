// Guards the lending of connections between hosts: overloaded databases or lenders, unfair order of waiting
// requests, and connections that are lent again, or kept, with the transaction, the session values or the
// pending answers of a borrower that failed or whose messages were lost.
#include "lending/borrower.h"
#include "lending/lender.h"
#include "lending/lender_choice.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

using namespace mangoquay;
using lending::loan_id;
using lending::loan_refusal;

namespace {

const core::time_point start{std::chrono::hours(1)};
const core::endpoint_id endpoint("db-1");
const core::entry_host_id borrowing_host("10.1.0.1");
const core::entry_host_id far_host("10.2.0.1");

registry::endpoint_report report_of(const std::string& id, const std::string& zone) {
    registry::endpoint_report report;
    report.m_id = core::endpoint_id(id);
    report.m_service = core::service_name("ledger");
    report.m_zone = core::availability_zone(zone);
    report.m_slots = 6;
    return report;
}

relay::database_request statement(const std::string& text) {
    return {.m_id = "1", .m_argument = text};
}

// Records the actions of the lender.
class recording_ports final : public lending::lender_ports {
public:
    void open_connection(lending::lender_connection_id connection, const registry::endpoint_report&,
                         const std::optional<core::customer_name>&) override {
        m_opened.push_back(connection);
    }
    void send(lending::lender_connection_id, const std::vector<relay::database_request>& requests) override {
        m_sent_count += requests.size();
    }
    void close_connection(lending::lender_connection_id) override { ++m_closed_count; }
    void send_grant(const core::entry_host_id&, loan_id loan, const lending::loan_offer&) override {
        m_granted.push_back(loan.value());
    }
    void send_refusal(const core::entry_host_id&, loan_id loan, loan_refusal reason) override {
        m_refused[loan.value()] = reason;
    }
    void send_answer(const core::entry_host_id&, loan_id, std::uint32_t,
                     const relay::database_answer&) override {
        ++m_answer_count;
    }
    void send_loan_lost(const core::entry_host_id&, loan_id loan, const std::string&) override {
        m_lost.push_back(loan.value());
    }

    std::vector<lending::lender_connection_id> m_opened;
    std::vector<std::uint64_t> m_granted;
    std::map<std::uint64_t, loan_refusal> m_refused;
    std::vector<std::uint64_t> m_lost;
    std::size_t m_sent_count = 0;
    std::size_t m_closed_count = 0;
    std::size_t m_answer_count = 0;
};

// A lender with open connections to one database.
struct lender_fixture {
    explicit lender_fixture(std::uint32_t connections, std::uint32_t max_running = 1) {
        m_lender.set_endpoints({{report_of(endpoint.value(), "north"), connections, max_running}}, start);
        complete_opening();
    }
    void complete_opening() {
        for (const lending::lender_connection_id connection : std::exchange(m_ports.m_opened, {})) {
            m_lender.on_connection_opened(connection, std::nullopt, start);
        }
    }
    void request_loan(std::uint64_t loan, double expected_run_ms, bool urgent = false,
                      bool needs_slot = true) {
        m_lender.on_loan_requested(borrowing_host, loan_id(loan), endpoint,
                                   {urgent, needs_slot, expected_run_ms, core::milliseconds(200)}, {}, start);
        complete_opening();
    }

    recording_ports m_ports;
    lending::lender m_lender{m_ports};
};

class connection_lending_rules : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(connection_lending_rules);
    CPPUNIT_TEST(running_statements_never_exceed_the_slots);
    CPPUNIT_TEST(urgent_and_then_short_statements_are_served_first);
    CPPUNIT_TEST(a_pausing_transaction_frees_its_slot_and_keeps_its_connection);
    CPPUNIT_TEST(requests_without_a_slot_overtake_those_that_wait_for_one);
    CPPUNIT_TEST(requests_that_cannot_be_served_in_time_are_refused_at_once);
    CPPUNIT_TEST(a_gap_in_the_messages_of_a_loan_closes_its_connection);
    CPPUNIT_TEST(connections_of_a_lost_borrower_are_closed);
    CPPUNIT_TEST(a_connection_with_a_statement_in_progress_is_not_lent_again);
    CPPUNIT_TEST(a_connection_with_session_values_is_reset_before_it_is_lent_again);
    CPPUNIT_TEST(an_open_transaction_is_rolled_back_before_the_connection_is_lent_again);
    CPPUNIT_TEST(initial_requests_are_sent_at_once_and_their_answers_imply_the_grant);
    CPPUNIT_TEST(a_stopping_host_refuses_new_loans);
    CPPUNIT_TEST(a_borrower_that_sends_nothing_loses_its_connection);
    CPPUNIT_TEST(a_withdrawn_request_is_not_granted);
    CPPUNIT_TEST(lenders_are_in_the_zone_and_evenly_loaded);
    CPPUNIT_TEST(connections_are_never_allotted_twice);
    CPPUNIT_TEST(losing_a_host_reassigns_few_lenders);
    CPPUNIT_TEST_SUITE_END();

    static void running_statements_never_exceed_the_slots() {
        lender_fixture fixture(8, 2);
        for (std::uint64_t loan = 1; loan <= 5; ++loan) {
            fixture.request_loan(loan, 10);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.m_ports.m_granted.size());
        fixture.m_lender.on_loan_ended(borrowing_host, loan_id(1), {}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), fixture.m_ports.m_granted.size());
    }

    static void urgent_and_then_short_statements_are_served_first() {
        lender_fixture fixture(8, 1);
        fixture.request_loan(1, 10);
        fixture.request_loan(2, 50);
        fixture.request_loan(3, 10);
        fixture.m_lender.on_loan_requested(borrowing_host, loan_id(4), endpoint,
                                           {true, true, 30, core::milliseconds(200)}, {}, start);
        fixture.m_lender.on_loan_requested(borrowing_host, loan_id(5), endpoint,
                                           {true, true, 20, core::milliseconds(200)}, {}, start);
        fixture.complete_opening();
        for (const std::uint64_t loan : {1, 5, 4, 3}) {
            fixture.m_lender.on_loan_ended(borrowing_host, loan_id(loan), {}, start);
            fixture.complete_opening();
        }
        // An urgent request may use one slot more than the others.
        CPPUNIT_ASSERT((fixture.m_ports.m_granted == std::vector<std::uint64_t>{1, 5, 4, 3, 2}));
    }

    static void a_pausing_transaction_frees_its_slot_and_keeps_its_connection() {
        lender_fixture fixture(2, 1);
        fixture.request_loan(1, 10);
        fixture.m_lender.on_requests_received(borrowing_host, loan_id(1), 0,
                                              {{.m_kind = relay::request_kind::begin}}, start);
        const lending::lender_connection_id connection(1);
        fixture.m_lender.on_connection_answered(connection, {.m_state = relay::transaction_state::open},
                                                start);
        fixture.request_loan(2, 10);
        // The statement of the transaction is still to come.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.m_ports.m_granted.size());
        fixture.m_lender.on_requests_received(borrowing_host, loan_id(1), 1, {statement("READ a")}, start);
        fixture.m_lender.on_connection_answered(connection, {.m_state = relay::transaction_state::open},
                                                start);
        fixture.complete_opening();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.m_ports.m_granted.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.m_lender.connection_count());
    }

    static void requests_without_a_slot_overtake_those_that_wait_for_one() {
        lender_fixture fixture(3, 1);
        fixture.request_loan(1, 10);
        fixture.request_loan(2, 10);
        fixture.request_loan(3, 0, false, false);
        CPPUNIT_ASSERT((fixture.m_ports.m_granted == std::vector<std::uint64_t>{1, 3}));
    }

    static void requests_that_cannot_be_served_in_time_are_refused_at_once() {
        lender_fixture fixture(8, 1);
        for (std::uint64_t loan = 1; loan <= 4; ++loan) {
            fixture.request_loan(loan, 90);
        }
        CPPUNIT_ASSERT(!fixture.m_ports.m_refused.contains(3));
        CPPUNIT_ASSERT(!fixture.m_ports.m_refused.contains(4));
        fixture.request_loan(5, 90); // Statements of 270 ms wait ahead of it; its maximum wait is 200 ms.
        CPPUNIT_ASSERT(fixture.m_ports.m_refused.at(5) == loan_refusal::busy);
    }

    // Otherwise a statement whose BEGIN was lost would run outside its transaction.
    static void a_gap_in_the_messages_of_a_loan_closes_its_connection() {
        lender_fixture fixture(2);
        fixture.request_loan(1, 10);
        fixture.m_lender.on_requests_received(borrowing_host, loan_id(1), 1, {statement("WRITE a b")}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.m_ports.m_sent_count);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.m_ports.m_closed_count);
        CPPUNIT_ASSERT((fixture.m_ports.m_lost == std::vector<std::uint64_t>{1}));
    }

    static void connections_of_a_lost_borrower_are_closed() {
        lender_fixture fixture(2);
        fixture.request_loan(1, 10);
        fixture.m_lender.on_requests_received(borrowing_host, loan_id(1), 0,
                                              {{.m_kind = relay::request_kind::begin}}, start);
        fixture.m_lender.on_host_lost(borrowing_host, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.m_ports.m_closed_count);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.m_lender.loan_count());
    }

    static void a_connection_with_a_statement_in_progress_is_not_lent_again() {
        lender_fixture fixture(1);
        fixture.request_loan(1, 10);
        fixture.m_lender.on_requests_received(borrowing_host, loan_id(1), 0, {statement("READ a")}, start);
        fixture.m_lender.on_loan_ended(borrowing_host, loan_id(1), {}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.m_ports.m_closed_count);
    }

    static void a_connection_with_session_values_is_reset_before_it_is_lent_again() {
        lender_fixture fixture(1);
        fixture.request_loan(1, 10);
        fixture.request_loan(2, 10);
        fixture.m_lender.on_loan_ended(borrowing_host, loan_id(1), {.m_has_session_values = true}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.m_ports.m_sent_count);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.m_ports.m_granted.size());
        fixture.m_lender.on_connection_answered(lending::lender_connection_id(1), {}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.m_ports.m_granted.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.m_ports.m_answer_count);
    }

    static void an_open_transaction_is_rolled_back_before_the_connection_is_lent_again() {
        lender_fixture fixture(1);
        fixture.request_loan(1, 10);
        fixture.request_loan(2, 10);
        fixture.m_lender.on_loan_ended(borrowing_host, loan_id(1),
                                       {.m_has_session_values = true, .m_in_transaction = true}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.m_ports.m_sent_count); // Rollback, then reset.
        fixture.m_lender.on_connection_answered(lending::lender_connection_id(1), {}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.m_ports.m_granted.size());
        fixture.m_lender.on_connection_answered(lending::lender_connection_id(1), {}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.m_ports.m_granted.size());
    }

    static void initial_requests_are_sent_at_once_and_their_answers_imply_the_grant() {
        lender_fixture fixture(1);
        fixture.m_lender.on_loan_requested(borrowing_host, loan_id(1), endpoint,
                                           {.m_max_wait = core::milliseconds(200)},
                                           {{.m_kind = relay::request_kind::begin}}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.m_ports.m_sent_count);
        CPPUNIT_ASSERT(fixture.m_ports.m_granted.empty());
        fixture.m_lender.on_connection_answered(lending::lender_connection_id(1),
                                                {.m_state = relay::transaction_state::open}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.m_ports.m_answer_count);
        fixture.m_lender.on_requests_received(borrowing_host, loan_id(1), 1, {statement("READ a")}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.m_ports.m_sent_count);
    }

    static void a_stopping_host_refuses_new_loans() {
        lender_fixture fixture(2);
        fixture.request_loan(1, 10);
        fixture.request_loan(2, 10);
        fixture.m_lender.stop_lending();
        fixture.request_loan(3, 10);
        CPPUNIT_ASSERT(fixture.m_ports.m_refused.at(2) == loan_refusal::not_lending);
        CPPUNIT_ASSERT(fixture.m_ports.m_refused.at(3) == loan_refusal::not_lending);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.m_lender.loan_count()); // The granted loan continues.
    }

    static void a_borrower_that_sends_nothing_loses_its_connection() {
        lender_fixture fixture(1);
        fixture.request_loan(1, 10);
        fixture.m_lender.tick(start + std::chrono::seconds(6));
        // A transaction may pause for 3 s.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.m_lender.loan_count());
        fixture.m_lender.tick(start + std::chrono::seconds(8));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.m_lender.loan_count());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.m_ports.m_closed_count);
    }

    static void a_withdrawn_request_is_not_granted() {
        lender_fixture fixture(1);
        fixture.request_loan(1, 10);
        fixture.request_loan(2, 10);
        fixture.m_lender.on_loan_ended(borrowing_host, loan_id(2), {.m_reusable = false}, start);
        fixture.m_lender.on_loan_ended(borrowing_host, loan_id(1), {}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.m_ports.m_granted.size());
    }

    static lending::hosts_by_zone hosts_of(int zones, int hosts) {
        lending::hosts_by_zone all;
        for (int number = 0; number < hosts; ++number) {
            const int zone = number % zones;
            all[core::availability_zone("zone" + std::to_string(zone))].insert(
                core::entry_host_id("10." + std::to_string(zone) + ".0." + std::to_string(number)));
        }
        return all;
    }
    static std::vector<registry::endpoint_report> endpoints_of(int zones, int count) {
        std::vector<registry::endpoint_report> all;
        all.reserve(static_cast<std::size_t>(count));
        for (int number = 0; number < count; ++number) {
            all.push_back(report_of("db-" + std::to_string(number), "zone" + std::to_string(number % zones)));
        }
        return all;
    }

    // 75 hosts and 24 databases: a host that lends connections of many databases would exhaust its network
    // bandwidth.
    static void lenders_are_in_the_zone_and_evenly_loaded() {
        const lending::hosts_by_zone hosts = hosts_of(3, 75);
        const auto chosen = lending::choose_lenders(hosts, endpoints_of(3, 24));
        std::map<core::entry_host_id, int> load;
        for (const registry::endpoint_report& report : endpoints_of(3, 24)) {
            const auto& lenders = chosen.at(report.m_id);
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), lenders.size());
            for (const core::entry_host_id& host : lenders) {
                CPPUNIT_ASSERT(hosts.at(report.m_zone).contains(host));
                CPPUNIT_ASSERT(++load[host] <= 2);
            }
        }
    }

    static void connections_are_never_allotted_twice() {
        CPPUNIT_ASSERT(rc::check("kept and lent connections fit into the connection limit", [] {
            const auto usable = *rc::gen::inRange<std::uint32_t>(10, 200);
            const auto hosts = hosts_of(3, *rc::gen::inRange(6, 120));
            const registry::endpoint_report report = report_of("db-1", "zone1");
            const std::size_t lenders = lending::choose_lenders(hosts, {report}).at(report.m_id).size();
            std::uint32_t allotted = lending::connections_per_lender(report, hosts, usable, lenders) *
                                     static_cast<std::uint32_t>(lenders);
            for (const auto& [zone, members] : hosts) {
                for (const core::entry_host_id& host : members) {
                    allotted += lending::connections_kept_by(host, report, hosts, usable);
                }
            }
            RC_ASSERT(allotted <= usable);
        }));
    }

    static void losing_a_host_reassigns_few_lenders() {
        lending::hosts_by_zone hosts = hosts_of(3, 75);
        const auto endpoints = endpoints_of(3, 24);
        const auto before = lending::choose_lenders(hosts, endpoints);
        auto& zone = hosts.at(core::availability_zone("zone0"));
        zone.erase(zone.begin());
        const auto after = lending::choose_lenders(hosts, endpoints);
        int reassigned = 0;
        for (const auto& [id, lenders] : after) {
            for (const core::entry_host_id& host : lenders) {
                reassigned += std::ranges::find(before.at(id), host) == before.at(id).end() ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT(reassigned <= 4); // Of 72.
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_lending_rules);

} // namespace
