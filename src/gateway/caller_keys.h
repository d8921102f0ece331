// Identifies the caller of a request by its key. Owns the digests of the keys, never the keys themselves.
// Immutable and therefore thread-safe.
#pragma once

#include "core/ids.h"
#include "settings/settings.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace mangoquay::gateway {

class caller_keys {
public:
    explicit caller_keys(std::vector<settings::caller_key> callers) : m_callers(std::move(callers)) {}

    // Returns the caller for the header value `Bearer KEY`, or null if the key is not known. All digests are
    // compared in constant time, so that the response time reveals nothing about the keys.
    [[nodiscard]] const settings::caller_key* find_caller(std::string_view authorization) const;
    [[nodiscard]] std::size_t index_of(const settings::caller_key& caller) const {
        return static_cast<std::size_t>(&caller - m_callers.data());
    }
    [[nodiscard]] std::size_t size() const { return m_callers.size(); }

private:
    std::vector<settings::caller_key> m_callers;
};

// Returns whether the caller's key allows statements for `service`.
bool may_use_service(const settings::caller_key& caller, const core::service_name& service);

} // namespace mangoquay::gateway
