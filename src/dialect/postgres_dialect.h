// Dialect of PostgreSQL 15.
#pragma once

#include "dialect/database_dialect.h"

namespace mangoquay::dialect {

class postgres_dialect : public database_dialect {
public:
    [[nodiscard]] std::vector<connection_parameter>
    connection_parameters(const control::socket_address& address, const connection_settings& settings,
                          const std::string& application_name) const override;
    [[nodiscard]] std::string application_name(core::owner_epoch epoch,
                                               const core::entry_host_id& host) const override;
    [[nodiscard]] core::result<endpoint_status>
    parse_status(const std::vector<core::cell>& row) const override;
    [[nodiscard]] std::optional<core::log_position> parse_position(std::string_view text) const override;
    [[nodiscard]] std::string format_position(core::log_position position) const override;
    [[nodiscard]] error_class classify_error(std::string_view sqlstate) const override;
    [[nodiscard]] bool controls_transaction(std::string_view sql) const override;
};

} // namespace mangoquay::dialect
