// Tells who sent a request from its key. Owns: digests of the keys, never the keys. Immutable, so any thread
// may use it.
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

    // `authorization`: `Bearer KEY`. Null: no known key. Every digest is compared in constant time, so the
    // time tells nothing about the keys.
    [[nodiscard]] const settings::caller_key* find_caller(std::string_view authorization) const;
    [[nodiscard]] std::size_t index_of(const settings::caller_key& caller) const {
        return static_cast<std::size_t>(&caller - m_callers.data());
    }
    [[nodiscard]] std::size_t size() const { return m_callers.size(); }

private:
    std::vector<settings::caller_key> m_callers;
};

bool may_use_service(const settings::caller_key& caller, const core::service_name& service);

} // namespace mangoquay::gateway
