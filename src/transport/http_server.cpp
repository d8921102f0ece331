// Callbacks of libmicrohttpd, and the limits of connections and bodies.
#include "transport/http_server.h"

#include "core/log.h"
#include "transport/socket_options.h"

#include <microhttpd.h>

#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <utility>

namespace mangoquay::transport {
namespace {

// Configurations of several hundred routes are smaller than 256 KiB. The limit is four times that size, so
// that the handler receives a moderately oversized body as a whole and can refuse it. Longer bodies are
// truncated.
constexpr std::size_t max_body_bytes = 1U << 20U;
// Status reports are smaller. All connections together hold 4 MB of such bodies.
constexpr std::size_t small_body_bytes = 16384;
constexpr unsigned idle_timeout_s = 30;
constexpr std::size_t thread_stack_bytes = std::size_t{256} * 1024;
// Connections above the limit that libmicrohttpd accepts while displaced ones end.
constexpr std::size_t spare_connections = 16;
constexpr auto report_interval = std::chrono::seconds(5);

struct connection_state {
    int m_socket = -1;
    std::uint64_t m_number = 0;       // In the order of arrival.
    bool m_has_whole_request = false; // It has sent a request to its end.
    bool m_in_progress = false;       // A request was sent to its end and is not answered yet.
    bool m_displaced = false;
};

struct request_state {
    std::string m_body;
    std::size_t m_counted = 0; // In m_body_bytes of the server.
    bool m_refused = false;
};

} // namespace

struct http_server::instance {
    control::socket_address m_address;
    thread_model m_model = thread_model::shared;
    http_handler m_handler;
    http_server_limits m_limits;
    MHD_Daemon* m_daemon = nullptr;
    std::atomic<std::size_t> m_body_bytes{0};
    std::atomic<std::uint64_t> m_refused{0};
    mutable std::mutex m_mutex; // Guards the following members.
    std::map<MHD_Connection*, connection_state> m_connections;
    std::uint64_t m_last_number = 0;
    std::uint64_t m_displaced = 0;
    std::chrono::steady_clock::time_point m_next_report;

    static MHD_Result on_request(void* self, MHD_Connection* connection, const char* path, const char* method,
                                 const char* version, const char* data, std::size_t* data_size,
                                 void** state) noexcept;
    static void on_completed(void* self, MHD_Connection* connection, void** state,
                             MHD_RequestTerminationCode code) noexcept;
    static void on_connection(void* self, MHD_Connection* connection, void** socket_state,
                              MHD_ConnectionNotificationCode code) noexcept;

    // Returns false if the memory of bodies is used up.
    bool append(request_state& request, const char* data, std::size_t size);
    MHD_Result answer(MHD_Connection* connection, const http_request& request);
    static MHD_Result send(MHD_Connection* connection, const http_response& reply);
    void displace_oldest();
    void report(const char* measure);
};

bool http_server::instance::append(request_state& request, const char* data, std::size_t size) {
    const std::size_t taken = std::min(size, max_body_bytes - request.m_body.size());
    // The body, which may be copied once for the handler.
    const std::size_t needed = 2 * (request.m_body.size() + taken);
    const std::size_t added = needed - request.m_counted;
    const std::size_t total = m_body_bytes.fetch_add(added) + added;
    request.m_counted = needed;
    if (total > m_limits.m_total_body_bytes && needed > small_body_bytes) {
        return false;
    }
    request.m_body.append(data, taken);
    return true;
}

MHD_Result http_server::instance::on_request(void* self, MHD_Connection* connection, const char* path,
                                             const char* method, const char* /*version*/, const char* data,
                                             std::size_t* data_size, void** state) noexcept {
    try {
        instance& own = *static_cast<instance*>(self);
        if (*state == nullptr) { // The head is complete.
            *state = std::make_unique<request_state>().release();
            return MHD_YES;
        }
        request_state& request = *static_cast<request_state*>(*state);
        if (*data_size > 0) {
            const std::size_t size = std::exchange(*data_size, 0);
            if (!request.m_refused && !own.append(request, data, size)) {
                request.m_refused = true;
                ++own.m_refused;
                own.m_body_bytes -= std::exchange(request.m_counted, 0);
                request.m_body = std::string();
                own.report("refused_body");
            }
            return MHD_YES;
        }
        if (request.m_refused) {
            return send(connection, {503, R"({"error":"the host is short of memory"})", {}});
        }
        return own.answer(connection, {method, path, std::move(request.m_body)});
    } catch (...) { // Out of memory.
        return send(connection, {503, {}, {}});
    }
}

MHD_Result http_server::instance::answer(MHD_Connection* connection, const http_request& request) {
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_connections.find(connection);
        if (found != m_connections.end()) {
            found->second.m_has_whole_request = true;
            found->second.m_in_progress = true;
        }
    }
    return send(connection, m_handler(request));
}

