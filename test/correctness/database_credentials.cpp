// Guards against a configured TLS mode that is not passed to the database driver. Passwords and rows would
// then be sent unencrypted.
#include "settings/database_credentials.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using dialect::tls_mode;

class database_credentials : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(database_credentials);
    CPPUNIT_TEST(tls_mode_is_never_weakened);
    CPPUNIT_TEST_SUITE_END();

    static tls_mode mode_of(const std::string& sslmode) {
        return settings::database_credentials({"user", "", "database", sslmode}).m_tls;
    }

public:
    void tls_mode_is_never_weakened() {
        CPPUNIT_ASSERT(mode_of("disable") == tls_mode::disable);
        CPPUNIT_ASSERT(mode_of("prefer") == tls_mode::prefer);
        CPPUNIT_ASSERT(mode_of("require") == tls_mode::require);
        CPPUNIT_ASSERT(mode_of("verify-ca") == tls_mode::verify_full);
        CPPUNIT_ASSERT(mode_of("verify-full") == tls_mode::verify_full);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(database_credentials);
