// Single rules of shares at the entry hosts and at the leader. Each test guards against operations beyond a
// limit or against shares that are lost, unless it says otherwise.
#include "quotas/quota_granter.h"
#include "quotas/quota_holder.h"

#include <cppunit/extensions/HelperMacros.h>
#include <limits>

using namespace mangoquay;
using core::milliseconds;
using quotas::admission;
using quotas::operation_limit;
using quotas::quota_grant;
using quotas::quota_request;
using quotas::share;

namespace {

const core::customer_name customer("tray");
const core::entry_host_id first("first");
const core::entry_host_id second("second");
const core::entry_host_id third("third");
constexpr operation_limit limit{100.0, 100.0};
constexpr operation_limit lower{25.0, 25.0};
constexpr double all_capacity = 120.0; // Burst x 1.1 and half of the slack of 20.

core::time_point at(int milliseconds_since_start) {
    return core::time_point{} + std::chrono::hours(1) + milliseconds(milliseconds_since_start);
}

// One entry host that demands a steady rate.
struct entry_host {
    explicit entry_host(std::uint64_t incarnation = 1) : m_holder(core::incarnation(incarnation)) {
        m_holder.set_limits({{customer, limit}}, at(0));
    }
    quota_request request(core::time_point now) {
        m_holder.on_operation_arrived(customer, now);
        m_holder.admit(customer, now, now);
        return m_holder.next_request(now + milliseconds(1)).value();
    }
    // Of the holder's latest request.
    bool grant(const quota_request& request, const share& share, double tokens, core::time_point now,
               std::uint64_t term = 1) {
        return m_holder.on_grant({request.m_incarnation,
                                  request.m_number,
                                  quotas::granter_term(term),
                                  false,
                                  {{customer, share, tokens, limit}}},
                                 now);
    }
    admission admit(core::time_point now) { return m_holder.admit(customer, now, now); }
    int admitted(core::time_point now) {
        int count = 0;
        while (admit(now) == admission::admitted) {
            ++count;
        }
        return count;
    }

    quotas::quota_holder m_holder;
};

class leader final : private quotas::granter_ports {
public:
    explicit leader(std::set<core::entry_host_id> holders = {}, std::uint64_t term = 1)
        : m_granter(static_cast<quotas::granter_ports&>(*this), quotas::window_tolerance{}) {
        m_granter.set_limits({{customer, limit}}, at(0));
        m_granter.set_holders(std::move(holders));
        m_granter.begin_term(quotas::granter_term(term), at(0));
    }
    // Listed on its own proposal, as in a new fleet.
    void add(const core::entry_host_id& host, core::time_point now) {
        m_granter.on_request(host, request(1), now);
        CPPUNIT_ASSERT(m_proposals.back() == std::pair(host, true));
        m_listed.insert(host);
        m_granter.set_holders(m_listed);
    }
    static quota_request request(std::uint64_t number, std::uint64_t applied = 0, share held = {},
                                 double arrivals = 200.0, std::uint64_t incarnation = 1,
                                 std::uint64_t applied_term = 1) {
        return {core::incarnation(incarnation),
                quotas::request_number(number),
                quotas::request_number(applied),
                quotas::granter_term(applied > 0 ? applied_term : 0),
                {{customer, held, arrivals, 1, 0, 0.0}}};
    }
    share granted(const core::entry_host_id& host, const quota_request& request, core::time_point now) {
        const auto grant = m_granter.on_request(host, request, now);
        return !grant || grant->m_shares.empty() ? share{} : grant->m_shares.front().m_share;
    }
    double tokens_for(const core::entry_host_id& host, std::uint32_t waiting, std::uint64_t number,
                      core::time_point now) {
        quota_request waiting_request = request(number);
        waiting_request.m_customers.front().m_waiting = waiting;
        const auto grant = m_granter.on_request(host, waiting_request, now);
        return !grant || grant->m_shares.empty() ? 0.0 : grant->m_shares.front().m_tokens;
    }
    [[nodiscard]] share assigned(core::time_point now) const { return m_granter.assigned(customer, now); }

