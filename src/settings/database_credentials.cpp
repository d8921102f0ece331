// Maps sslmode from the settings to a TLS mode. load_settings() has validated its value.
#include "settings/database_credentials.h"

namespace mangoquay::settings {
namespace {

dialect::tls_mode to_tls_mode(const std::string& sslmode) {
    if (sslmode == "disable") {
        return dialect::tls_mode::disable;
    }
    if (sslmode == "allow" || sslmode == "prefer") {
        return dialect::tls_mode::prefer;
    }
    // verify-ca has no counterpart in tls_mode, so it maps to the stricter verify_full.
    return sslmode == "require" ? dialect::tls_mode::require : dialect::tls_mode::verify_full;
}

} // namespace

dialect::connection_settings database_credentials(const database_connection& connection) {
    return {connection.m_user, connection.m_password, connection.m_database,
            to_tls_mode(connection.m_sslmode), ""};
}

} // namespace mangoquay::settings
