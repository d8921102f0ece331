// Interface for everything that differs between database products: connection parameters, status rows, log
// positions and error codes. Implementations are stateless.
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

// Credentials with which the proxy connects to an endpoint.
struct connection_settings {
    std::string m_user;
    std::string m_password;
    std::string m_database;
    tls_mode m_tls = tls_mode::prefer;
    std::string m_root_certificate_file; // Empty if the driver's default applies.
};

// A keyword and its value, as the database driver expects them.
struct connection_parameter {
    std::string m_keyword;
    std::string m_value;
};

struct endpoint_status {
    bool m_is_replica = false;
    core::history_position m_applied; // Last position that is visible to reads.
    core::history_position m_durable; // Last position that is flushed to disk.
    std::string m_primary_conninfo;   // Connection string of the primary. Empty if none is configured.
};

enum class error_class : std::uint8_t {
    statement_refused,    // The transaction is rolled back. The same statement would fail again.
    transaction_conflict, // The transaction is rolled back. A retry may succeed.
    not_writable,         // The endpoint is a replica.
    session_ended,        // The session has ended. Statements sent on it may have run.
};

class database_dialect {
public:
    database_dialect() = default;
    virtual ~database_dialect() = default;
    database_dialect(const database_dialect&) = delete;
    database_dialect& operator=(const database_dialect&) = delete;
    database_dialect(database_dialect&&) = delete;
    database_dialect& operator=(database_dialect&&) = delete;

    // Returns the parameters for opening a connection to `address`.
    [[nodiscard]] virtual std::vector<connection_parameter>
    connection_parameters(const control::socket_address& address, const connection_settings& settings,
                          const std::string& application_name) const = 0;
    // Returns the application name of an owner's sessions. It contains the owner's epoch, so that a later
    // owner can end them.
    [[nodiscard]] virtual std::string application_name(core::owner_epoch epoch,
                                                       const core::entry_host_id& host) const = 0;
    // Parses the row that the dialect's status query returns. Fails if a column is missing or malformed.
    [[nodiscard]] virtual core::result<endpoint_status>
    parse_status(const std::vector<core::cell>& row) const = 0;
    // Returns nullopt if `text` is not a log position.
    [[nodiscard]] virtual std::optional<core::log_position> parse_position(std::string_view text) const = 0;
    [[nodiscard]] virtual std::string format_position(core::log_position position) const = 0;
    [[nodiscard]] virtual error_class classify_error(std::string_view sqlstate) const = 0;
    // Returns whether the statement itself begins or ends a transaction, which the proxy would not notice.
    [[nodiscard]] virtual bool controls_transaction(std::string_view sql) const = 0;
};

} // namespace mangoquay::dialect
