// Guards against hosts of a cell with equal election timeouts: if they start at the same time, they split
// their votes in every election and the cell has no leader.
#include "consensus/raft_driver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

using mangoquay::consensus::election_seed;
using mangoquay::core::entry_host_id;

namespace {

class election_seeds : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(election_seeds);
    CPPUNIT_TEST(differ_for_a_common_base);
    CPPUNIT_TEST(differ_when_the_base_is_a_hash_of_the_host);
    CPPUNIT_TEST_SUITE_END();

    static void differ_for_a_common_base() {
        CPPUNIT_ASSERT(election_seed(1, entry_host_id("10.1.0.1")) !=
                       election_seed(1, entry_host_id("10.2.0.1")));
    }

    static void differ_when_the_base_is_a_hash_of_the_host() {
        const std::hash<entry_host_id> hash;
        const entry_host_id first("10.1.0.1");
        const entry_host_id second("10.2.0.1");
        CPPUNIT_ASSERT(election_seed(hash(first), first) != election_seed(hash(second), second));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(election_seeds);

} // namespace
