// Connects the API router to ulfius and libmicrohttpd.
#include "gateway/http_gateway.h"

#include "core/log.h"
#include "gateway/api_router.h"
#include "gateway/connection_table.h"

#include <arpa/inet.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <fstream>
#include <iterator>
#include <thread>
#include <vector>

namespace mangoquay::gateway {
namespace {

// Number of connections over the limit that still get a response (503). Any further connection is closed
// without a response.
constexpr unsigned max_refused_connections = 256;
// Sufficient because handlers decode at most 1 MiB without recursion. With 6,400 connections the stacks take
// 3.3 GB of address space, but only the touched pages take memory.
constexpr std::size_t thread_stack_bytes = 512U * 1024U;
constexpr rlim_t other_descriptor_count = 2048; // Peer connections, database connections and files.
constexpr core::milliseconds idle_poll_period{5};

std::string read_file(const std::filesystem::path& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// The HTTP libraries do not raise the descriptor limit, and accept() fails beyond the soft limit.
void raise_descriptor_limit(rlim_t connections) {
    rlimit limit{};
    const rlim_t required = connections + max_refused_connections + other_descriptor_count;
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= required) {
        return;
    }
    limit.rlim_cur = std::min(required, limit.rlim_max);
    if (setrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur < required) {
        core::log_line(core::log_level::warning, "gateway",
                       "descriptor limit is too low for the connection limit descriptors=" +
                           std::to_string(limit.rlim_cur) + " wanted=" + std::to_string(required));
    }
}

const char* text_or_empty(const char* text) {
    return text == nullptr ? "" : text;
}

std::string decoded_path(const char* path) {
    char* decoded = ulfius_url_decode(text_or_empty(path));
    std::string text = text_or_empty(decoded);
    u_free(decoded);
    return text;
}

api_request to_api_request(const _u_request* request) {
    api_request converted;
    converted.m_method = text_or_empty(request->http_verb);
    converted.m_path = decoded_path(request->url_path);
    if (request->binary_body != nullptr) {
        converted.m_body.assign(static_cast<const char*>(request->binary_body), request->binary_body_length);
    }
    converted.m_authorization = text_or_empty(u_map_get_case(request->map_header, "Authorization"));
    const char* token = u_map_get_case(request->map_header, session_header);
    const char* cookie = u_map_get(request->map_cookie, session_cookie);
    converted.m_session_token = text_or_empty(token == nullptr ? cookie : token);
    return converted;
}

void add_header(_u_response* response, const char* name, const std::string& value) {
    u_map_put(response->map_header, name, value.c_str());
}

void fill_response(_u_response* response, const api_response& reply, bool secure_cookie) {
    using error_handler = nlohmann::json::error_handler_t;
    // Database text may contain invalid UTF-8, which JSON does not allow.
    const std::string body =
        reply.m_text.has_value() ? *reply.m_text : reply.m_json.dump(-1, ' ', false, error_handler::replace);
    ulfius_set_binary_body_response(response, reply.m_status, body.data(), body.size());
    add_header(response, "Content-Type",
               reply.m_text.has_value() ? "text/plain; charset=utf-8" : "application/json");
    add_header(response, "Cache-Control", "no-store");
    if (!reply.m_session_token.empty()) {
        add_header(response, session_header, reply.m_session_token);
        add_header(response, "Set-Cookie",
                   std::string(session_cookie) + "=" + reply.m_session_token +
                       "; Path=/; HttpOnly; SameSite=Strict" + (secure_cookie ? "; Secure" : ""));
    }
    const auto retry = reply.m_json.find("retry_after_ms");
    if (retry != reply.m_json.end()) {
        const std::int64_t seconds = (retry->get<std::int64_t>() + 999) / 1000;
        add_header(response, "Retry-After", std::to_string(seconds));
    }
    if (reply.m_status == 401) {
        add_header(response, "WWW-Authenticate", "Bearer");
    }
    if (reply.m_close_connection) {
        add_header(response, "Connection", "close");
    }
}

std::string client_key(MHD_Connection* connection) {
    const MHD_ConnectionInfo* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    return info == nullptr ? std::string{} : connection_key(info->client_addr);
}

extern "C" void count_connection(void* cls, MHD_Connection* connection, void** /*socket_context*/,
                                 MHD_ConnectionNotificationCode code) {
    auto& table = *static_cast<connection_table*>(cls);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        table.on_connection_opened(client_key(connection));
    } else {
        table.on_connection_closed(client_key(connection));
    }
}

// Called when the response has been sent or the connection has failed.
extern "C" void finish_request(void* cls, MHD_Connection* connection, void** context,
                               MHD_RequestTerminationCode code) {
    static_cast<connection_table*>(cls)->on_request_finished(client_key(connection));
    mhd_request_completed(nullptr, connection, context, code);
}

} // namespace

