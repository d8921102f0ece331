// Adapter between ulfius and the handler.
#include "transport/http_server.h"

#include "transport/socket_options.h"

#include <ulfius.h>

#include <cstdint>
#include <utility>
#include <vector>

namespace mangoquay::transport {
namespace {

// Configurations of several hundred routes are smaller than 256 KiB. The limit is four times that size, so
// that the handler receives a moderately oversized body as a whole and can refuse it. ulfius truncates longer
// bodies.
constexpr std::size_t max_body_bytes = 1U << 20U;
constexpr std::intptr_t max_connections = 256;
constexpr std::intptr_t idle_timeout_s = 30;
constexpr std::intptr_t thread_stack_bytes = 256 * 1024;

std::string to_string_or_empty(const char* text) {
    return text == nullptr ? "" : text;
}

} // namespace

struct http_server::instance {
    control::socket_address m_address;
    thread_model m_model = thread_model::shared;
    http_handler m_handler;
    _u_instance m_ulfius{};
    sockaddr_in m_bind{};
    bool m_initialized = false;
    bool m_running = false;

    static int answer(const _u_request* request, _u_response* response, void* user_data) noexcept {
        try {
            const auto& self = *static_cast<instance*>(user_data);
            http_request received{
                to_string_or_empty(request->http_verb), to_string_or_empty(request->url_path), {}};
            if (request->binary_body != nullptr) {
                received.m_body.assign(static_cast<const char*>(request->binary_body),
                                       request->binary_body_length);
            }
            const http_response reply = self.m_handler(received);
            ulfius_set_binary_body_response(response, reply.m_status, reply.m_body.data(),
                                            reply.m_body.size());
            u_map_put(response->map_header, "Content-Type", reply.m_content_type);
            if (!reply.m_location.empty()) {
                u_map_put(response->map_header, "Location", reply.m_location.c_str());
            }
        } catch (...) { // Out of memory.
            ulfius_set_empty_body_response(response, 503);
        }
        return U_CALLBACK_COMPLETE;
    }
};

http_server::http_server(control::socket_address address, thread_model model, http_handler handler)
    : m_instance(std::make_unique<instance>()) {
    m_instance->m_address = std::move(address);
    m_instance->m_model = model;
    m_instance->m_handler = std::move(handler);
}

http_server::~http_server() {
    if (m_instance->m_running) {
        ulfius_stop_framework(&m_instance->m_ulfius);
    }
    if (m_instance->m_initialized) {
        ulfius_clean_instance(&m_instance->m_ulfius);
    }
}

std::string http_server::start() {
    instance& own = *m_instance;
    const auto bound = to_socket_address(own.m_address);
    if (!bound) {
        return "not an IPv4 address: " + own.m_address.m_host;
    }
    own.m_bind = *bound;
    if (ulfius_init_instance(&own.m_ulfius, own.m_address.m_port, &own.m_bind, nullptr) != U_OK) {
        return "the HTTP server cannot be initialized";
    }
    own.m_initialized = true;
    own.m_ulfius.allowed_post_processor = U_POST_PROCESS_NONE;
    own.m_ulfius.max_post_body_size = max_body_bytes;
    ulfius_set_default_endpoint(&own.m_ulfius, &instance::answer, &own);
    const auto function = [](auto* pointer) { return reinterpret_cast<std::intptr_t>(pointer); };
    std::vector<MHD_OptionItem> options{
        {MHD_OPTION_NOTIFY_COMPLETED, function(&mhd_request_completed), nullptr},
        {MHD_OPTION_URI_LOG_CALLBACK, function(&ulfius_uri_logger), nullptr},
        {MHD_OPTION_SOCK_ADDR, 0, &own.m_bind},
        {MHD_OPTION_CONNECTION_LIMIT, max_connections, nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, idle_timeout_s, nullptr},
        {MHD_OPTION_THREAD_STACK_SIZE, thread_stack_bytes, nullptr},
        {MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, nullptr},
        {MHD_OPTION_END, 0, nullptr}};
    unsigned flags = MHD_USE_POLL_INTERNAL_THREAD | MHD_USE_ERROR_LOG;
    if (own.m_model == thread_model::per_connection) {
        flags |= MHD_USE_THREAD_PER_CONNECTION;
    }
    if (ulfius_start_framework_with_mhd_options(&own.m_ulfius, flags, options.data()) != U_OK) {
        return "cannot listen on " + own.m_address.m_host + ":" + std::to_string(own.m_address.m_port);
    }
    own.m_running = true;
    return {};
}

} // namespace mangoquay::transport
