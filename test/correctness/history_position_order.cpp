// Guards against comparing log positions without their terms: a replica that kept a discarded tail must not
// compare as newer than one that follows the current primary. Also checks that reason names can be parsed.
#include "core/history_position.h"
#include "core/verdict.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay::core;

class history_position_order : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(history_position_order);
    CPPUNIT_TEST(later_term_is_past_larger_position);
    CPPUNIT_TEST(reason_names_round_trip);
    CPPUNIT_TEST_SUITE_END();

public:
    void later_term_is_past_larger_position() {
        const history_position discarded{term{3}, log_position{900}};
        const history_position current{term{4}, log_position{120}};
        CPPUNIT_ASSERT(current > discarded);
    }

    void reason_names_round_trip() {
        const auto parsed = parse_reason(to_string(reason::day_not_settled));
        CPPUNIT_ASSERT(parsed == reason::day_not_settled);
        CPPUNIT_ASSERT(!parse_reason("nonsense").has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(history_position_order);
