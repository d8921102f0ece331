// Guards the effect of each scheduling rule: a load pattern is simulated with the rule and without it, and
// fewer operations must end within their latency target without it. The rates are those of a service whose
// primary runs all statements. A rule without effect would let an overloaded database, urgent statements or
// idle transactions delay other callers.
#include "support/load_replay.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

using namespace mangoquay::test;
using mangoquay::core::milliseconds;
using mangoquay::relay::scheduling_rules;

namespace {

int total(const std::map<std::string, int>& served) {
    int sum = 0;
    for (const auto& [kind, count] : served) {
        sum += count;
    }
    return sum;
}

void print(const char* load, const std::map<std::string, int>& with,
           const std::map<std::string, int>& without) {
    std::cerr << load << ":";
    for (const auto& [kind, count] : with) {
        const auto baseline = without.find(kind);
        std::cerr << ' ' << kind << ' ' << (baseline == without.end() ? 0 : baseline->second) << " -> "
                  << count;
    }
    std::cerr << '\n';
}

class relay_load_patterns : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(relay_load_patterns);
    CPPUNIT_TEST(overloaded_primary_serves_more_when_shorter_statements_run_first);
    CPPUNIT_TEST(urgent_statements_meet_their_target_at_a_primary_shared_by_many_hosts);
    CPPUNIT_TEST(idle_transactions_do_not_block_other_statements_of_their_host);
    CPPUNIT_TEST_SUITE_END();

    // At its peak the service has 92 bookings and 30 views per second with 28 and 47 ms of service time. The
    // pattern has 150 and 45 per second, which is about 1.26 times the capacity of five slots.
    static void overloaded_primary_serves_more_when_shorter_statements_run_first() {
        load_pattern pattern;
        pattern.m_kinds = {{"booking", 150, milliseconds(28), milliseconds(400), 2, {}},
                           {"view", 45, milliseconds(47), milliseconds(800), 2, {}}};
        scheduling_rules without;
        without.m_shorter_first = false;
        const auto with_rule = replay_load(pattern, {});
        const auto without_rule = replay_load(pattern, without);
        print("shorter first", with_rule, without_rule);
        CPPUNIT_ASSERT(total(with_rule) > total(without_rule));
    }
    // Eleven hosts share a database with three slots. Without the rule their statements queue at the
    // database, which does not know their priority.
    static void urgent_statements_meet_their_target_at_a_primary_shared_by_many_hosts() {
        load_pattern pattern;
        pattern.m_hosts = 11;
        pattern.m_slots = 3;
        pattern.m_connections = 43;
        pattern.m_kinds = {{"hold", 30, milliseconds(6), milliseconds(150), 1, {}},
                           {"sheet", 180, milliseconds(20), milliseconds(250), 2, {}}};
        scheduling_rules without;
        without.m_adapt_concurrency_limit = false;
        const auto with_rule = replay_load(pattern, {});
        const auto without_rule = replay_load(pattern, without);
        print("adaptive concurrency limit", with_rule, without_rule);
        CPPUNIT_ASSERT(with_rule.at("hold") > without_rule.at("hold"));
    }
    // The hash of a load balancer can give one host four times the share of the others; here it is five
    // times. Transactions hold their connections for 600 ms while they are idle.
    static void idle_transactions_do_not_block_other_statements_of_their_host() {
        load_pattern pattern;
        pattern.m_first_host_weight = 5;
        pattern.m_kinds = {{"entry", 28, milliseconds(9), milliseconds(200), 1, milliseconds(300)},
                           {"booking", 40, milliseconds(28), milliseconds(400), 2, {}}};
        scheduling_rules without;
        without.m_extra_connections = false;
        const auto with_rule = replay_load(pattern, {});
        const auto without_rule = replay_load(pattern, without);
        print("extra connections", with_rule, without_rule);
        CPPUNIT_ASSERT(total(with_rule) > total(without_rule));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_load_patterns);

} // namespace
