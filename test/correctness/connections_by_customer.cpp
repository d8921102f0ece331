// Guards against connections that serve the work of another customer, exceed the limit of a lender, are
// exchanged between customers at each loan, or are kept from a customer by busier ones.
#include "lending/borrower.h"
#include "lending/lender_choice.h"
#include "lending/lending_wire.h"
#include "support/lender_with_customers.h"
#include "support/scripted_property.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>
#include <set>

using namespace mangoquay;
using core::milliseconds;
using lending::loan_refusal;
using test::customer_or_none;
using test::lender_with_customers;

namespace {

const core::endpoint_id endpoint("db-1");
const core::time_point start{std::chrono::hours(1)};
constexpr std::size_t customer_count = 85;

core::customer_name customer(std::size_t number) {
    return core::customer_name("c" + std::to_string(number));
}

std::vector<core::entry_host_id> hosts(int count) {
    std::vector<core::entry_host_id> all;
    for (int number = 1; number <= count; ++number) {
        all.emplace_back("10.1.0." + std::to_string(number));
    }
    return all;
}

// Customers with the probabilities of Zipf's law: the largest has 0.28 of the work.
std::discrete_distribution<std::size_t> zipf_customers() {
    std::vector<double> weights;
    for (std::size_t rank = 1; rank <= customer_count; ++rank) {
        weights.push_back(std::pow(static_cast<double>(rank), -1.2));
    }
    return {weights.begin(), weights.end()};
}

class loan_request_recorder final : public lending::borrower_ports {
public:
    void send_loan_request(const core::entry_host_id& lender, lending::loan_id loan, const core::endpoint_id&,
                           const lending::loan_terms&, const std::vector<relay::database_request>&) override {
        m_requests.emplace_back(lender, loan);
    }
    void send_requests(const core::entry_host_id&, lending::loan_id, std::uint32_t,
                       const std::vector<relay::database_request>&) override {}
    void send_loan_end(const core::entry_host_id&, lending::loan_id,
                       const lending::returned_state&) override {}
    void on_connection_lent(relay::connection_id, const lending::loan_offer&) override {}
    void on_connection_answered(relay::connection_id, const relay::database_answer&) override {}
    void on_loan_refused(relay::connection_id, loan_refusal) override {}
    void on_loan_lost(relay::connection_id, const std::string&) override {}

    std::vector<std::pair<core::entry_host_id, lending::loan_id>> m_requests;
};

// A borrower with three lenders, and loans of one customer.
struct borrower_of_customer {
    borrower_of_customer() { m_borrower.set_lenders({{endpoint, m_lenders}}); }
    // Returns the lender that is asked first.
    core::entry_host_id borrow(core::time_point now) {
        m_borrower.borrow(relay::connection_id(++m_last), endpoint, m_terms, {}, now);
        return m_ports.m_requests.back().first;
    }
    // Grants the last loan and returns it.
    void grant(std::uint32_t queue_length = 0) {
        const auto [lender, loan] = m_ports.m_requests.back();
        m_borrower.on_loan_granted(lender, loan, {.m_queue_length = queue_length});
        m_borrower.return_connection(relay::connection_id(m_last), {});
    }

    std::vector<core::entry_host_id> m_lenders = hosts(3);
    std::vector<core::entry_host_id> m_ranked = lending::rank_for_customer(m_lenders, endpoint, customer(1));
    lending::loan_terms m_terms{.m_max_wait = milliseconds(200), .m_customer = customer(1)};
    loan_request_recorder m_ports;
    lending::borrower m_borrower{m_ports, 100};
    std::uint64_t m_last = 0;
};

class connections_by_customer : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(connections_by_customer);
    CPPUNIT_TEST(all_hosts_rank_lenders_alike_and_spread_the_customers);
    CPPUNIT_TEST(losing_a_lender_moves_only_its_customers);
    CPPUNIT_TEST(the_first_lender_in_the_ranking_is_asked_unless_it_is_clearly_more_loaded);
    CPPUNIT_TEST(the_next_lender_is_asked_after_a_refusal_or_without_an_answer);
    CPPUNIT_TEST(an_old_queue_length_does_not_keep_a_customer_from_its_lender);
    CPPUNIT_TEST(loans_without_a_customer_rotate_as_before);
    CPPUNIT_TEST(the_customer_reaches_the_lender);
    CPPUNIT_TEST(loans_use_connections_of_their_customer_within_the_limit);
    CPPUNIT_TEST(most_loans_find_an_idle_connection_at_once);
    CPPUNIT_TEST(two_customers_do_not_exchange_a_connection_at_each_loan);
    CPPUNIT_TEST(a_customer_without_a_connection_is_served_at_a_busy_lender);
    CPPUNIT_TEST(probes_use_any_connection_and_replace_none);
    CPPUNIT_TEST(a_smaller_share_closes_connections_beyond_it);
    CPPUNIT_TEST(connections_of_customers_do_not_block_a_lender_without_customers);
    CPPUNIT_TEST(without_customers_loans_share_all_connections);
    CPPUNIT_TEST_SUITE_END();

