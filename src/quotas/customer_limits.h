// The limits of the customers of a configuration document.
#pragma once

#include "documents/configuration.h"
#include "quotas/share.h"

namespace mangoquay::quotas {

// Empty if the document has no customers.
limits_by_customer limits_of(const documents::configuration& configuration);

} // namespace mangoquay::quotas
