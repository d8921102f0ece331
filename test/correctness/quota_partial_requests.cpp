// Guards against shares that a partial request changes or hides: an answer to it must leave the other
// customers alone, and the leader must go on counting what they hold.
#include "quotas/quota_granter.h"
#include "quotas/quota_holder.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using core::milliseconds;

namespace {

const core::entry_host_id host("host-a");
const core::customer_name tray("tray");
const core::customer_name lorry("lorry");
constexpr quotas::operation_limit limit{40.0, 40.0};

class silent_ports final : public quotas::granter_ports {
public:
    void propose_holder(const core::entry_host_id& /*host*/, bool /*holds*/) override {}
};

class quota_partial_requests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(quota_partial_requests);
    CPPUNIT_TEST(an_urgent_request_names_only_the_customer_that_waits);
    CPPUNIT_TEST(a_partial_answer_leaves_other_shares_as_they_are);
    CPPUNIT_TEST(a_share_that_no_partial_request_names_stays_counted);
    CPPUNIT_TEST(a_whole_answer_after_a_later_partial_one_changes_nothing_and_stays_counted);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override {
        const quotas::limits_by_customer limits{{tray, limit}, {lorry, limit}};
        m_granter.set_holders({host});
        m_granter.set_limits(limits, m_now);
        m_granter.begin_term(quotas::granter_term(1), m_now);
        m_now += milliseconds(20'000); // Shares of earlier leaders have ended.
        m_holder.set_limits(limits, m_now);
        m_holder.on_session_opened(tray);
        m_holder.on_session_opened(lorry);
        for (int second = 0; second < 10; ++second) { // A steady demand of both customers.
            for (int operation = 0; operation < 10; ++operation) {
                m_now += milliseconds(100);
                run(tray);
                run(lorry);
            }
        }
        CPPUNIT_ASSERT(m_holder.held(tray, m_now) && m_holder.held(lorry, m_now));
    }

private:
    // One operation that arrives and, if needed, asks the leader once.
    void run(const core::customer_name& customer) {
        m_holder.on_operation_arrived(customer, m_now);
        m_holder.admit(customer, m_now, m_now);
        if (const auto request = m_holder.next_request(m_now)) {
            deliver(*request);
        }
        m_holder.admit(customer, m_now, m_now);
    }
    void deliver(const quotas::quota_request& request) {
        if (const auto grant = m_granter.on_request(host, request, m_now)) {
            m_holder.on_grant(*grant, m_now);
        }
    }
    // A partial request that names `tray` only: its tokens are used up and one more operation waits.
    quotas::quota_request urgent_request() {
        m_now += milliseconds(30);
        for (int operation = 0; operation < 200; ++operation) {
            m_now += core::microseconds(10);
            if (m_holder.admit(tray, m_now, m_now) == quotas::admission::waiting) {
                break;
            }
        }
        m_now += quotas::min_request_pause;
        const auto request = m_holder.next_request(m_now);
        CPPUNIT_ASSERT(request && request->m_partial);
        return *request;
    }
    void send_whole_request() {
        m_now += quotas::request_period;
        const auto request = m_holder.next_request(m_now);
        CPPUNIT_ASSERT(request && !request->m_partial);
        deliver(*request);
    }

    void an_urgent_request_names_only_the_customer_that_waits() {
        send_whole_request();
        const quotas::quota_request request = urgent_request();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), request.m_customers.size());
        CPPUNIT_ASSERT(request.m_customers.front().m_customer == tray);
    }
    void a_partial_answer_leaves_other_shares_as_they_are() {
        send_whole_request();
        const auto before = m_holder.held(lorry, m_now);
        deliver(urgent_request());
        CPPUNIT_ASSERT(before && m_holder.held(lorry, m_now) == before);
    }
    void a_share_that_no_partial_request_names_stays_counted() {
        send_whole_request();
        for (int round = 0; round < 3; ++round) {
            deliver(urgent_request());
        }
        const auto held = m_holder.held(lorry, m_now);
        CPPUNIT_ASSERT(held && m_granter.assigned(lorry, m_now).m_capacity >= held->m_capacity);
    }
    void a_whole_answer_after_a_later_partial_one_changes_nothing_and_stays_counted() {
        m_now += quotas::request_period;
        const auto whole = m_holder.next_request(m_now);
        CPPUNIT_ASSERT(whole && !whole->m_partial);
        const auto late = m_granter.on_request(host, *whole, m_now);
        CPPUNIT_ASSERT(late);
        m_now += milliseconds(250); // The answer counts as lost.
        deliver(urgent_request());
        const auto before = m_holder.held(lorry, m_now);
        CPPUNIT_ASSERT(!m_holder.on_grant(*late, m_now));
        CPPUNIT_ASSERT(before && m_holder.held(lorry, m_now) == before);
        CPPUNIT_ASSERT(m_granter.assigned(lorry, m_now).m_capacity >= before->m_capacity);
    }

    core::time_point m_now = core::time_point{} + std::chrono::hours(1);
    silent_ports m_ports;
    quotas::quota_granter m_granter{m_ports, {}};
    quotas::quota_holder m_holder{core::incarnation(1)};
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(quota_partial_requests);
