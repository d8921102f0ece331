// Route table, authentication and limits of requests in progress.
#include "gateway/api_router.h"

#include "core/json_reader.h"
#include "core/log.h"
#include "gateway/api_handlers.h"

#include <algorithm>
#include <array>
#include <exception>
#include <optional>
#include <string_view>

namespace mangoquay::gateway {
namespace {

enum class access : std::uint8_t { service_caller, operator_only, fault_injection };

struct api_route {
    const char* m_method;
    const char* m_pattern; // Path pattern. `*` matches one id.
    access m_access;
    api_handler m_handler;
};

constexpr std::array api_routes{
    api_route{"POST", "/v1/services/*/statements", access::service_caller, run_statement},
    api_route{"POST", "/v1/services/*/transactions", access::service_caller, begin_transaction},
    api_route{"POST", "/v1/services/*/transactions/*/statements", access::service_caller,
              run_transaction_statement},
    api_route{"POST", "/v1/services/*/transactions/*/commit", access::service_caller, commit_transaction},
    api_route{"POST", "/v1/services/*/transactions/*/rollback", access::service_caller,
              roll_back_transaction},
    api_route{"POST", "/v1/services/*/export", access::service_caller, run_export},
    api_route{"PUT", "/v1/services/*", access::operator_only, put_service},
    api_route{"PUT", "/v1/presets/*", access::operator_only, put_preset},
    api_route{"POST", "/v1/services/*/preset", access::operator_only, select_preset},
    api_route{"POST", "/v1/services/*/days/*/close", access::operator_only, close_day},
    api_route{"PUT", "/v1/endpoints/*", access::operator_only, announce_endpoint},
    api_route{"POST", "/v1/endpoints/*/drain", access::operator_only, drain_endpoint},
    api_route{"POST", "/v1/groups/*/hand-over", access::operator_only, hand_over},
    api_route{"POST", "/v1/control-hosts/*/replace", access::operator_only, replace_control_host},
    api_route{"PUT", "/v1/faults/blocked-peers", access::fault_injection, block_peers},
    api_route{"GET", "/v1/status", access::operator_only, show_status},
    api_route{"GET", "/metrics", access::operator_only, show_metrics},
};

constexpr std::size_t max_path_id_length = 128; // A transaction id contains a host id and two numbers.

bool is_path_id(std::string_view text) {
    // A transaction id consists of identifiers joined with '~'.
    std::string without_separators(text);
    without_separators.erase(std::remove(without_separators.begin(), without_separators.end(), '~'),
                             without_separators.end());
    return text.size() <= max_path_id_length && !without_separators.empty() && without_separators != "." &&
           without_separators != ".." &&
           std::all_of(without_separators.begin(), without_separators.end(),
                       [](char each) { return core::is_identifier(std::string("x") + each); });
}

// Returns the part of `rest` up to the next '/' and removes it from `rest` together with the '/'.
std::string_view next_segment(std::string_view& rest) {
    const auto slash = rest.find('/');
    const std::string_view segment = rest.substr(0, slash);
    rest = slash == std::string_view::npos ? std::string_view{} : rest.substr(slash + 1);
    return segment;
}

std::optional<std::vector<std::string>> match(std::string_view pattern, std::string_view path) {
    if (std::count(pattern.begin(), pattern.end(), '/') != std::count(path.begin(), path.end(), '/')) {
        return std::nullopt;
    }
    std::vector<std::string> path_ids;
    while (!pattern.empty() || !path.empty()) {
        const std::string_view expected = next_segment(pattern);
        const std::string_view found = next_segment(path);
        if (expected == "*" && is_path_id(found)) {
            path_ids.emplace_back(found);
        } else if (expected != found) {
            return std::nullopt;
        }
    }
    return path_ids;
}

struct found_route {
    const api_route* m_route = nullptr;
    std::vector<std::string> m_path_ids;
    bool m_path_known = false; // True if the path exists, possibly with another method only.
};

found_route find_route(const api_request& request) {
    found_route found;
    for (const api_route& route : api_routes) {
        std::optional<std::vector<std::string>> path_ids = match(route.m_pattern, request.m_path);
        if (path_ids.has_value() && request.m_method == route.m_method) {
            return {&route, std::move(*path_ids), true};
        }
        found.m_path_known = found.m_path_known || path_ids.has_value();
    }
    return found;
}

} // namespace

// Counts a request as in progress for the lifetime of the object.
class api_router::admitted_request {
public:
    admitted_request(api_router& router, std::size_t caller)
        : m_total(router.m_in_progress), m_caller_total(router.m_per_caller.at(caller)) {
        const bool total_within_limit = m_total.fetch_add(1) < router.m_limits.m_requests_in_progress;
        const bool caller_within_limit = m_caller_total.fetch_add(1) < router.m_limits.m_requests_per_caller;
        m_admitted = total_within_limit && caller_within_limit;
    }
    ~admitted_request() {
        m_total.fetch_sub(1);
        m_caller_total.fetch_sub(1);
    }
    admitted_request(const admitted_request&) = delete;
    admitted_request& operator=(const admitted_request&) = delete;
    admitted_request(admitted_request&&) = delete;
    admitted_request& operator=(admitted_request&&) = delete;

