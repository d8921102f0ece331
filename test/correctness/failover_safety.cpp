// Guards against lost acknowledged writes, acknowledgements under a replaced term, and promotions that never
// end, under crashes, cuts, pauses and changes of leader and owner.
#include "support/group_model.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using mangoquay::testing::group_model;
using mangoquay::testing::planted;
using mangoquay::testing::script;

class failover_safety : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(failover_safety);
    CPPUNIT_TEST(no_acknowledged_write_is_lost);
    CPPUNIT_TEST(groups_recover_after_faults);
    CPPUNIT_TEST(planted_faults_are_caught);
    CPPUNIT_TEST_SUITE_END();

    static auto with(planted fault) {
        return [fault](script& steps) {
            group_model model(steps, steps.one_in(2) ? 5 : 3, fault);
            return model.run();
        };
    }

public:
    void no_acknowledged_write_is_lost() {
        int promotions = 0;
        std::size_t acknowledged = 0;
        CPPUNIT_ASSERT(testing::holds(
            [&](script& steps) {
                group_model model(steps, steps.one_in(2) ? 5 : 3, planted::none);
                std::string found = model.run();
                promotions += model.promotions();
                acknowledged += model.acknowledged();
                return found;
            },
            {300, 8000}));
        // The property would hold trivially without promotions and acknowledgements.
        CPPUNIT_ASSERT(promotions > 300);
        CPPUNIT_ASSERT(acknowledged > 3000);
    }

    void groups_recover_after_faults() {
        CPPUNIT_ASSERT(testing::holds(
            [](script& steps) {
                group_model model(steps, steps.one_in(2) ? 5 : 3, planted::none);
                std::string found = model.run();
                return found.empty() ? model.heal_and_finish() : found;
            },
            {100, 4000}));
    }

    void planted_faults_are_caught() {
        const testing::script_size size{300, 8000};
        CPPUNIT_ASSERT(testing::violated(with(planted::no_wait_in_force), size));
        CPPUNIT_ASSERT(testing::violated(with(planted::acks_without_lease), size));
        CPPUNIT_ASSERT(testing::violated(with(planted::acks_without_quorum), size));
        CPPUNIT_ASSERT(testing::violated(with(planted::acks_replaced_term), size));
        CPPUNIT_ASSERT(testing::violated(with(planted::terms_overstated), size));
        CPPUNIT_ASSERT(testing::violated(with(planted::steps_not_fenced), size));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(failover_safety);
