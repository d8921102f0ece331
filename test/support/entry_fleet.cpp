// Starts an entry host in a thread, and the hosts and databases that it needs.
#include "support/entry_fleet.h"

#include "support/loopback_client.h"

#include <stdexcept>

namespace mangoquay::test {
namespace {

using namespace std::chrono_literals;

constexpr const char* service = "orders";
constexpr std::uint32_t max_connections = 32;

documents::route_rule make_route(const std::string& database, documents::consistency consistency) {
    return {.m_database = database,
            .m_consistency = consistency,
            .m_statement_timeout = 1000ms,
            .m_target_latency = 400ms,
            .m_priority = 1,
            .m_max_attempts = 2,
            .m_max_age = 2500ms,
            .m_service = core::service_name(service)};
}

} // namespace

core::result<documents::configuration> decode_entry_configuration(std::string_view bytes) {
    auto decoded = decode_version(bytes);
    if (decoded) {
        decoded->m_routes = {make_route("latest", documents::consistency::latest),
                             make_route("own", documents::consistency::read_your_writes),
                             make_route("aged", documents::consistency::bounded_age)};
        decoded->m_services = {{.m_name = core::service_name(service), .m_max_connections = max_connections}};
        decoded->m_transaction_idle_timeout = 3000ms;
    }
    return decoded;
}

entry_fleet_host::entry_fleet_host(const settings::fleet_settings& host_settings)
    : fleet_host(host_settings.m_peer_address, host_settings.m_cluster_key),
      m_node(std::make_unique<entry::entry_node>(m_loop, m_bus, m_network, host_settings, m_protocol,
                                                 &decode_entry_configuration)) {
    if (const std::string failure = m_node->start(); !failure.empty()) {
        throw std::runtime_error(failure);
    }
    run();
}

entry_fleet_host::~entry_fleet_host() {
    stop();
}

void entry_fleet_host::pause(core::milliseconds duration) {
    m_loop.post([duration] { std::this_thread::sleep_for(duration); });
}

void entry_fleet_host::begin_stop() {
    call([this] { m_node->shut_down([stopped = m_stopped] { *stopped = true; }); });
}

entry_fleet::entry_fleet() : m_cell(1), m_caller_port(find_free_port()) {
    settings::fleet_settings host_settings = m_cell.entry_settings();
    host_settings.m_caller_address = control::socket_address{"127.0.0.1", m_caller_port};
    host_settings.m_executor_fences = true;
    m_cell.replace_document(1);
    for (std::size_t index = 0; index < database_count; ++index) {
        m_databases.at(index) =
            std::make_unique<scripted_database>(m_record, "database-" + std::to_string(index));
        announce(index);
    }
    m_entry = std::make_unique<entry_fleet_host>(host_settings);
    if (!wait_until([this] { return m_entry->ready(); }) || !wait_until_serving()) {
        throw std::runtime_error("the entry host does not serve");
    }
}

void entry_fleet::announce(std::size_t index) {
    const scripted_database& started = database(index);
    m_cell.host(0).merge_report({.m_id = core::endpoint_id(started.id()),
                                 .m_service = core::service_name(service),
                                 .m_address = {"127.0.0.1", started.port()},
                                 .m_zone = core::availability_zone("makati"),
                                 .m_slots = 5,
                                 .m_is_primary = index == 0,
                                 .m_started_ms = ++m_last_start,
                                 .m_sequence = 1});
}

bool entry_fleet::wait_until_serving() {
    return wait_until([this] {
        const auto caller = connect("latest");
        return caller->open() && caller->ask("WRITE probe 1").succeeded();
    });
}

std::unique_ptr<session_client> entry_fleet::connect(const std::string& database, int receive_buffer) {
    return std::make_unique<session_client>(m_record, m_caller_port, database, receive_buffer);
}

std::unique_ptr<session_client> entry_fleet::open_session(const std::string& database) {
    auto caller = connect(database);
    if (!caller->open()) {
        throw std::runtime_error("the session is refused");
    }
    return caller;
}

void entry_fleet::set_script(const scripted_database::script& next) {
    for (const auto& changed : m_databases) {
        changed->set_script(next);
    }
}

} // namespace mangoquay::test
