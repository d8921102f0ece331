// Looks up callers by the digest of their key.
#include "gateway/caller_keys.h"

#include "core/digest.h"

#include <strings.h>

namespace mangoquay::gateway {

const settings::caller_key* caller_keys::find_caller(std::string_view authorization) const {
    constexpr std::string_view scheme = "Bearer ";
    if (authorization.size() <= scheme.size() ||
        strncasecmp(authorization.data(), scheme.data(), scheme.size()) != 0) {
        return nullptr;
    }
    const std::string digest = core::sha256(authorization.substr(scheme.size()));
    const settings::caller_key* found = nullptr;
    for (const settings::caller_key& each : m_callers) {
        if (core::equal_in_constant_time(each.m_sha256, digest)) {
            found = &each;
        }
    }
    return found;
}

bool may_use_service(const settings::caller_key& caller, const core::service_name& service) {
    return caller.m_all_services || caller.m_services.contains(service);
}

} // namespace mangoquay::gateway
