// What a caller of the soak sends, recorded before it is sent.
#pragma once

#include "core/ids.h"
#include "soak/run_record.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace mangoquay::soak {

using statement_id = core::strong_value<struct statement_id_tag, std::string>;
// Numbers the transactions of all callers; 0 stands for a single statement.
using transaction_number = core::strong_value<struct transaction_number_tag, std::uint64_t>;
// Numbers the connections that the databases have accepted.
using connection_number = core::strong_value<struct connection_number_tag, std::uint64_t>;

enum class statement_kind { begin, read, write, commit, rollback, set_value, prepare };

struct prepared_shape {
    bool m_writes = false;
    std::string m_shape;

    friend bool operator==(const prepared_shape&, const prepared_shape&) = default;
};
using session_values = std::map<std::string, std::string>;

struct sent_statement {
    statement_id m_id;
    statement_kind m_kind = statement_kind::read;
    std::string m_text;
    transaction_number m_transaction{};
    std::shared_ptr<const prepared_shape> m_prepared{}; // Set for the execution of a prepared statement.
    std::string m_arguments{};                          // Item and data of such an execution.
    std::string m_database{};                           // The name that the session asked for.
    core::entry_host_id m_entry{};
    std::string m_key{};                              // That the session presented.
    std::shared_ptr<const session_values> m_values{}; // Acknowledged to the session.
    steady_time m_began{};                            // Of the statement, or of its transaction.
};

} // namespace mangoquay::soak
