// Parses PostgreSQL status rows, log positions and statements, and classifies its error codes.
#include "dialect/postgres_dialect.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace mangoquay::dialect {
namespace {

constexpr std::size_t status_column_count = 5;
constexpr std::array tls_mode_names{"disable", "prefer", "require", "verify-full"};

template <class Number>
std::optional<Number> parse_number(std::string_view text, int base) {
    Number number{};
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number, base);
    if (error != std::errc{} || stop != end || text.empty()) {
        return std::nullopt;
    }
    return number;
}

// Returns the position of the first character after white space, semicolons and comments. Block comments nest
// in PostgreSQL.
std::size_t skip_comments(std::string_view sql) {
    std::size_t position = 0;
    int depth = 0;
    while (position < sql.size()) {
        const std::string_view rest = sql.substr(position);
        if (rest.starts_with("/*")) {
            ++depth;
            position += 2;
        } else if (depth > 0) {
            const bool closes = rest.starts_with("*/");
            depth -= closes ? 1 : 0;
            position += closes ? 2 : 1;
        } else if (rest.starts_with("--")) {
            position = std::min(sql.find('\n', position), sql.size());
        } else if (std::isspace(static_cast<unsigned char>(rest.front())) != 0 || rest.front() == ';') {
            ++position;
        } else {
            break;
        }
    }
    return position;
}

std::string next_word(std::string_view& sql) {
    sql.remove_prefix(skip_comments(sql));
    std::string word;
    while (!sql.empty() && std::isalpha(static_cast<unsigned char>(sql.front())) != 0) {
        word += static_cast<char>(std::tolower(static_cast<unsigned char>(sql.front())));
        sql.remove_prefix(1);
    }
    return word;
}

} // namespace

std::vector<connection_parameter>
postgres_dialect::connection_parameters(const control::socket_address& address,
                                        const connection_settings& settings,
                                        const std::string& application_name) const {
    std::vector<connection_parameter> parameters{
        {"hostaddr", address.m_host},
        {"port", std::to_string(address.m_port)},
        {"user", settings.m_user},
        {"password", settings.m_password},
        {"dbname", settings.m_database},
        {"application_name", application_name},
        {"client_encoding", "UTF8"},
        {"sslmode", tls_mode_names.at(static_cast<std::size_t>(settings.m_tls))},
        {"gssencmode", "disable"},
    };
    if (!settings.m_root_certificate_file.empty()) {
        parameters.push_back({"sslrootcert", settings.m_root_certificate_file});
    }
    return parameters;
}

std::string postgres_dialect::application_name(core::owner_epoch epoch,
                                               const core::entry_host_id& host) const {
    return "mangoquay/" + std::to_string(epoch.value()) + "/" + host.value();
}

core::result<endpoint_status> postgres_dialect::parse_status(const std::vector<core::cell>& row) const {
    using answer = core::result<endpoint_status>;
    if (row.size() != status_column_count || !row[0] || !row[1] || !row[2] || !row[3]) {
        return answer::failure("status row has missing columns");
    }
    const auto timeline = parse_number<std::uint32_t>(*row[1], 10);
    const auto applied = parse_position(*row[2]);
    const auto durable = parse_position(*row[3]);
    if (!timeline || !applied || !durable) {
        return answer::failure("status row has a malformed timeline or position: " + *row[1] + ' ' + *row[2] +
                               ' ' + *row[3]);
    }
    endpoint_status status;
    status.m_is_replica = *row[0] == "t";
    status.m_applied = {core::term{*timeline}, *applied};
    status.m_durable = {core::term{*timeline}, *durable};
    status.m_primary_conninfo = row[4].value_or("");
    return status;
}

std::optional<core::log_position> postgres_dialect::parse_position(std::string_view text) const {
    const auto slash = text.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto high = parse_number<std::uint32_t>(text.substr(0, slash), 16);
    const auto low = parse_number<std::uint32_t>(text.substr(slash + 1), 16);
    if (!high || !low) {
        return std::nullopt;
    }
    return core::log_position{(static_cast<std::uint64_t>(*high) << 32U) | *low};
}

std::string postgres_dialect::format_position(core::log_position position) const {
    const auto part = [](std::uint64_t value) {
        std::array<char, 8> digits{};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16).ptr;
        std::string text(digits.data(), end);
        std::ranges::transform(text, text.begin(), [](unsigned char digit) { return std::toupper(digit); });
        return text;
    };
    return part(position.value() >> 32U) + '/' + part(position.value() & 0xffffffffU);
}

error_class postgres_dialect::classify_error(std::string_view sqlstate) const {
    // With codes 57P01 to 57P05 the server ends the session. Class 08 means that the connection failed.
    if (sqlstate.starts_with("57P") || sqlstate.starts_with("08")) {
        return error_class::session_ended;
    }
    if (sqlstate == "25006") {
        return error_class::not_writable;
    }
    // Code 40003 (statement completion unknown) leaves the outcome uncertain, unlike the other codes of
    // class 40.
    if (sqlstate == "40003") {
        return error_class::session_ended;
    }
    if (sqlstate.starts_with("40") || sqlstate == "55P03") {
        return error_class::transaction_conflict;
    }
    return error_class::statement_refused;
}

bool postgres_dialect::controls_transaction(std::string_view sql) const {
    const std::string first = next_word(sql);
    if (first == "prepare") {
        return next_word(sql) == "transaction";
    }
    if (first == "rollback") {
        // ROLLBACK TO SAVEPOINT leaves the transaction open.
        const std::string second = next_word(sql);
        return second != "to" && !((second == "work" || second == "transaction") && next_word(sql) == "to");
    }
    constexpr std::array words{"begin", "start", "commit", "end", "abort"};
    return std::ranges::find(words, first) != words.end();
}

} // namespace mangoquay::dialect