class http_gateway::server {
public:
    server(const settings::settings& config, proxy_backend& backend)
        : m_address(config.m_http_address.value_or(control::socket_address{})),
          m_limits(config.m_http_limits), m_tls(config.m_tls),
          m_connections(config.m_http_limits.m_connections),
          m_router(config.m_callers,
                   {config.m_http_limits.m_requests_in_progress, config.m_http_limits.m_requests_per_caller,
                    config.m_fault_injection},
                   backend) {}
    ~server() { stop(); }
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    server(server&&) = delete;
    server& operator=(server&&) = delete;

    std::string start();
    void stop_accepting() const;
    // Closing the listening socket resets the connections that it has not accepted, whose callers may have
    // sent a request.
    void serve_pending_connections(MHD_socket listener) const;
    void stop();

    std::atomic<bool> m_draining{false};
    const connection_table& connections() const { return m_connections; }

private:
    static int handle_request(const _u_request* request, _u_response* response, void* user_data) noexcept;
    api_response respond(const _u_request* request);
    std::string prepare_instance();
    std::vector<MHD_OptionItem> options();

    control::socket_address m_address;
    settings::http_limits m_limits;
    std::optional<settings::tls_files> m_tls;
    std::string m_certificate; // libmicrohttpd keeps a pointer to this text.
    std::string m_key;         // libmicrohttpd keeps a pointer to this text.
    connection_table m_connections;
    api_router m_router;
    _u_instance m_instance{};
    sockaddr_in m_bind4{};
    sockaddr_in6 m_bind6{};
    bool m_initialized = false;
    bool m_running = false;
};

api_response http_gateway::server::respond(const _u_request* request) {
    const std::string connection = connection_key(request->client_address);
    m_connections.on_request_started(connection);
    if (m_connections.exceeds_limit(connection)) {
        api_response response =
            refusal_response(core::reason::connection_limit, "too many connections at this proxy");
        response.m_json["retry_after_ms"] = 1000;
        response.m_close_connection = true;
        return response;
    }
    api_response response = m_router.handle(to_api_request(request));
    response.m_close_connection = m_draining.load();
    return response;
}

int http_gateway::server::handle_request(const _u_request* request, _u_response* response,
                                         void* user_data) noexcept {
    try {
        auto& self = *static_cast<server*>(user_data);
        fill_response(response, self.respond(request), self.m_tls.has_value());
        return U_CALLBACK_COMPLETE;
    } catch (...) {
        // Memory is exhausted. The request may have run, and only a constant response can report this.
        ulfius_set_string_body_response(response, 500,
                                        R"({"verdict":"may_have_run","reason":"internal_fault"})");
        return U_CALLBACK_COMPLETE;
    }
}

std::string http_gateway::server::prepare_instance() {
    const bool is_v6 = m_address.m_host.find(':') != std::string::npos;
    m_bind4.sin_family = AF_INET;
    m_bind4.sin_port = htons(m_address.m_port);
    m_bind6.sin6_family = AF_INET6;
    m_bind6.sin6_port = htons(m_address.m_port);
    void* number = is_v6 ? static_cast<void*>(&m_bind6.sin6_addr) : static_cast<void*>(&m_bind4.sin_addr);
    if (inet_pton(is_v6 ? AF_INET6 : AF_INET, m_address.m_host.c_str(), number) != 1) {
        return "the HTTP address is missing or is not an IP address";
    }
    const int prepared =
        is_v6 ? ulfius_init_instance_ipv6(&m_instance, m_address.m_port, &m_bind6, U_USE_IPV6, nullptr)
              : ulfius_init_instance(&m_instance, m_address.m_port, &m_bind4, nullptr);
    if (prepared != U_OK) {
        return "the HTTP server cannot be initialized";
    }
    m_initialized = true;
    m_instance.allowed_post_processor = U_POST_PROCESS_NONE;
    // ulfius silently truncates longer bodies to this size, so it is one byte more than what the router
    // accepts.
    m_instance.max_post_body_size = max_body_bytes + 1;
    ulfius_set_default_endpoint(&m_instance, &server::handle_request, this);
    return {};
}