    [[nodiscard]] bool admitted() const { return m_admitted; }

private:
    std::atomic<std::uint32_t>& m_total;
    std::atomic<std::uint32_t>& m_caller_total;
    bool m_admitted = false;
};

api_router::api_router(std::vector<settings::caller_key> callers, api_limits limits, proxy_backend& backend)
    : m_keys(std::move(callers)), m_limits(limits), m_backend(backend), m_per_caller(m_keys.size()) {}

api_response api_router::dispatch(const api_request& request) {
    const settings::caller_key* caller = m_keys.find_caller(request.m_authorization);
    if (caller == nullptr) {
        return refusal_response(core::reason::unauthenticated,
                                "Authorization: Bearer with a known key is required");
    }
    if (request.m_body.size() > max_body_bytes) {
        return refusal_response(core::reason::malformed_request, "the request body is larger than 1 MiB",
                                413);
    }
    const found_route found = find_route(request);
    const bool hidden = found.m_route != nullptr && found.m_route->m_access == access::fault_injection &&
                        !m_limits.m_fault_injection;
    if (found.m_route == nullptr || hidden) {
        return refusal_response(core::reason::malformed_request,
                                "unknown path, or unsupported method for this path",
                                found.m_path_known && !hidden ? 405 : 404);
    }
    const bool allowed = found.m_route->m_access == access::service_caller
                             ? may_use_service(*caller, core::service_name(found.m_path_ids.front()))
                             : caller->m_operator;
    if (!allowed) {
        return refusal_response(core::reason::unauthenticated, "the key does not allow this call", 403);
    }
    const admitted_request admitted(*this, m_keys.index_of(*caller));
    // Operators must be able to reach a proxy whose limit is used up by callers.
    if (!admitted.admitted() && !caller->m_operator) {
        return refusal_response(core::reason::overloaded, "too many requests in progress at this proxy");
    }
    return found.m_route->m_handler(api_call{request, *caller, found.m_path_ids, m_backend});
}

api_response api_router::handle(const api_request& request) noexcept {
    try {
        return dispatch(request);
    } catch (const std::exception& fault) {
        core::log_line(core::log_level::error, "gateway",
                       std::string("exception in a request handler: ") + fault.what());
    } catch (...) {
        core::log_line(core::log_level::error, "gateway", "exception of unknown type in a request handler");
    }
    api_response response =
        refusal_response(core::reason::internal_fault, "internal error; the proxy's log has the details");
    response.m_json["verdict"] = core::to_string(core::verdict::may_have_run);
    return response;
}

} // namespace mangoquay::gateway
