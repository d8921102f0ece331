// Links lent between hosts: who lends, in which order those that wait are served, and what must not happen to
// a link whose borrower is gone or whose messages were lost.
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
const core::entry_host_id near_host("10.1.0.1");
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

// Keeps what the lender did, in words.
class recording_lender final : public lending::lender_ports {
public:
    void open_link(lending::lender_link_id link, const registry::endpoint_report&) override {
        m_opened.push_back(link);
    }
    void send(lending::lender_link_id, const std::vector<relay::database_request>& requests) override {
        m_sent += requests.size();
    }
    void close_link(lending::lender_link_id) override { ++m_closed; }
    void grant(const core::entry_host_id&, loan_id loan, const lending::loan_offer&) override {
        m_granted.push_back(loan.value());
    }
    void refuse(const core::entry_host_id&, loan_id loan, loan_refusal reason) override {
        m_refused[loan.value()] = reason;
    }
    void answer(const core::entry_host_id&, loan_id, std::uint32_t, const relay::database_answer&) override {
        ++m_answered;
    }
    void lost(const core::entry_host_id&, loan_id loan, const std::string&) override {
        m_lost.push_back(loan.value());
    }

    std::vector<lending::lender_link_id> m_opened;
    std::vector<std::uint64_t> m_granted;
    std::map<std::uint64_t, loan_refusal> m_refused;
    std::vector<std::uint64_t> m_lost;
    std::size_t m_sent = 0;
    std::size_t m_closed = 0;
    std::size_t m_answered = 0;
};

// A lender with open links to one database.
struct lender_fixture {
    explicit lender_fixture(std::uint32_t links, std::uint32_t running = 1) {
        m_lender.assign({{report_of(endpoint.value(), "north"), links, running}}, start);
        open_all();
    }
    void open_all() {
        for (const lending::lender_link_id link : std::exchange(m_ports.m_opened, {})) {
            m_lender.link_opened(link, std::nullopt, start);
        }
    }
    void ask(std::uint64_t loan, double expected_ms, bool urgent = false, bool needs_slot = true) {
        m_lender.asked(near_host, loan_id(loan), endpoint,
                       {urgent, needs_slot, expected_ms, core::milliseconds(200)}, {}, start);
        open_all();
    }

    recording_lender m_ports;
    lending::lender m_lender{m_ports};
};

