// The configuration document that an operator replaces as a whole: routes, services, customers, limits.
//
// Every entry host applies the document with the highest version that it has received. Validation is a pure
// function, so all control hosts reject the same documents.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/result.h"
#include "documents/customers.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangoquay::documents {

using document_version = core::strong_value<struct document_version_tag, std::uint64_t>;

// Which commits a read through the route must reflect.
enum class consistency : std::uint8_t {
    latest,           // Every acknowledged commit.
    bounded_age,      // Every commit acknowledged longer ago than m_max_age.
    read_your_writes, // As bounded_age, and every commit of the reader's own session.
};

struct route_rule {
    std::string m_database; // Database name that callers request at startup.
    consistency m_consistency = consistency::latest;
    core::milliseconds m_statement_timeout{}; // Time limit of one statement.
    core::milliseconds m_target_latency{};    // Target latency of one operation.
    std::uint32_t m_priority = 0;             // 0 is the highest priority.
    std::uint32_t m_max_attempts = 1;         // Limit of the attempts to run one statement at a database.
    core::milliseconds m_max_age{};           // Maximum age of the data. Not used if m_consistency is latest.
    core::service_name m_service;
    bool m_public = false; // Callers need no key of a customer.

    friend bool operator==(const route_rule&, const route_rule&) = default;
};

struct service_rule {
    core::service_name m_name;
    std::uint32_t m_max_connections = 0; // Limit at each of the service's databases, over all callers.
    std::uint32_t m_synchronous_replicas = 0;

    friend bool operator==(const service_rule&, const service_rule&) = default;
};

// Whether entry hosts use a primary of the service only under a lease. Not needed where the executor of
// promotions ends the lead of the old primary and refuses late orders, unless commits have to survive: a late
// order could then promote a replica that lacks them.
[[nodiscard]] bool needs_primary_lease(const service_rule& service, bool executor_fences);

struct configuration {
    document_version m_version;
    std::vector<route_rule> m_routes;
    std::vector<service_rule> m_services;
    // Empty: callers are not told apart by customer, and every caller is accepted.
    std::optional<customer_directory> m_customers;
    core::milliseconds m_transaction_idle_timeout{}; // 0 means no limit.

    friend bool operator==(const configuration&, const configuration&) = default;

    // Both return nullptr if there is no entry of that name.
    [[nodiscard]] const route_rule* find_route(std::string_view database) const;
    [[nodiscard]] const service_rule* find_service(const core::service_name& name) const;
};

// Decodes and validates the bytes of a document. A failure states what is invalid.
using document_decoder = core::result<configuration> (*)(std::string_view bytes);

} // namespace mangoquay::documents
