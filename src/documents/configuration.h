// The configuration document that an operator replaces as a whole: routes, services, limits.
//
// Every entry host obeys the document of the highest version that it has seen. Validation is a pure function,
// so each control host refuses the same documents.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mangoquay::documents {

using document_version = core::strong_value<struct document_version_tag, std::uint64_t>;

// What a reader of the route may be shown.
enum class consistency : std::uint8_t {
    latest,           // every acknowledged commit
    bounded_age,      // every commit acknowledged longer ago than m_max_age
    read_your_writes, // the same, and every commit of the reader's session
};

struct route_rule {
    std::string m_database; // the name that callers ask for
    consistency m_consistency = consistency::latest;
    core::milliseconds m_statement_timeout{}; // of one statement
    core::milliseconds m_target_latency{};  // of an operation
    std::uint32_t m_priority = 0;           // 0 is served first
    std::uint32_t m_max_attempts = 1;           // that may run at a database
    core::milliseconds m_max_age{};     // unless m_consistency is latest
    core::service_name m_service;

    friend bool operator==(const route_rule&, const route_rule&) = default;
};

struct service_rule {
    core::service_name m_name;
    std::uint32_t m_max_connections = 0; // at each of its databases, from all callers
    std::uint32_t m_synchronous_replicas = 0;

    friend bool operator==(const service_rule&, const service_rule&) = default;
};

struct configuration {
    document_version m_version;
    std::vector<route_rule> m_routes;
    std::vector<service_rule> m_services;
    core::milliseconds m_transaction_idle_timeout{}; // 0: none

    friend bool operator==(const configuration&, const configuration&) = default;

    [[nodiscard]] const route_rule* find_route(std::string_view database) const;
    [[nodiscard]] const service_rule* find_service(const core::service_name& name) const;
};

// Decodes and checks a document's bytes; a failure names what is wrong.
using document_decoder = core::result<configuration> (*)(std::string_view bytes);

} // namespace mangoquay::documents
