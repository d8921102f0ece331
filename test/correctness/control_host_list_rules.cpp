// Guards against a subscriber that forgets all control hosts that are there, and so never finds the cell
// again: silence of every host at once says nothing about any of them.
#include "fleet/control_host_list.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using namespace std::chrono_literals;
using fleet::control_host_list;

namespace {

const core::time_point start{1h};
constexpr core::milliseconds round_interval{500};
const core::entry_host_id self("10.0.0.9");
const core::entry_host_id first("10.0.0.1");
const core::entry_host_id second("10.0.0.2");
const core::entry_host_id third("10.0.0.3");
using host_set = std::set<core::entry_host_id>;

class control_host_list_rules : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(control_host_list_rules);
    CPPUNIT_TEST(a_host_that_does_not_answer_beside_others_is_removed);
    CPPUNIT_TEST(hosts_that_are_all_silent_are_kept);
    CPPUNIT_TEST(hosts_are_kept_after_a_time_in_which_this_process_did_not_run);
    CPPUNIT_TEST(hosts_of_the_settings_are_asked_again_while_none_answers);
    CPPUNIT_TEST(a_host_that_is_not_known_does_not_count_as_answering);
    CPPUNIT_TEST_SUITE_END();

    control_host_list m_list{self};
    core::time_point m_now = start;

public:
    void setUp() override {
        m_list.add_seed(first, m_now);
        m_list.add_seed(second, m_now);
        m_list.add(third, m_now);
    }

private:
    // Hosts that answer each round.
    void run_rounds(core::milliseconds length, const host_set& answering) {
        for (const core::time_point end = m_now + length; m_now < end; m_now += round_interval) {
            for (const auto& host : answering) {
                m_list.on_answer(host, m_now);
            }
            m_list.start_round(m_now);
        }
    }

    void a_host_that_does_not_answer_beside_others_is_removed() {
        run_rounds(fleet::control_host_retention + 2 * round_interval, {first, third});
        CPPUNIT_ASSERT((m_list.hosts() == host_set{first, third}));
    }

    void hosts_that_are_all_silent_are_kept() {
        run_rounds(5 * fleet::control_host_retention, {});
        run_rounds(10 * round_interval, {first});
        CPPUNIT_ASSERT((m_list.hosts() == host_set{first, second, third}));
    }

    void hosts_are_kept_after_a_time_in_which_this_process_did_not_run() {
        run_rounds(10 * round_interval, {first, second, third});
        m_now += 2 * fleet::control_host_retention;
        run_rounds(10 * round_interval, {first});
        CPPUNIT_ASSERT((m_list.hosts() == host_set{first, second, third}));
    }

    void hosts_of_the_settings_are_asked_again_while_none_answers() {
        run_rounds(2 * fleet::control_host_retention, {third});
        CPPUNIT_ASSERT((m_list.hosts() == host_set{third}));
        run_rounds(fleet::control_host_retention, {});
        CPPUNIT_ASSERT((m_list.hosts() == host_set{first, second, third}));
    }

    void a_host_that_is_not_known_does_not_count_as_answering() {
        run_rounds(2 * fleet::control_host_retention, {core::entry_host_id("10.0.0.4")});
        CPPUNIT_ASSERT((m_list.hosts() == host_set{first, second, third}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_host_list_rules);

} // namespace
