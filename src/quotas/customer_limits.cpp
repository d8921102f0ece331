// Collects the limits of a document's customers.
#include "quotas/customer_limits.h"

namespace mangoquay::quotas {

limits_by_customer limits_of(const documents::configuration& configuration) {
    limits_by_customer limits;
    if (configuration.m_customers) {
        for (const documents::customer_rule& customer : configuration.m_customers->customers()) {
            limits[customer.m_name] = {customer.m_rate_per_s, customer.m_burst};
        }
    }
    return limits;
}

} // namespace mangoquay::quotas
