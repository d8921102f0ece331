// One entry host over real sockets, with the control host that configures it and three databases.
//
// The entry host runs in a thread of its own, as in the program. Routes: "latest", "own" and "aged", by
// consistency. The first database is the primary.
#pragma once

#include "entry/entry_node.h"
#include "support/fleet_hosts.h"
#include "support/scripted_database.h"
#include "support/session_client.h"

#include <array>
#include <memory>

namespace mangoquay::test {

// Decodes a document that consists of its version only into the configuration of entry_fleet.
core::result<documents::configuration> decode_entry_configuration(std::string_view bytes);

class entry_fleet_host final : public fleet_host {
public:
    explicit entry_fleet_host(const settings::fleet_settings& host_settings);
    ~entry_fleet_host() override;
    entry_fleet_host(const entry_fleet_host&) = delete;
    entry_fleet_host& operator=(const entry_fleet_host&) = delete;
    entry_fleet_host(entry_fleet_host&&) = delete;
    entry_fleet_host& operator=(entry_fleet_host&&) = delete;

    [[nodiscard]] bool ready() const { return m_node->ready(); }
    // The event loop does not run for this time. Returns at once.
    void pause(core::milliseconds duration);
    void begin_stop();
    [[nodiscard]] bool stopped() const { return *m_stopped; }

private:
    platform::line_protocol m_protocol;
    std::shared_ptr<std::atomic<bool>> m_stopped = std::make_shared<std::atomic<bool>>(false);
    std::unique_ptr<entry::entry_node> m_node;
};

class entry_fleet {
public:
    static constexpr std::size_t database_count = 3;

    // Returns once the entry host is ready.
    entry_fleet();

    [[nodiscard]] std::unique_ptr<session_client> connect(const std::string& database,
                                                          int receive_buffer = 0);
    // As connect(), with the session opened.
    [[nodiscard]] std::unique_ptr<session_client> open_session(const std::string& database);
    // The script of all databases.
    void set_script(const scripted_database::script& next);
    scripted_database& database(std::size_t index) { return *m_databases.at(index); }
    scripted_database& primary() { return database(0); }
    entry_fleet_host& entry() { return *m_entry; }
    session_record& record() { return m_record; }
    // Tells the control host that the database has started anew.
    void announce(std::size_t index);
    // Waits until a write succeeds.
    bool wait_until_serving();

private:
    session_record m_record;
    std::array<std::unique_ptr<scripted_database>, database_count> m_databases;
    fleet_cell m_cell;
    std::uint16_t m_caller_port;
    std::int64_t m_last_start = 1000;
    std::unique_ptr<entry_fleet_host> m_entry;
};

} // namespace mangoquay::test