MHD_Result http_server::instance::send(MHD_Connection* connection, const http_response& reply) {
    MHD_Response* response = MHD_create_response_from_buffer(
        reply.m_body.size(), const_cast<char*>(reply.m_body.data()), MHD_RESPMEM_MUST_COPY);
    if (response == nullptr) {
        return MHD_NO;
    }
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, reply.m_content_type);
    if (!reply.m_location.empty()) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_LOCATION, reply.m_location.c_str());
    }
    const MHD_Result queued = MHD_queue_response(connection, reply.m_status, response);
    MHD_destroy_response(response);
    return queued;
}

void http_server::instance::on_completed(void* self, MHD_Connection* connection, void** state,
                                         MHD_RequestTerminationCode /*code*/) noexcept {
    instance& own = *static_cast<instance*>(self);
    const std::unique_ptr<request_state> request(static_cast<request_state*>(std::exchange(*state, nullptr)));
    if (request) {
        own.m_body_bytes -= request->m_counted;
    }
    const std::lock_guard lock(own.m_mutex);
    const auto found = own.m_connections.find(connection);
    if (found != own.m_connections.end()) {
        found->second.m_in_progress = false;
    }
}

void http_server::instance::on_connection(void* self, MHD_Connection* connection, void** /*socket_state*/,
                                          MHD_ConnectionNotificationCode code) noexcept {
    try {
        instance& own = *static_cast<instance*>(self);
        const std::lock_guard lock(own.m_mutex);
        if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
            own.m_connections.erase(connection);
            return;
        }
        const MHD_ConnectionInfo* socket =
            MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        if (own.m_connections.size() >= own.m_limits.m_connections) {
            own.displace_oldest();
        }
        own.m_connections[connection] = {socket == nullptr ? -1 : socket->connect_fd, ++own.m_last_number};
    } catch (...) { // Out of memory. The connection is served, but cannot be displaced.
        return;
    }
}

// A connection that has never sent a whole request goes first, then one that waits between two requests. The
// socket is only shut down; its own thread closes it.
void http_server::instance::displace_oldest() {
    const auto order = [](const connection_state& state) {
        return std::pair(state.m_has_whole_request, state.m_number);
    };
    connection_state* oldest = nullptr;
    for (auto& [connection, state] : m_connections) {
        const bool may_end = state.m_socket >= 0 && !state.m_displaced && !state.m_in_progress;
        if (may_end && (oldest == nullptr || order(state) < order(*oldest))) {
            oldest = &state;
        }
    }
    if (oldest != nullptr) {
        oldest->m_displaced = true;
        ::shutdown(oldest->m_socket, SHUT_RDWR);
        ++m_displaced;
    }
}

// At most one line in each interval.
void http_server::instance::report(const char* measure) {
    const std::lock_guard lock(m_mutex);
    const auto now = std::chrono::steady_clock::now();
    if (now < m_next_report) {
        return;
    }
    m_next_report = now + report_interval;
    core::log_line(core::log_level::warning, "transport",
                   std::string("HTTP clients outside the limits measure=") + measure + " body_bytes=" +
                       std::to_string(m_body_bytes.load()) + " refused=" + std::to_string(m_refused.load()) +
                       " displaced=" + std::to_string(m_displaced));
}

http_server::http_server(control::socket_address address, thread_model model, http_handler handler,
                         const http_server_limits& limits)
    : m_instance(std::make_unique<instance>()) {
    m_instance->m_address = std::move(address);
    m_instance->m_model = model;
    m_instance->m_handler = std::move(handler);
    m_instance->m_limits = limits;
}

http_server::~http_server() {
    if (m_instance->m_daemon != nullptr) {
        MHD_stop_daemon(m_instance->m_daemon);
    }
}

http_server_counters http_server::counters() const {
    const std::lock_guard lock(m_instance->m_mutex);
    return {m_instance->m_refused.load(), m_instance->m_displaced, m_instance->m_body_bytes.load()};
}

std::string http_server::start() {
    instance& own = *m_instance;
    const auto bound = to_socket_address(own.m_address);
    if (!bound) {
        return "not an IPv4 address: " + own.m_address.m_host;
    }
    unsigned flags = MHD_USE_POLL_INTERNAL_THREAD | MHD_USE_ERROR_LOG;
    if (own.m_model == thread_model::per_connection) {
        flags |= MHD_USE_THREAD_PER_CONNECTION;
    }
    own.m_daemon = MHD_start_daemon(
        flags, own.m_address.m_port, nullptr, nullptr, &instance::on_request, &own,
        MHD_OPTION_NOTIFY_COMPLETED, &instance::on_completed, &own, MHD_OPTION_NOTIFY_CONNECTION,
        &instance::on_connection, &own, MHD_OPTION_SOCK_ADDR, &*bound, MHD_OPTION_CONNECTION_LIMIT,
        static_cast<unsigned>(own.m_limits.m_connections + spare_connections), MHD_OPTION_CONNECTION_TIMEOUT,
        idle_timeout_s, MHD_OPTION_THREAD_STACK_SIZE, thread_stack_bytes, MHD_OPTION_LISTENING_ADDRESS_REUSE,
        1U, MHD_OPTION_END);
    if (own.m_daemon == nullptr) {
        return "cannot listen on " + own.m_address.m_host + ":" + std::to_string(own.m_address.m_port);
    }
    return {};
}

} // namespace mangoquay::transport
