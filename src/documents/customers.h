// The operator's customers: their names, the digests of their keys, and their limits.
//
// Keys are secrets. Only their SHA-256 digests are kept in memory, and lookups compare digests.
#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "core/strong_value.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mangoquay::documents {

// The 32 bytes of the SHA-256 digest of a key.
using key_digest = core::strong_value<struct key_digest_tag, std::string>;

key_digest digest_of(std::string_view key);

struct customer_rule {
    core::customer_name m_name;
    std::vector<key_digest> m_keys;
    double m_rate_per_s = 0.0; // Limit of the customer's operations over all hosts.
    double m_burst = 0.0;      // Operations that it may send at once.
    std::uint32_t m_priority = 0;

    friend bool operator==(const customer_rule&, const customer_rule&) = default;
};

// Invariant: names are unique, and no two customers share a key.
class customer_directory {
public:
    // A failure names the place in the list, and never a key.
    static core::result<customer_directory> create(std::vector<customer_rule> customers);

    // Both return nullptr if there is none.
    [[nodiscard]] const customer_rule* find(const key_digest& key) const;
    [[nodiscard]] const customer_rule* find(const core::customer_name& name) const;
    [[nodiscard]] const std::vector<customer_rule>& customers() const { return m_customers; }

    friend bool operator==(const customer_directory& left, const customer_directory& right) {
        return left.m_customers == right.m_customers;
    }

private:
    std::vector<customer_rule> m_customers;
    std::map<core::customer_name, std::size_t> m_by_name; // Indexes of m_customers.
    std::map<key_digest, std::size_t> m_by_key;
};

} // namespace mangoquay::documents