    static void all_hosts_rank_lenders_alike_and_spread_the_customers() {
        std::vector<core::entry_host_id> listed = hosts(4);
        std::map<core::entry_host_id, int> first_choices;
        std::mt19937 random(1); // NOLINT(cert-msc32-c,cert-msc51-cpp): reproducible
        for (std::size_t number = 0; number < customer_count; ++number) {
            const auto ranked = lending::rank_for_customer(listed, endpoint, customer(number));
            CPPUNIT_ASSERT_EQUAL(std::size_t(4), std::set(ranked.begin(), ranked.end()).size());
            ++first_choices[ranked.front()];
            std::ranges::shuffle(listed, random);
            CPPUNIT_ASSERT(lending::rank_for_customer(listed, endpoint, customer(number)) == ranked);
        }
        for (const auto& [host, count] : first_choices) { // 21 on average.
            CPPUNIT_ASSERT(count >= 8);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), first_choices.size());
    }

    static void losing_a_lender_moves_only_its_customers() {
        const std::vector<core::entry_host_id> all = hosts(4);
        for (const core::entry_host_id& lost : all) {
            std::vector<core::entry_host_id> left = all;
            std::erase(left, lost);
            for (std::size_t number = 0; number < customer_count; ++number) {
                auto expected = lending::rank_for_customer(all, endpoint, customer(number));
                std::erase(expected, lost);
                CPPUNIT_ASSERT(lending::rank_for_customer(left, endpoint, customer(number)) == expected);
            }
        }
    }

    static void the_first_lender_in_the_ranking_is_asked_unless_it_is_clearly_more_loaded() {
        borrower_of_customer fixture;
        for (int loan = 0; loan < 6; ++loan) { // Not granted yet.
            CPPUNIT_ASSERT(fixture.borrow(start) == fixture.m_ranked[0]);
        }
        for (int loan = 0; loan < 10 && fixture.borrow(start) == fixture.m_ranked[0]; ++loan) {
        }
        CPPUNIT_ASSERT(fixture.m_ports.m_requests.back().first == fixture.m_ranked[1]);
    }

    static void the_next_lender_is_asked_after_a_refusal_or_without_an_answer() {
        borrower_of_customer fixture;
        fixture.borrow(start);
        fixture.m_borrower.on_loan_refused(fixture.m_ranked[0], fixture.m_ports.m_requests.back().second,
                                           loan_refusal::busy, start);
        CPPUNIT_ASSERT(fixture.m_ports.m_requests.back().first == fixture.m_ranked[1]);
        CPPUNIT_ASSERT(fixture.borrow(start) == fixture.m_ranked[0]);
        fixture.m_borrower.on_host_lost(fixture.m_ranked[0], start);
        CPPUNIT_ASSERT(fixture.m_ports.m_requests.back().first == fixture.m_ranked[1]);
        CPPUNIT_ASSERT(fixture.borrow(start + milliseconds(100)) == fixture.m_ranked[1]);
        CPPUNIT_ASSERT(fixture.borrow(start + milliseconds(5000)) == fixture.m_ranked[0]);
    }

    // A lender reports its queue only with a grant, so one that is not asked any more reports nothing.
    static void an_old_queue_length_does_not_keep_a_customer_from_its_lender() {
        borrower_of_customer fixture;
        fixture.borrow(start);
        fixture.grant(50);
        CPPUNIT_ASSERT(fixture.borrow(start + milliseconds(10)) == fixture.m_ranked[1]);
        fixture.grant();
        CPPUNIT_ASSERT(fixture.borrow(start + milliseconds(2000)) == fixture.m_ranked[0]);
    }

    static void loans_without_a_customer_rotate_as_before() {
        borrower_of_customer fixture;
        fixture.m_terms.m_customer.reset();
        std::map<core::entry_host_id, int> asked;
        for (int loan = 0; loan < 9; ++loan) {
            ++asked[fixture.borrow(start)];
        }
        for (const core::entry_host_id& host : fixture.m_lenders) {
            CPPUNIT_ASSERT_EQUAL(3, asked[host]);
        }
    }

    static void the_customer_reaches_the_lender() {
        for (const customer_or_none& sent : {customer_or_none(customer(7)), customer_or_none()}) {
            for (const bool any_customer : {false, true}) {
                lending::loan_terms terms{.m_max_wait = milliseconds(200)};
                terms.m_customer = sent;
                terms.m_any_customer = any_customer;
                const auto message = lending::to_wire(lending::loan_id(1), endpoint, terms, {});
                CPPUNIT_ASSERT(lending::from_wire(message).m_customer == sent);
                CPPUNIT_ASSERT_EQUAL(any_customer, lending::from_wire(message).m_any_customer);
            }
        }
    }

    static std::string random_run(testing::script& script) {
        lender_with_customers lender(1 + script.next_below(6), 1 + script.next_below(4));
        while (!script.finished() && lender.violation().empty()) {
            const std::uint32_t choice = script.next_below(24);
            if (choice < 12) {
                const std::uint32_t number = script.next_below(5);
                lender.request(number == 0 ? customer_or_none() : customer(number), script.one_in(8));
            } else if (choice < 20) {
                lender.advance(milliseconds(script.next_below(30)));
            } else if (choice == 20) {
                lender.set_share(1 + script.next_below(6), 1 + script.next_below(4), !script.one_in(4));
            } else if (choice == 21) {
                lender.refuse_openings(script.one_in(3));
            } else if (choice == 22) {
                lender.fail_openings(script.one_in(3));
            } else if (script.one_in(4)) {
                lender.break_connections();
            }
        }
        return lender.violation();
    }

    static void loans_use_connections_of_their_customer_within_the_limit() {
        CPPUNIT_ASSERT(testing::property_holds(random_run, {.m_runs = 500, .m_numbers = 400}));
    }

    // 45 statements/s are the load of one database of the smaller deployments. Their 28 hosts per zone give
    // its databases three lenders with 17 connections each.
    static void most_loans_find_an_idle_connection_at_once() {
        std::vector<std::unique_ptr<lender_with_customers>> lenders;
        lenders.reserve(3);
        for (int number = 0; number < 3; ++number) {
            lenders.push_back(std::make_unique<lender_with_customers>(17, 5));
        }
        const std::vector<core::entry_host_id> names = hosts(3);
        std::mt19937_64 random(20261207); // NOLINT(cert-msc32-c,cert-msc51-cpp): reproducible
        auto customers = zipf_customers();
        const auto found = [&] {
            std::uint64_t count = 0;
            for (const auto& lender : lenders) {
                count += lender->counters().m_granted_idle;
            }
            return count;
        };
        constexpr int warm_up = 5000;
        constexpr int measured = 20'000;
        std::uint64_t found_before = 0;
        std::uint64_t refused = 0;
        for (int loan = 0; loan < warm_up + measured; ++loan) {
            if (loan == warm_up) {
                found_before = found();
            }
            const core::customer_name chosen = customer(customers(random));
            const auto first = lending::rank_for_customer(names, endpoint, chosen).front();
            lender_with_customers& asked =
                *lenders[static_cast<std::size_t>(std::ranges::find(names, first) - names.begin())];
            const std::uint64_t number = asked.request(chosen);
            const auto pause = std::exponential_distribution<double>(45.0 / 1000.0)(random);
            for (const auto& lender : lenders) {
                lender->advance(milliseconds(std::lround(pause)));
            }
            refused += asked.was_refused(number) ? 1 : 0;
        }
        const double share = static_cast<double>(found() - found_before) / measured;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(share), share >= 0.85);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), refused);
        for (const auto& lender : lenders) {
            CPPUNIT_ASSERT_EQUAL(std::string(), lender->violation());
        }
    }

    static void two_customers_do_not_exchange_a_connection_at_each_loan() {
        for (const std::uint32_t connections : {1U, 2U}) {
            lender_with_customers lender(connections, 4);
            std::vector<std::uint64_t> loans;
            for (int round = 0; round < 200; ++round) { // Ten seconds.
                loans.push_back(lender.request(customer(round % 2)));
                lender.advance(milliseconds(25));
                loans.push_back(lender.request(customer(round % 2 + (connections == 2 ? 2 : 0))));
                lender.advance(milliseconds(25));
            }
            const std::uint64_t replaced = lender.counters().m_connections_replaced;
            CPPUNIT_ASSERT_MESSAGE(std::to_string(replaced), replaced <= loans.size() / 8);
            const auto granted =
                std::ranges::count_if(loans, [&](std::uint64_t loan) { return lender.was_granted(loan); });
            CPPUNIT_ASSERT_MESSAGE(std::to_string(granted),
                                   granted >= static_cast<std::ptrdiff_t>(loans.size() / 4));
            CPPUNIT_ASSERT_EQUAL(std::string(), lender.violation());
        }
    }

    // 17 customers use their connections all the time; another one comes every 0.7 s.
    static void a_customer_without_a_connection_is_served_at_a_busy_lender() {
        lender_with_customers lender(17, 6);
        std::vector<std::uint64_t> rare;
        for (int step = 0; step < 3500; ++step) {
            for (std::size_t number = 0; number < 17; ++number) {
                if (step % 15 == static_cast<int>(number) % 15) {
                    lender.request(customer(number));
                }
            }
            if (step % 175 == 174) {
                rare.push_back(lender.request(customer(50)));
            }
            lender.advance(milliseconds(4));
        }
        lender.advance(milliseconds(200));
        const auto granted =
            std::ranges::count_if(rare, [&](std::uint64_t loan) { return lender.was_granted(loan); });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(granted),
                               granted >= static_cast<std::ptrdiff_t>(rare.size()) * 9 / 10);
        CPPUNIT_ASSERT(lender.counters().m_connections_replaced <= 200);
    }

    static void probes_use_any_connection_and_replace_none() {
        lender_with_customers lender(1, 1);
        lender.advance(milliseconds(200));
        lender.request(customer(1));
        lender.advance(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lender.open_count_of(customer(1)));
        const std::uint64_t probe = lender.request(std::nullopt, true);
        CPPUNIT_ASSERT(lender.was_granted(probe));
        lender.advance(milliseconds(20));
        lender.request(customer(1));
        const std::uint64_t waiting = lender.request(std::nullopt, true);
        CPPUNIT_ASSERT(!lender.was_granted(waiting));
        lender.advance(milliseconds(20));
        CPPUNIT_ASSERT(lender.was_granted(waiting));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), lender.counters().m_connections_replaced);
    }

    // Another lender returns, and opens the connections that this one gives up.
    static void a_smaller_share_closes_connections_beyond_it() {
        lender_with_customers lender(12, 12);
        for (std::size_t number = 0; number < 12; ++number) {
            lender.request(customer(number));
            lender.advance(milliseconds(number < 6 ? 50 : 5));
        }
        CPPUNIT_ASSERT(lender.open_count() > 10);
        lender.set_share(4, 12);
        lender.advance(milliseconds(500));
        CPPUNIT_ASSERT(lender.open_count() <= 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), lender.open_count_of(customer(0))); // Used the longest ago.
    }

    static void connections_of_customers_do_not_block_a_lender_without_customers() {
        lender_with_customers lender(4, 4);
        for (std::size_t number = 0; number < 4; ++number) {
            lender.request(customer(number));
            lender.advance(milliseconds(150));
        }
        lender.request(customer(3)); // Lent while the customers are removed.
        lender.set_share(4, 4, false);
        std::vector<std::uint64_t> loans;
        for (int loan = 0; loan < 8; ++loan) {
            loans.push_back(lender.request(std::nullopt));
            lender.advance(milliseconds(40));
        }
        lender.advance(milliseconds(200));
        for (const std::uint64_t loan : loans) {
            CPPUNIT_ASSERT(lender.was_granted(loan));
        }
        CPPUNIT_ASSERT_EQUAL(lender.open_count(), lender.open_count_of(std::nullopt));
        CPPUNIT_ASSERT_EQUAL(std::string(), lender.violation());
    }

    static void without_customers_loans_share_all_connections() {
        lender_with_customers lender(6, 4, false);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), lender.open_count()); // As many as there are slots.
        for (int loan = 0; loan < 20; ++loan) {
            CPPUNIT_ASSERT(lender.was_granted(lender.request(std::nullopt)));
            lender.advance(milliseconds(20));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), lender.counters().m_connections_opened);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), lender.counters().m_connections_replaced);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), lender.counters().m_granted_idle);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(connections_by_customer);

} // namespace
