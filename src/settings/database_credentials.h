// The credentials of this process at endpoints, from its settings. All connections use them: owners, probes,
// failover steps.
#pragma once

#include "dialect/database_dialect.h"
#include "settings/settings.h"

namespace mangoquay::settings {

dialect::connection_settings database_credentials(const database_connection& chosen);

} // namespace mangoquay::settings
