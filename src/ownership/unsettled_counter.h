// Counts the writes per service and business day whose outcome is not yet known.
#pragma once

#include "control/control_state.h"
#include "ownership/endpoint_owner.h"

#include <cstdint>
#include <map>
#include <vector>

namespace mangoquay::ownership {

class unsettled_counter {
public:
    void add(const control::day_key& key) { ++m_writes[key]; }
    void remove(const control::day_key& key) {
        const auto found = m_writes.find(key);
        if (found != m_writes.end() && --found->second == 0) {
            m_writes.erase(found);
        }
    }
    [[nodiscard]] std::vector<unsettled_writes> list() const {
        std::vector<unsettled_writes> all;
        all.reserve(m_writes.size());
        for (const auto& [key, writes] : m_writes) {
            all.push_back({key.m_service, key.m_day, writes});
        }
        return all;
    }

private:
    std::map<control::day_key, std::uint32_t> m_writes; // All values are positive.
};

} // namespace mangoquay::ownership
