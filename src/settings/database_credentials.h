// Credentials with which this process connects to endpoints, taken from its settings. All connections use
// them: those of endpoint owners, of probes and of failover steps.
#pragma once

#include "dialect/database_dialect.h"
#include "settings/settings.h"

namespace mangoquay::settings {

// Never selects a weaker TLS mode than the configured sslmode.
dialect::connection_settings database_credentials(const database_connection& connection);

} // namespace mangoquay::settings
