// Lookups of customers by key and by name.
#include "documents/customers.h"

#include "core/digest.h"

#include <utility>

namespace mangoquay::documents {

key_digest digest_of(std::string_view key) {
    return key_digest(core::sha256(key));
}

core::result<customer_directory> customer_directory::create(std::vector<customer_rule> customers) {
    using outcome = core::result<customer_directory>;
    customer_directory directory;
    for (std::size_t index = 0; index < customers.size(); ++index) {
        const customer_rule& customer = customers[index];
        const std::string place = "[" + std::to_string(index) + "]";
        if (!directory.m_by_name.emplace(customer.m_name, index).second) {
            return outcome::failure(place + ".name is the name of another customer");
        }
        for (std::size_t key = 0; key < customer.m_keys.size(); ++key) {
            const auto [entry, added] = directory.m_by_key.emplace(customer.m_keys[key], index);
            if (!added && entry->second != index) {
                return outcome::failure(place + ".api-keys[" + std::to_string(key) +
                                        "] is a key of another customer");
            }
        }
    }
    directory.m_customers = std::move(customers);
    return directory;
}

const customer_rule* customer_directory::find(const key_digest& key) const {
    const auto found = m_by_key.find(key);
    return found == m_by_key.end() ? nullptr : &m_customers[found->second];
}

const customer_rule* customer_directory::find(const core::customer_name& name) const {
    const auto found = m_by_name.find(name);
    return found == m_by_name.end() ? nullptr : &m_customers[found->second];
}

} // namespace mangoquay::documents
