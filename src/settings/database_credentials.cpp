// Maps the settings' sslmode, whose values load_settings() has checked.
#include "settings/database_credentials.h"

namespace mangoquay::settings {
namespace {

dialect::tls_mode tls_of(const std::string& sslmode) {
    if (sslmode == "disable") {
        return dialect::tls_mode::disable;
    }
    if (sslmode == "allow" || sslmode == "prefer") {
        return dialect::tls_mode::prefer;
    }
    // verify-ca has no mode of its own; the stricter one is taken, never a weaker one.
    return sslmode == "require" ? dialect::tls_mode::require : dialect::tls_mode::verify_full;
}

} // namespace

dialect::connection_settings database_credentials(const database_connection& chosen) {
    return {chosen.m_user, chosen.m_password, chosen.m_database, tls_of(chosen.m_sslmode), ""};
}

} // namespace mangoquay::settings