    std::set<core::entry_host_id> m_listed;
    std::vector<std::pair<core::entry_host_id, bool>> m_proposals;
    quotas::quota_granter m_granter;

private:
    void propose_holder(const core::entry_host_id& host, bool holds) override {
        m_proposals.emplace_back(host, holds);
    }
};

bool within(const share& sum, const operation_limit& bound, double capacity) {
    return sum.m_rate_per_s <= bound.m_rate_per_s * 1.000001 && sum.m_capacity <= capacity * 1.000001;
}

class quota_rules : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(quota_rules);
    CPPUNIT_TEST(a_share_ends_ten_seconds_after_its_request);
    CPPUNIT_TEST(customers_that_are_not_listed_are_admitted);
    CPPUNIT_TEST(a_refund_returns_one_token);
    CPPUNIT_TEST(a_refund_beyond_the_capacity_goes_to_the_leader);
    CPPUNIT_TEST(answers_to_other_processes_and_earlier_requests_are_ignored);
    CPPUNIT_TEST(answers_of_earlier_leaders_are_ignored);
    CPPUNIT_TEST(a_lower_limit_reduces_a_share_and_a_higher_one_does_not_restore_it);
    CPPUNIT_TEST(a_lower_burst_alone_reduces_the_capacity);
    CPPUNIT_TEST(a_customer_that_was_removed_loses_its_share);
    CPPUNIT_TEST(an_answer_does_not_refuse_operations_that_it_does_not_know);
    CPPUNIT_TEST(operations_that_wait_are_counted);
    CPPUNIT_TEST(the_leader_counts_a_share_longer_than_hosts_use_it);
    CPPUNIT_TEST(the_pool_does_not_grow_by_a_share_before_its_end);
    CPPUNIT_TEST(the_pool_does_not_grow_while_a_leader_waits_for_holders);
    CPPUNIT_TEST(a_host_that_this_leader_listed_is_not_waited_for);
    CPPUNIT_TEST(the_larger_share_counts_until_the_smaller_is_confirmed);
    CPPUNIT_TEST(a_new_process_frees_the_shares_of_the_former_one);
    CPPUNIT_TEST(late_requests_of_a_former_process_are_ignored);
    CPPUNIT_TEST(a_process_with_a_clock_that_was_set_back_is_served_later);
    CPPUNIT_TEST(a_limit_that_fell_and_rose_counts_shares_in_full);
    CPPUNIT_TEST(a_customer_that_returns_finds_its_shares_counted);
    CPPUNIT_TEST(nothing_is_granted_before_a_host_is_listed);
    CPPUNIT_TEST(nothing_is_granted_after_the_removal_of_a_host_was_proposed);
    CPPUNIT_TEST(a_new_leader_waits_for_all_holders);
    CPPUNIT_TEST(an_answer_of_an_earlier_leader_confirms_nothing);
    CPPUNIT_TEST(a_list_that_was_incomplete_is_waited_for);
    CPPUNIT_TEST(amounts_that_are_not_finite_are_bounded);
    CPPUNIT_TEST_SUITE_END();

