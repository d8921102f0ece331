// The HTTP API without sockets: authenticates a request, finds its handler, decodes the body, calls the
// backend and builds the response. Thread-safe.
//
// Decides which caller may make which call. Owns the counts of requests in progress and their limits.
// Invariants: a client without a known key gets only status 401, also for paths that do not exist; every
// response except the metrics page has a verdict and a reason.
#pragma once

#include "core/clock.h"
#include "gateway/api_message.h"
#include "gateway/caller_keys.h"
#include "gateway/proxy_backend.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace mangoquay::gateway {

struct api_limits {
    std::uint32_t m_requests_in_progress = 4096;
    std::uint32_t m_requests_per_caller = 2048;
    bool m_fault_injection = false;
};

class api_router {
public:
    api_router(std::vector<settings::caller_key> callers, api_limits limits, proxy_backend& backend);

    // Never throws. If a handler throws, the verdict is may_have_run, because the request may have been sent.
    api_response handle(const api_request& request) noexcept;

    [[nodiscard]] std::uint32_t requests_in_progress() const { return m_in_progress.load(); }

private:
    class admitted_request;

    api_response dispatch(const api_request& request);

    caller_keys m_keys;
    api_limits m_limits;
    proxy_backend& m_backend;
    std::atomic<std::uint32_t> m_in_progress{0};
    std::vector<std::atomic<std::uint32_t>> m_per_caller;
};

} // namespace mangoquay::gateway
