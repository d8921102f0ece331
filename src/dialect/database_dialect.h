// What differs between database products, behind one strategy object. Stateless.
#pragma once

#include "control/control_state.h"
#include "core/history_position.h"
#include "core/ids.h"
#include "core/result.h"
#include "core/statement.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangoquay::dialect {

enum class tls_mode : std::uint8_t { disable, prefer, require, verify_full };

// Credentials of the proxy at an endpoint.
struct connection_settings {
    std::string m_user;
    std::string m_password;
    std::string m_database;
    tls_mode m_tls = tls_mode::prefer;
    std::string m_root_certificate_file; // empty: the driver's default
};

// Keyword and value as the driver expects them.
struct connection_parameter {
    std::string m_keyword;
    std::string m_value;
};

struct endpoint_status {
    bool m_is_replica = false;
    core::history_position m_applied; // visible to reads
    core::history_position m_durable;
    std::string m_primary_conninfo; // connection string of the primary; empty: follows none
};

enum class error_class : std::uint8_t {
    statement_refused,    // the transaction is rolled back; the same text would fail again
    transaction_conflict, // the transaction is rolled back; a retry may succeed
    not_writable,         // the endpoint is a replica
    session_ended,        // the session is gone; what it had sent may have run
};

class database_dialect {
public:
    database_dialect() = default;
    virtual ~database_dialect() = default;
    database_dialect(const database_dialect&) = delete;
    database_dialect& operator=(const database_dialect&) = delete;
    database_dialect(database_dialect&&) = delete;
    database_dialect& operator=(database_dialect&&) = delete;

    [[nodiscard]] virtual std::vector<connection_parameter>
    connection_parameters(const control::socket_address& address, const connection_settings& settings,
                          const std::string& application_name) const = 0;
    // Sessions of an owner carry its epoch, so that a later owner can end them.
    [[nodiscard]] virtual std::string application_name(core::owner_epoch epoch,
                                                       const core::entry_host_id& host) const = 0;
    [[nodiscard]] virtual core::result<endpoint_status>
    parse_status(const std::vector<core::cell>& row) const = 0;
    [[nodiscard]] virtual std::optional<core::log_position> parse_position(std::string_view text) const = 0;
    [[nodiscard]] virtual std::string format_position(core::log_position position) const = 0;
    [[nodiscard]] virtual error_class classify_error(std::string_view sqlstate) const = 0;
    // Whether the statement would begin or end a transaction behind the proxy's back.
    [[nodiscard]] virtual bool controls_transaction(std::string_view sql) const = 0;
};

} // namespace mangoquay::dialect
