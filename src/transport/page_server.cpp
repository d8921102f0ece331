// Creates the page on the event loop while the thread of the HTTP server waits.
#include "transport/page_server.h"

#include "core/clock.h"

#include <future>
#include <memory>
#include <utility>

namespace mangoquay::transport {
namespace {

// A request that the event loop does not answer within this time is answered with status 503.
constexpr core::milliseconds page_timeout{1000};

} // namespace

page_server::page_server(event_loop& loop, const std::optional<control::socket_address>& address,
                         page_source source, const http_server_limits& limits)
    : m_loop(loop), m_source(std::move(source)) {
    if (address) {
        m_server.emplace(
            *address, http_server::thread_model::shared, [this](const http_request&) { return answer(); },
            limits);
    }
}

http_response page_server::answer() {
    const auto promise = std::make_shared<std::promise<std::string>>();
    auto page = promise->get_future();
    m_loop.post([this, promise] { promise->set_value(m_source()); });
    if (page.wait_for(page_timeout) != std::future_status::ready) {
        return {503, {}, {}, "text/plain"};
    }
    return {200, page.get(), {}, "text/plain; charset=utf-8"};
}

} // namespace mangoquay::transport