std::vector<MHD_OptionItem> http_gateway::server::options() {
    const auto function = [](auto* pointer) { return reinterpret_cast<std::intptr_t>(pointer); };
    const bool is_v6 = m_address.m_host.find(':') != std::string::npos;
    void* bind = is_v6 ? static_cast<void*>(&m_bind6) : static_cast<void*>(&m_bind4);
    const std::intptr_t connections = std::intptr_t{m_limits.m_connections} + max_refused_connections;
    const std::intptr_t timeout{m_limits.m_idle_timeout_s};
    std::vector<MHD_OptionItem> items{
        {MHD_OPTION_NOTIFY_COMPLETED, function(&finish_request), &m_connections},
        {MHD_OPTION_URI_LOG_CALLBACK, function(&ulfius_uri_logger), nullptr},
        {MHD_OPTION_NOTIFY_CONNECTION, function(&count_connection), &m_connections},
        {MHD_OPTION_SOCK_ADDR, 0, bind},
        {MHD_OPTION_CONNECTION_LIMIT, connections, nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, timeout, nullptr},
        {MHD_OPTION_THREAD_STACK_SIZE, static_cast<std::intptr_t>(thread_stack_bytes), nullptr},
        {MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, nullptr},
    };
    if (m_tls.has_value()) {
        items.push_back({MHD_OPTION_HTTPS_MEM_CERT, 0, m_certificate.data()});
        items.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, m_key.data()});
    }
    items.push_back({MHD_OPTION_END, 0, nullptr});
    return items;
}

std::string http_gateway::server::start() {
    raise_descriptor_limit(m_limits.m_connections);
    std::string error = prepare_instance();
    if (!error.empty()) {
        return error;
    }
    unsigned flags = MHD_USE_POLL_INTERNAL_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_ITC;
    if (m_address.m_host.find(':') != std::string::npos) {
        flags |= MHD_USE_IPv6;
    }
    if (m_tls.has_value()) {
        flags |= MHD_USE_TLS;
        m_certificate = read_file(m_tls->m_certificate);
        m_key = read_file(m_tls->m_key);
    }
    std::vector<MHD_OptionItem> items = options();
    if (ulfius_start_framework_with_mhd_options(&m_instance, flags, items.data()) != U_OK) {
        return "the HTTP server cannot listen on " + m_address.m_host + " port " +
               std::to_string(m_address.m_port);
    }
    m_running = true;
    return {};
}

void http_gateway::server::stop_accepting() const {
    if (m_running) {
        const MHD_socket listener = MHD_quiesce_daemon(m_instance.mhd_daemon);
        if (listener != MHD_INVALID_SOCKET) {
            serve_pending_connections(listener);
            ::close(listener);
        }
    }
}

void http_gateway::server::serve_pending_connections(MHD_socket listener) const {
    ::listen(listener, 0); // Few new connections join the queue from now on.
    for (;;) {
        sockaddr_storage client{};
        socklen_t size = sizeof client;
        auto* address = reinterpret_cast<sockaddr*>(&client);
        const int socket = ::accept4(listener, address, &size, SOCK_CLOEXEC);
        if (socket < 0 && (errno == EINTR || errno == ECONNABORTED)) {
            continue;
        }
        if (socket < 0) {
            return;
        }
        if (MHD_add_connection(m_instance.mhd_daemon, socket, address, size) != MHD_YES) {
            core::log_line(core::log_level::warning, "gateway",
                           "a connection that was pending at the shutdown cannot be served");
        }
    }
}

void http_gateway::server::stop() {
    if (m_running) {
        ulfius_stop_framework(&m_instance);
        m_running = false;
    }
    if (m_initialized) {
        ulfius_clean_instance(&m_instance);
        m_initialized = false;
    }
}

http_gateway::http_gateway(const settings::settings& config, proxy_backend& backend)
    : m_server(std::make_unique<server>(config, backend)) {}

http_gateway::~http_gateway() = default;

std::string http_gateway::start() {
    return m_server->start();
}

void http_gateway::begin_drain() {
    m_server->m_draining = true;
}

void http_gateway::stop_accepting() {
    m_server->stop_accepting();
}

bool http_gateway::wait_until_idle(core::deadline limit) const {
    while (!m_server->connections().idle()) {
        if (limit.passed(core::now())) {
            return false;
        }
        std::this_thread::sleep_for(idle_poll_period);
    }
    return true;
}

void http_gateway::stop() {
    m_server->stop();
}

std::size_t http_gateway::connection_count() const {
    return m_server->connections().size();
}

} // namespace mangoquay::gateway