    static void a_share_ends_ten_seconds_after_its_request() {
        entry_host host;
        const quota_request request = host.request(at(0)); // Sent at 1 ms.
        CPPUNIT_ASSERT(host.grant(request, {1.0, 50.0}, 50.0, at(5000)));
        CPPUNIT_ASSERT(host.admit(at(10'000)) == admission::admitted);
        CPPUNIT_ASSERT(host.admit(at(10'001)) != admission::admitted);
        CPPUNIT_ASSERT(!host.m_holder.held(customer, at(10'001)));
    }
    static void customers_that_are_not_listed_are_admitted() {
        entry_host host;
        CPPUNIT_ASSERT(host.m_holder.admit(core::customer_name("other"), at(0), at(0)) ==
                       admission::admitted);
    }
    static void a_refund_returns_one_token() {
        entry_host host;
        CPPUNIT_ASSERT(host.grant(host.request(at(0)), {0.0, 3.0}, 3.0, at(10)));
        CPPUNIT_ASSERT_EQUAL(3, host.admitted(at(20)));
        host.m_holder.refund(customer, at(30));
        CPPUNIT_ASSERT_EQUAL(1, host.admitted(at(40)));
        host.m_holder.refund(customer, at(11'000)); // The share has ended.
        CPPUNIT_ASSERT_EQUAL(0, host.admitted(at(11'010)));
    }
    static void a_refund_beyond_the_capacity_goes_to_the_leader() {
        entry_host host;
        CPPUNIT_ASSERT(host.grant(host.request(at(0)), {0.0, 3.0}, 3.0, at(10)));
        host.m_holder.refund(customer, at(30));
        const quota_request next = host.m_holder.next_request(at(2000)).value();
        CPPUNIT_ASSERT_EQUAL(1.0, next.m_customers.front().m_returned_tokens);
        CPPUNIT_ASSERT_EQUAL(3, host.admitted(at(2001)));
    }
    static void answers_to_other_processes_and_earlier_requests_are_ignored() {
        entry_host host;
        const quota_request old_request = host.request(at(0));
        const quota_request request = host.request(at(1500));
        CPPUNIT_ASSERT(host.grant(request, {0.0, 3.0}, 3.0, at(1510)));
        CPPUNIT_ASSERT(!host.grant(old_request, {0.0, 50.0}, 50.0, at(1520)));
        CPPUNIT_ASSERT(!host.grant(request, {0.0, 50.0}, 50.0, at(1530)));
        quota_request foreign = host.request(at(3000));
        foreign.m_incarnation = core::incarnation(7);
        CPPUNIT_ASSERT(!host.grant(foreign, {0.0, 50.0}, 50.0, at(3010)));
        CPPUNIT_ASSERT_EQUAL(2, host.admitted(at(3020))); // One was admitted by request().
    }
    static void answers_of_earlier_leaders_are_ignored() {
        entry_host host;
        const quota_request to_new_leader = host.request(at(0));
        const quota_request to_old_leader = host.request(at(1500));
        CPPUNIT_ASSERT(host.grant(to_new_leader, {0.0, 3.0}, 3.0, at(1600), 2));
        CPPUNIT_ASSERT(!host.grant(to_old_leader, {0.0, 50.0}, 50.0, at(1610), 1));
    }
    static void a_lower_limit_reduces_a_share_and_a_higher_one_does_not_restore_it() {
        entry_host host;
        CPPUNIT_ASSERT(host.grant(host.request(at(0)), {40.0, 40.0}, 40.0, at(10)));
        host.m_holder.set_limits({{customer, lower}}, at(20));
        CPPUNIT_ASSERT((host.m_holder.held(customer, at(20)) == share{10.0, 10.0}));
        host.m_holder.set_limits({{customer, limit}}, at(30));
        CPPUNIT_ASSERT((host.m_holder.held(customer, at(30)) == share{10.0, 10.0}));
        CPPUNIT_ASSERT_EQUAL(10, host.admitted(at(30)));
    }
    // The sum of the capacities depends on the burst alone.
    static void a_lower_burst_alone_reduces_the_capacity() {
        entry_host host;
        CPPUNIT_ASSERT(host.grant(host.request(at(0)), {40.0, all_capacity}, 0.0, at(10)));
        host.m_holder.set_limits({{customer, {limit.m_rate_per_s, 10.0}}}, at(20));
        const share held = host.m_holder.held(customer, at(20)).value();
        CPPUNIT_ASSERT(held.m_capacity <= quotas::total_capacity({limit.m_rate_per_s, 10.0}, {}));
        CPPUNIT_ASSERT_EQUAL(40.0, held.m_rate_per_s);
    }
    static void a_customer_that_was_removed_loses_its_share() {
        entry_host host;
        CPPUNIT_ASSERT(host.grant(host.request(at(0)), {40.0, 40.0}, 40.0, at(10)));
        host.m_holder.set_limits({{core::customer_name("other"), limit}}, at(20));
        host.m_holder.set_limits({{customer, limit}}, at(30));
        CPPUNIT_ASSERT_EQUAL(0, host.admitted(at(40)));
    }
    // Guards against refusals below the limit.
    static void an_answer_does_not_refuse_operations_that_it_does_not_know() {
        entry_host host;
        host.m_holder.on_session_opened(customer);
        const quota_request request = host.m_holder.next_request(at(0)).value();
        CPPUNIT_ASSERT(host.admit(at(1)) == admission::waiting);
        CPPUNIT_ASSERT(host.grant(request, {}, 0.0, at(2)));
        CPPUNIT_ASSERT(host.m_holder.admit(customer, at(1), at(3)) == admission::waiting);
        const quota_request next = host.m_holder.next_request(at(60)).value();
        CPPUNIT_ASSERT(host.grant(next, {}, 0.0, at(62)));
        CPPUNIT_ASSERT(host.m_holder.admit(customer, at(1), at(63)) == admission::over_limit);
    }
    // Guards against refusals below the limit: one token for two operations.
    static void operations_that_wait_are_counted() {
        entry_host host;
        CPPUNIT_ASSERT(host.admit(at(0)) == admission::waiting);
        CPPUNIT_ASSERT(host.admit(at(1)) == admission::waiting);
        CPPUNIT_ASSERT(host.m_holder.admit(customer, at(0), at(2)) == admission::waiting);
        const quota_request request = host.m_holder.next_request(at(3)).value();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, request.m_customers.front().m_waiting);
    }

    static void the_leader_counts_a_share_longer_than_hosts_use_it() {
        leader leader;
        leader.add(first, at(0));
        const share one = leader.granted(first, leader::request(2), at(100));
        CPPUNIT_ASSERT(one.m_rate_per_s > 0.0);
        CPPUNIT_ASSERT(leader.assigned(at(11'100)) == one);
        // 10 s of a clock at 0.9 of true time, on one at 1.1.
        CPPUNIT_ASSERT(leader.assigned(at(100 + 12'222)) == one);
        CPPUNIT_ASSERT(leader.assigned(at(100 + 12'300)) == share{});
    }
    // The host may have used its share to the end, and other hosts would then use the same tokens again.
    static void the_pool_does_not_grow_by_a_share_before_its_end() {
        leader leader;
        leader.add(first, at(0));
        leader.add(second, at(0));
        const share held = leader.granted(first, leader::request(2), at(100));
        CPPUNIT_ASSERT(held.m_capacity > 0.5 * all_capacity);
        CPPUNIT_ASSERT(leader.tokens_for(second, 1000, 2, at(12'400)) <= all_capacity - held.m_capacity);
    }
    // As above, with a share of an earlier leader that this one does not know.
    static void the_pool_does_not_grow_while_a_leader_waits_for_holders() {
        leader leader({first, second}, 2);
        leader.granted(second, leader::request(1), at(0));
        CPPUNIT_ASSERT_EQUAL(0.0, leader.tokens_for(second, 1000, 2, at(12'300)));
    }
    // Guards against refusals while the hosts of a new fleet join.
    static void a_host_that_this_leader_listed_is_not_waited_for() {
        leader leader;
        leader.add(first, at(0));
        leader.add(second, at(0));
        CPPUNIT_ASSERT(leader.granted(first, leader::request(2), at(100)).m_capacity > 0.0);
    }
    static void the_larger_share_counts_until_the_smaller_is_confirmed() {
        leader leader;
        leader.add(first, at(0));
        const share large = leader.granted(first, leader::request(2), at(100));
        const share small = leader.granted(first, leader::request(3, 2, large, 5.0), at(1100));
        CPPUNIT_ASSERT(small.m_rate_per_s < large.m_rate_per_s);
        CPPUNIT_ASSERT(leader.assigned(at(1100)) == large);
        leader.granted(first, leader::request(4, 3, small, 5.0), at(1200));
        CPPUNIT_ASSERT(leader.assigned(at(1200)) == small);
    }
    static void a_new_process_frees_the_shares_of_the_former_one() {
        leader leader;
        leader.add(first, at(0));
        leader.add(second, at(0));
        const share held = leader.granted(first, leader::request(2), at(100));
        CPPUNIT_ASSERT(leader.granted(second, leader::request(2, 0, {}, 1.0), at(150)).m_capacity > 0.0);
        leader.granted(first, leader::request(1, 0, {}, 0.0, 2), at(200));
        CPPUNIT_ASSERT(leader.assigned(at(200)).m_rate_per_s < held.m_rate_per_s);
    }
    static void late_requests_of_a_former_process_are_ignored() {
        leader leader;
        leader.add(first, at(0));
        const share held = leader.granted(first, leader::request(1, 0, {}, 200.0, 2), at(100));
        CPPUNIT_ASSERT(!leader.m_granter.on_request(first, leader::request(500), at(110)));
        CPPUNIT_ASSERT(leader.assigned(at(110)) == held);
        CPPUNIT_ASSERT(leader.m_granter.on_request(first, leader::request(2, 1, held, 200.0, 2), at(120)));
    }
    // Guards against a host that is refused for ever.
    static void a_process_with_a_clock_that_was_set_back_is_served_later() {
        leader leader;
        leader.add(first, at(0));
        leader.granted(first, leader::request(1, 0, {}, 200.0, 2), at(100));
        CPPUNIT_ASSERT(!leader.m_granter.on_request(first, leader::request(2), at(5000)));
        CPPUNIT_ASSERT(leader.m_granter.on_request(first, leader::request(3), at(12'400)));
    }
    // A host that is cut off does not apply the lower limit.
    static void a_limit_that_fell_and_rose_counts_shares_in_full() {
        leader leader;
        leader.add(first, at(0));
        leader.add(second, at(0));
        const share held = leader.granted(first, leader::request(2), at(100));
        leader.m_granter.set_limits({{customer, lower}}, at(200));
        CPPUNIT_ASSERT(within(leader.assigned(at(200)), lower, quotas::total_capacity(lower, {})));
        leader.m_granter.set_limits({{customer, limit}}, at(300));
        CPPUNIT_ASSERT(leader.assigned(at(300)) == held);
        leader.granted(second, leader::request(2), at(400));
        CPPUNIT_ASSERT(within(leader.assigned(at(400)), limit, all_capacity));
    }
    static void a_customer_that_returns_finds_its_shares_counted() {
        leader leader;
        leader.add(first, at(0));
        leader.add(second, at(0));
        const share held = leader.granted(first, leader::request(2), at(100));
        leader.m_granter.set_limits({}, at(200));
        leader.m_granter.set_limits({{customer, limit}}, at(300));
        CPPUNIT_ASSERT(leader.assigned(at(300)) == held);
        quota_request waiting = leader::request(2);
        waiting.m_customers.front().m_waiting = 1000;
        const quota_grant grant = leader.m_granter.on_request(second, waiting, at(400)).value();
        CPPUNIT_ASSERT(within(leader.assigned(at(400)), limit, all_capacity));
        CPPUNIT_ASSERT(grant.m_shares.front().m_tokens <= all_capacity - held.m_capacity);
    }
    static void nothing_is_granted_before_a_host_is_listed() {
        leader leader;
        CPPUNIT_ASSERT(!leader.m_granter.on_request(first, leader::request(1), at(0)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leader.m_proposals.size());
    }
    // The next leader would not wait for this host.
    static void nothing_is_granted_after_the_removal_of_a_host_was_proposed() {
        leader leader;
        leader.add(first, at(0));
        leader.granted(first, leader::request(2), at(100));
        leader.m_granter.tick(at(60'200));
        CPPUNIT_ASSERT(leader.m_proposals.back() == std::pair(first, false));
        CPPUNIT_ASSERT(!leader.m_granter.on_request(first, leader::request(3), at(60'300)));
        leader.m_granter.set_holders({});
        leader.m_granter.tick(at(61'000));
        leader.add(first, at(61'100));
        CPPUNIT_ASSERT(leader.m_granter.on_request(first, leader::request(4), at(61'200)));
    }
    static void a_new_leader_waits_for_all_holders() {
        leader leader({first, second}, 2);
        const share held{30.0, 30.0};
        CPPUNIT_ASSERT(leader.granted(first, leader::request(5, 4, held), at(100)) == held);
        CPPUNIT_ASSERT(leader.granted(first, leader::request(6, 5, held, 200.0, 1, 2), at(200)) == held);
        CPPUNIT_ASSERT(!leader.m_granter.may_assign(at(300)));
        leader.granted(second, leader::request(5), at(300));
        CPPUNIT_ASSERT(!leader.m_granter.may_assign(at(300)));
        leader.granted(second, leader::request(6, 5, {}, 0.0, 1, 2), at(400));
        CPPUNIT_ASSERT(leader.m_granter.may_assign(at(400)));
        CPPUNIT_ASSERT(leader.granted(first, leader::request(7, 6, held, 200.0, 1, 2), at(500)).m_rate_per_s >
                       held.m_rate_per_s);
    }
    // A request that was delayed over a change of leader came first, so the host had applied the answer to a
    // later request from the earlier leader already.
    static void an_answer_of_an_earlier_leader_confirms_nothing() {
        leader leader({first}, 2);
        leader.granted(first, leader::request(5, 4, {10.0, 10.0}), at(100));
        const share held{60.0, 60.0};
        leader.granted(first, leader::request(8, 7, held), at(200));
        CPPUNIT_ASSERT(!leader.m_granter.may_assign(at(200)));
        CPPUNIT_ASSERT(leader.assigned(at(200)) == held);
    }
    static void a_list_that_was_incomplete_is_waited_for() {
        leader leader;
        leader.add(first, at(0));
        const share held = leader.granted(first, leader::request(2), at(50));
        leader.m_granter.set_holders({first, second}); // Not proposed by this leader.
        CPPUNIT_ASSERT(!leader.m_granter.may_assign(at(100)));
        quota_request waiting = leader::request(3, 2, held);
        waiting.m_customers.front().m_waiting = 5;
        waiting.m_customers.push_back({core::customer_name("other"), {}, 200.0, 1, 5, 0.0});
        leader.m_granter.set_limits({{customer, limit}, {core::customer_name("other"), limit}}, at(100));
        const quota_grant grant = leader.m_granter.on_request(first, waiting, at(100)).value();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, grant.m_shares.size());
        CPPUNIT_ASSERT(grant.m_shares.front().m_share == held);
        CPPUNIT_ASSERT_EQUAL(0.0, grant.m_shares.front().m_tokens);
        waiting.m_number = quotas::request_number(4);
        const quota_grant later = leader.m_granter.on_request(first, waiting, at(12'300)).value();
        for (const quotas::granted_share& share : later.m_shares) {
            CPPUNIT_ASSERT_EQUAL(0.0, share.m_tokens);
        }
        CPPUNIT_ASSERT(leader.m_granter.may_assign(at(12'300)));
    }
    static void amounts_that_are_not_finite_are_bounded() {
        leader leader;
        leader.add(first, at(0));
        leader.add(second, at(0));
        leader.add(third, at(0));
        const double endless = std::numeric_limits<double>::infinity();
        const double none = std::numeric_limits<double>::quiet_NaN();
        leader.granted(first, leader::request(2, 0, {none, none}, none), at(100));
        CPPUNIT_ASSERT(leader.granted(second, leader::request(2), at(100)).m_rate_per_s > 0.0);
        quota_request returning = leader::request(2);
        returning.m_customers.front().m_returned_tokens = none;
        leader.granted(third, returning, at(100));
        CPPUNIT_ASSERT(leader.tokens_for(third, 1000, 3, at(2000)) > 0.0);
        leader.granted(first, leader::request(3, 0, {none, 0.0}, endless), at(2100));
        CPPUNIT_ASSERT(within(leader.assigned(at(2100)), limit, all_capacity));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(quota_rules);
