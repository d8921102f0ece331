// Guards against shares that together exceed the memory of the process, ordinary callers that are stopped
// because of others, and a count that no longer agrees with what is held.
#include "support/property_check.h"
#include "transport/memory_account.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

using namespace mangoquay;
using transport::holder_id;
using transport::memory_account;
using transport::memory_kind;
using transport::memory_pressure;

namespace {

constexpr std::size_t mebibyte = std::size_t{1} << 20U;
constexpr std::size_t sessions = 3800; // Of an entry host with 4,300 descriptors.

class memory_account_rules : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(memory_account_rules);
    CPPUNIT_TEST(shares_fit_into_the_memory);
    CPPUNIT_TEST(small_holders_alone_cause_no_pressure);
    CPPUNIT_TEST(only_small_and_largest_holder_grow_under_pressure);
    CPPUNIT_TEST(account_agrees_with_a_model);
    CPPUNIT_TEST_SUITE_END();

    static memory_account make_account() { return {transport::entry_shares(160), sessions}; }

public:
    void shares_fit_into_the_memory() {
        for (const std::uint32_t memory_mb : {16U, 40U, 64U, 160U, 256U, 4096U}) {
            const transport::memory_shares entry = transport::entry_shares(memory_mb);
            // Session state is held up to twice, by sessions and by connections.
            CPPUNIT_ASSERT(entry.m_callers + 2 * entry.m_session_state + entry.m_peers +
                               entry.m_control_calls <=
                           memory_mb * mebibyte);
            const transport::memory_shares control = transport::control_shares(memory_mb);
            CPPUNIT_ASSERT(control.m_peers + control.m_control_calls <= memory_mb * mebibyte);
        }
    }

    void small_holders_alone_cause_no_pressure() {
        memory_account account = make_account();
        for (std::uint64_t holder = 1; holder <= sessions; ++holder) {
            account.change(memory_kind::callers, holder_id(holder), 0, account.small_holder_bytes() - 1);
        }
        CPPUNIT_ASSERT(account.pressure(memory_kind::callers) == memory_pressure::none);
        CPPUNIT_ASSERT(!account.largest(memory_kind::callers));
    }

    void only_small_and_largest_holder_grow_under_pressure() {
        memory_account account = make_account();
        std::uint64_t holder = 0;
        while (account.pressure(memory_kind::callers) == memory_pressure::none) {
            ++holder;
            account.change(memory_kind::callers, holder_id(holder), 0, mebibyte + holder);
        }
        const std::size_t small = account.small_holder_bytes() - 1;
        CPPUNIT_ASSERT(account.may_grow(memory_kind::callers, holder_id(holder + 1), small));
        CPPUNIT_ASSERT(account.may_grow(memory_kind::callers, holder_id(holder), mebibyte + holder));
        CPPUNIT_ASSERT(!account.may_grow(memory_kind::callers, holder_id(1), mebibyte + 1));
        CPPUNIT_ASSERT(account.pressure(memory_kind::peers) == memory_pressure::none);
    }

    void account_agrees_with_a_model() {
        CPPUNIT_ASSERT(test::meets_expectation(test::expectation::holds, [] {
            memory_account account = make_account();
            std::map<std::uint64_t, std::size_t> model;
            const auto steps =
                *rc::gen::container<std::vector<std::pair<std::uint64_t, std::size_t>>>(rc::gen::pair(
                    rc::gen::inRange<std::uint64_t>(0, 8), rc::gen::inRange<std::size_t>(0, mebibyte)));
            for (const auto& [holder, bytes] : steps) {
                account.change(memory_kind::callers, holder_id(holder), model[holder], bytes);
                model[holder] = bytes;
            }
            std::size_t total = 0;
            std::size_t largest = 0;
            for (const auto& [holder, bytes] : model) {
                total += bytes;
                largest = std::max(largest, bytes);
            }
            RC_ASSERT(account.held(memory_kind::callers) == total);
            const auto found = account.largest(memory_kind::callers);
            RC_ASSERT(found.has_value() == (largest >= account.small_holder_bytes()));
            const bool is_largest = !found || model.at(found->value()) == largest;
            RC_ASSERT(is_largest);
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(memory_account_rules);

} // namespace
