// What each rule of waiting and placing is worth under the load that it answers: the recorded load is
// replayed with the rule and without it. The rates are those of the users' sheets for one service whose
// primary serves alone.
#include "support/load_replay.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

using namespace mangoquay::test;
using mangoquay::core::milliseconds;
using mangoquay::relay::relay_rules;

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
        const auto before = without.find(kind);
        std::cerr << ' ' << kind << ' ' << (before == without.end() ? 0 : before->second) << " -> " << count;
    }
    std::cerr << '\n';
}

class relay_load_patterns : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(relay_load_patterns);
    CPPUNIT_TEST(an_overloaded_primary_serves_more_with_shorter_work_first);
    CPPUNIT_TEST(urgent_work_is_in_time_at_a_primary_that_many_hosts_share);
    CPPUNIT_TEST(transactions_that_pause_do_not_block_their_host);
    CPPUNIT_TEST_SUITE_END();

    // 92 bookings and 30 views a second at the crest, 28 and 47 ms of work, five slots: 1.2 times what they
    // carry.
    static void an_overloaded_primary_serves_more_with_shorter_work_first() {
        load_pattern pattern;
        pattern.m_kinds = {{"booking", 150, milliseconds(28), milliseconds(400), 2, {}},
                           {"view", 45, milliseconds(47), milliseconds(800), 2, {}}};
        relay_rules without;
        without.m_shorter_first = false;
        const auto after = replay_load(pattern, {});
        const auto before = replay_load(pattern, without);
        print("shorter first", after, before);
        CPPUNIT_ASSERT(total(after) > total(before));
    }
    // Eleven hosts before three slots: without the rule their statements queue at the database, whatever
    // their priority.
    static void urgent_work_is_in_time_at_a_primary_that_many_hosts_share() {
        load_pattern pattern;
        pattern.m_hosts = 11;
        pattern.m_slots = 3;
        pattern.m_connections = 43;
        pattern.m_kinds = {{"hold", 30, milliseconds(6), milliseconds(150), 1, {}},
                           {"sheet", 180, milliseconds(20), milliseconds(250), 2, {}}};
        relay_rules without;
        without.m_adapt_window = false;
        const auto after = replay_load(pattern, {});
        const auto before = replay_load(pattern, without);
        print("adapted window", after, before);
        CPPUNIT_ASSERT(after.at("hold") > before.at("hold"));
    }
    // The balancer's hash gives one host four times the share of the others; transactions hold links for 600
    // ms.
    static void transactions_that_pause_do_not_block_their_host() {
        load_pattern pattern;
        pattern.m_first_host_weight = 5;
        pattern.m_kinds = {{"entry", 28, milliseconds(9), milliseconds(200), 1, milliseconds(300)},
                           {"booking", 40, milliseconds(28), milliseconds(400), 2, {}}};
        relay_rules without;
        without.m_extra_links = false;
        const auto after = replay_load(pattern, {});
        const auto before = replay_load(pattern, without);
        print("borrowed links", after, before);
        CPPUNIT_ASSERT(total(after) > total(before));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_load_patterns);

} // namespace