class link_lending_rules : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(link_lending_rules);
    CPPUNIT_TEST(no_more_statements_run_than_places);
    CPPUNIT_TEST(urgent_and_then_short_work_goes_first);
    CPPUNIT_TEST(a_pause_in_a_transaction_frees_its_place_and_keeps_its_link);
    CPPUNIT_TEST(work_without_a_slot_passes_those_that_wait_for_one);
    CPPUNIT_TEST(what_cannot_be_served_in_time_is_refused_at_once);
    CPPUNIT_TEST(a_gap_in_the_messages_of_a_loan_closes_its_link);
    CPPUNIT_TEST(links_of_a_lost_borrower_are_closed);
    CPPUNIT_TEST(a_link_with_work_in_progress_is_not_lent_again);
    CPPUNIT_TEST(a_link_that_holds_values_is_reset_before_it_is_lent_again);
    CPPUNIT_TEST(an_open_transaction_is_rolled_back_before_a_link_is_lent_again);
    CPPUNIT_TEST(first_work_is_sent_with_the_loan_and_its_answers_stand_for_the_grant);
    CPPUNIT_TEST(a_stopping_host_lends_nothing_new);
    CPPUNIT_TEST(a_silent_borrower_loses_its_link);
    CPPUNIT_TEST(a_withdrawn_request_is_not_granted);
    CPPUNIT_TEST(lenders_are_in_the_zone_and_evenly_loaded);
    CPPUNIT_TEST(connections_are_never_promised_twice);
    CPPUNIT_TEST(a_lost_host_moves_few_others);
    CPPUNIT_TEST_SUITE_END();

    static void no_more_statements_run_than_places() {
        lender_fixture world(8, 2);
        for (std::uint64_t loan = 1; loan <= 5; ++loan) {
            world.ask(loan, 10);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.m_ports.m_granted.size());
        world.m_lender.ended(near_host, loan_id(1), {}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), world.m_ports.m_granted.size());
    }

    static void urgent_and_then_short_work_goes_first() {
        lender_fixture world(8, 1);
        world.ask(1, 10);
        world.ask(2, 50);
        world.ask(3, 10);
        world.m_lender.asked(near_host, loan_id(4), endpoint, {true, true, 30, core::milliseconds(200)}, {},
                             start);
        world.m_lender.asked(near_host, loan_id(5), endpoint, {true, true, 20, core::milliseconds(200)}, {},
                             start);
        world.open_all();
        for (const std::uint64_t loan : {1, 5, 4, 3}) {
            world.m_lender.ended(near_host, loan_id(loan), {}, start);
            world.open_all();
        }
        // The first urgent one has a place beside the others.
        CPPUNIT_ASSERT((world.m_ports.m_granted == std::vector<std::uint64_t>{1, 5, 4, 3, 2}));
    }

    static void a_pause_in_a_transaction_frees_its_place_and_keeps_its_link() {
        lender_fixture world(2, 1);
        world.ask(1, 10);
        world.m_lender.worked(near_host, loan_id(1), 0, {{.m_kind = relay::request_kind::begin}}, start);
        const lending::lender_link_id link(1);
        world.m_lender.link_answered(link, {.m_state = relay::transaction_state::open}, start);
        world.ask(2, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             world.m_ports.m_granted.size()); // its statement is still to come
        world.m_lender.worked(near_host, loan_id(1), 1, {statement("READ a")}, start);
        world.m_lender.link_answered(link, {.m_state = relay::transaction_state::open}, start);
        world.open_all();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.m_ports.m_granted.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.m_lender.links());
    }

    static void work_without_a_slot_passes_those_that_wait_for_one() {
        lender_fixture world(3, 1);
        world.ask(1, 10);
        world.ask(2, 10);
        world.ask(3, 0, false, false);
        CPPUNIT_ASSERT((world.m_ports.m_granted == std::vector<std::uint64_t>{1, 3}));
    }

    static void what_cannot_be_served_in_time_is_refused_at_once() {
        lender_fixture world(8, 1);
        for (std::uint64_t loan = 1; loan <= 4; ++loan) {
            world.ask(loan, 90);
        }
        CPPUNIT_ASSERT(!world.m_ports.m_refused.contains(3));
        CPPUNIT_ASSERT(!world.m_ports.m_refused.contains(4));
        world.ask(5, 90); // 270 ms of work wait before it, and it would wait for 200
        CPPUNIT_ASSERT(world.m_ports.m_refused.at(5) == loan_refusal::busy);
    }

    // Otherwise a statement whose begin was lost would run outside of its transaction.
    static void a_gap_in_the_messages_of_a_loan_closes_its_link() {
        lender_fixture world(2);
        world.ask(1, 10);
        world.m_lender.worked(near_host, loan_id(1), 1, {statement("WRITE a b")}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.m_ports.m_sent);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.m_ports.m_closed);
        CPPUNIT_ASSERT((world.m_ports.m_lost == std::vector<std::uint64_t>{1}));
    }

    static void links_of_a_lost_borrower_are_closed() {
        lender_fixture world(2);
        world.ask(1, 10);
        world.m_lender.worked(near_host, loan_id(1), 0, {{.m_kind = relay::request_kind::begin}}, start);
        world.m_lender.host_lost(near_host, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.m_ports.m_closed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.m_lender.loans());
    }

    static void a_link_with_work_in_progress_is_not_lent_again() {
        lender_fixture world(1);
        world.ask(1, 10);
        world.m_lender.worked(near_host, loan_id(1), 0, {statement("READ a")}, start);
        world.m_lender.ended(near_host, loan_id(1), {}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.m_ports.m_closed);
    }

    static void a_link_that_holds_values_is_reset_before_it_is_lent_again() {
        lender_fixture world(1);
        world.ask(1, 10);
        world.ask(2, 10);
        world.m_lender.ended(near_host, loan_id(1), {.m_holds_values = true}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.m_ports.m_sent);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.m_ports.m_granted.size());
        world.m_lender.link_answered(lending::lender_link_id(1), {}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.m_ports.m_granted.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.m_ports.m_answered);
    }

    static void an_open_transaction_is_rolled_back_before_a_link_is_lent_again() {
        lender_fixture world(1);
        world.ask(1, 10);
        world.ask(2, 10);
        world.m_lender.ended(near_host, loan_id(1), {.m_holds_values = true, .m_in_transaction = true},
                             start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.m_ports.m_sent); // rollback, then reset
        world.m_lender.link_answered(lending::lender_link_id(1), {}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.m_ports.m_granted.size());
        world.m_lender.link_answered(lending::lender_link_id(1), {}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.m_ports.m_granted.size());
    }

    static void first_work_is_sent_with_the_loan_and_its_answers_stand_for_the_grant() {
        lender_fixture world(1);
        world.m_lender.asked(near_host, loan_id(1), endpoint, {.m_wait = core::milliseconds(200)},
                             {{.m_kind = relay::request_kind::begin}}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.m_ports.m_sent);
        CPPUNIT_ASSERT(world.m_ports.m_granted.empty());
        world.m_lender.link_answered(lending::lender_link_id(1), {.m_state = relay::transaction_state::open},
                                     start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.m_ports.m_answered);
        world.m_lender.worked(near_host, loan_id(1), 1, {statement("READ a")}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.m_ports.m_sent);
    }

    static void a_stopping_host_lends_nothing_new() {
        lender_fixture world(2);
        world.ask(1, 10);
        world.ask(2, 10);
        world.m_lender.stop_lending();
        world.ask(3, 10);
        CPPUNIT_ASSERT(world.m_ports.m_refused.at(2) == loan_refusal::not_lending);
        CPPUNIT_ASSERT(world.m_ports.m_refused.at(3) == loan_refusal::not_lending);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.m_lender.loans()); // goes on to its end
    }

    static void a_silent_borrower_loses_its_link() {
        lender_fixture world(1);
        world.ask(1, 10);
        world.m_lender.tick(start + std::chrono::seconds(6));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.m_lender.loans()); // a transaction may pause for 3 s
        world.m_lender.tick(start + std::chrono::seconds(8));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.m_lender.loans());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.m_ports.m_closed);
    }

    static void a_withdrawn_request_is_not_granted() {
        lender_fixture world(1);
        world.ask(1, 10);
        world.ask(2, 10);
        world.m_lender.ended(near_host, loan_id(2), {.m_reusable = false}, start);
        world.m_lender.ended(near_host, loan_id(1), {}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.m_ports.m_granted.size());
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

    // 75 hosts before 24 databases: a host that lends many of them fills its link.
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

    static void connections_are_never_promised_twice() {
        CPPUNIT_ASSERT(rc::check("kept and lent links fit into the connections", [] {
            const auto usable = *rc::gen::inRange<std::uint32_t>(10, 200);
            const auto hosts = hosts_of(3, *rc::gen::inRange(6, 120));
            const registry::endpoint_report report = report_of("db-1", "zone1");
            const std::size_t lenders = lending::choose_lenders(hosts, {report}).at(report.m_id).size();
            std::uint32_t promised = lending::links_lent_by_each(report, hosts, usable, lenders) *
                                     static_cast<std::uint32_t>(lenders);
            for (const auto& [zone, members] : hosts) {
                for (const core::entry_host_id& host : members) {
                    promised += lending::links_kept_by(host, report, hosts, usable);
                }
            }
            RC_ASSERT(promised <= usable);
        }));
    }

    static void a_lost_host_moves_few_others() {
        lending::hosts_by_zone hosts = hosts_of(3, 75);
        const auto endpoints = endpoints_of(3, 24);
        const auto before = lending::choose_lenders(hosts, endpoints);
        auto& zone = hosts.at(core::availability_zone("zone0"));
        zone.erase(zone.begin());
        const auto after = lending::choose_lenders(hosts, endpoints);
        int moved = 0;
        for (const auto& [id, lenders] : after) {
            for (const core::entry_host_id& host : lenders) {
                moved += std::ranges::find(before.at(id), host) == before.at(id).end() ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT(moved <= 4); // of 72
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(link_lending_rules);

} // namespace
