// Implements the listeners, sessions and replication of the stand-in.
#include "postgres_standin.h"

#include "faults.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <future>

namespace mangoquay::standin {
namespace {

constexpr int listen_backlog = 512;
// Interval after which a replica that cannot stream is checked again.
constexpr core::milliseconds replication_retry{10};

sockaddr_in make_address(const std::string& host, std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

} // namespace

std::string conninfo_for(const endpoint_layout& upstream, const std::string& replica) {
    return "host=" + upstream.m_host + " port=" + std::to_string(upstream.m_port) +
           " user=mangoquay application_name=" + replica;
}

postgres_standin::postgres_standin(layout configuration)
    : m_configuration(std::move(configuration)),
      m_environment{m_loop,
                    m_configuration,
                    [this](const database& replica) { return upstream_of(replica); },
                    [this](const database& primary) { return streaming_from(primary); },
                    [this] { replicate(); },
                    [this](std::int32_t pid, std::int32_t secret) {
                        const auto found = m_sessions.find(pid);
                        if (found != m_sessions.end()) {
                            found->second->cancel(secret);
                        }
                    },
                    [this](session& ended) {
                        // Deferred, because a member of the session is still on the call stack.
                        m_loop.run_after({}, [this, pid = ended.m_pid] { m_sessions.erase(pid); });
                    }} {
    for (const endpoint_layout& endpoint : m_configuration.m_endpoints) {
        m_endpoints.emplace(endpoint.m_id, std::make_unique<database_server>(endpoint));
    }
}

postgres_standin::~postgres_standin() {
    if (m_thread.joinable()) {
        m_loop.stop();
        m_thread.join();
    }
    m_sessions.clear();
    for (const auto& [id, endpoint] : m_endpoints) {
        if (endpoint->m_listener >= 0) {
            ::close(endpoint->m_listener);
        }
    }
}

template <class Result>
Result postgres_standin::on_loop(std::function<Result()> operation) {
    std::promise<Result> promise;
    auto answer = promise.get_future();
    m_loop.post([&] { promise.set_value(operation()); });
    return answer.get();
}

core::result<bool> postgres_standin::start() {
    for (const auto& [id, endpoint] : m_endpoints) {
        if (auto listening = listen(*endpoint); !listening) {
            return listening;
        }
    }
    for (const auto& [id, endpoint] : m_endpoints) {
        for (const auto& [other_id, other] : m_endpoints) {
            if (endpoint->m_database.m_in_recovery && other->m_database.m_layout.m_primary &&
                other->m_database.m_layout.m_group == endpoint->m_database.m_layout.m_group) {
                endpoint->m_database.m_primary_conninfo = conninfo_for(other->m_database.m_layout, id);
            }
        }
    }
    m_thread = std::thread([this] { m_loop.run(); });
    return true;
}

core::result<bool> postgres_standin::listen(database_server& endpoint) {
    endpoint_layout& settings = endpoint.m_database.m_layout;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = make_address(settings.m_host, settings.m_port);
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (::bind(socket, generic, size) < 0 || ::listen(socket, listen_backlog) < 0) {
        const std::string reason = std::strerror(errno);
        ::close(socket);
        return core::result<bool>::failure(settings.m_id + ": " + settings.m_host + ":" +
                                           std::to_string(settings.m_port) + ": " + reason);
    }
    getsockname(socket, generic, &size);
    settings.m_port = ntohs(address.sin_port);
    endpoint.m_listener = socket;
    m_loop.watch(socket, EPOLLIN, [this, &endpoint](std::uint32_t) { accept(endpoint); });
    return true;
}

void postgres_standin::accept(database_server& endpoint) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    const int socket = ::accept4(endpoint.m_listener, reinterpret_cast<sockaddr*>(&address), &size,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0) {
        return;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::array<char, INET_ADDRSTRLEN> source{};
    inet_ntop(AF_INET, &address.sin_addr, source.data(), source.size());
    const std::int32_t pid = m_next_pid++;
    const auto opened =
        std::make_shared<session>(m_environment, endpoint.m_database, socket, source.data(), pid);
    m_sessions.emplace(pid, opened);
    opened->start();
}

void postgres_standin::close_sessions(const database& served) {
    const auto sessions = m_sessions;
    for (const auto& [pid, open] : sessions) {
        if (&open->served_database() == &served) {
            open->close();
        }
    }
}

void postgres_standin::update_session_watches(const database& served) {
    for (const auto& [pid, open] : m_sessions) {
        if (&open->served_database() == &served) {
            open->update_event_watch();
        }
    }
}

void postgres_standin::resume_sessions(const database& served) {
    const auto sessions = m_sessions;
    for (const auto& [pid, open] : sessions) {
        if (&open->served_database() == &served) {
            open->resume();
        }
    }
}

const database* postgres_standin::upstream_of(const database& replica) const {
    const std::string& conninfo = replica.m_primary_conninfo;
    const auto known = m_upstreams.find(conninfo);
    if (known != m_upstreams.end()) {
        return known->second;
    }
    const std::string host = conninfo_value(conninfo, "host");
    const std::string port = conninfo_value(conninfo, "port");
    for (const auto& [id, endpoint] : m_endpoints) {
        const endpoint_layout& settings = endpoint->m_database.m_layout;
        if (settings.m_host == host && std::to_string(settings.m_port) == port) {
            m_upstreams.emplace(conninfo, &endpoint->m_database);
            return &endpoint->m_database;
        }
    }
    return nullptr;
}

std::vector<const database*> postgres_standin::streaming_from(const database& primary) const {
    std::vector<const database*> replicas;
    for (const auto& [id, endpoint] : m_endpoints) {
        const database& replica = endpoint->m_database;
        if (upstream_of(replica) == &primary && replica.streams_from(&primary)) {
            replicas.push_back(&replica);
        }
    }
    return replicas;
}

void postgres_standin::replicate() {
    const core::time_point now = transport::event_loop::now();
    std::optional<core::time_point> next;
    for (const auto& [id, endpoint] : m_endpoints) {
        const auto due = endpoint->m_database.advance(upstream_of(endpoint->m_database), now);
        if (due) {
            next = next ? std::min(*next, *due) : *due;
        }
    }
    if (m_replication_timer) {
        m_loop.cancel_timer(*m_replication_timer);
    }
    // The timer also runs if no record is due, because a database may begin to follow another one, or become
    // reachable, at any time.
    m_replication_timer = m_loop.run_at(
        next ? std::min(*next, now + replication_retry) : now + replication_retry, [this] { replicate(); });
}

endpoint_report postgres_standin::report_of(const database_server& endpoint) const {
    const database& source = endpoint.m_database;
    const database* upstream = upstream_of(source);
    endpoint_report report;
    report.m_layout = source.m_layout;
    report.m_primary = !source.m_in_recovery;
    report.m_term = source.durable_term();
    report.m_applied = source.applied_position();
    report.m_durable = source.durable_position();
    report.m_rows = source.m_tables.at("entries").size();
    report.m_open_connections = source.m_backends.size();
    report.m_streaming = source.streams_from(upstream);
    report.m_follows = upstream == nullptr || !source.m_in_recovery ? "" : upstream->m_layout.m_id;
    report.m_faults = source.m_faults;
    report.m_usage = source.m_usage;
    return report;
}

std::vector<endpoint_report> postgres_standin::endpoint_reports() {
    return on_loop<std::vector<endpoint_report>>([this] {
        std::vector<endpoint_report> all;
        for (const auto& [id, endpoint] : m_endpoints) {
            all.push_back(report_of(*endpoint));
        }
        return all;
    });
}

core::result<bool> postgres_standin::apply_action(const std::string& endpoint, const std::string& action,
                                                  const action_parameters& parameters) {
    return on_loop<core::result<bool>>([&]() -> core::result<bool> {
        const auto found = m_endpoints.find(endpoint);
        if (found == m_endpoints.end()) {
            return core::result<bool>::failure("unknown endpoint " + endpoint);
        }
        auto done = fault_actions::run(*this, *found->second, action, parameters);
        replicate();
        return done;
    });
}

} // namespace mangoquay::standin
