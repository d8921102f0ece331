// One connection to a database stand-in: its transaction, session values and prepared names.
#pragma once

#include "soak/platform_database.h"
#include "support/protocol_reader.h"

namespace mangoquay::soak {

class platform_database_connection {
public:
    platform_database_connection(platform_database& database, connection& peer);
    void serve();

private:
    // An answer: rows and COMPLETE, or ERROR; the state follows.
    struct outcome {
        std::string m_error{};
        std::string m_rows{};
        std::string m_signature = "-";
        bool m_close = false;
    };
    using lock = std::unique_lock<std::mutex>;
    using handler = outcome (platform_database_connection::*)(const observed_run& run, lock& held);
    struct command {
        const char* m_word;
        handler m_handler;
    };
    static const std::vector<command> commands;

    bool start(const std::string& line);
    bool answer(const std::string& line);
    bool send_answer(const outcome& ended);
    outcome handle(const observed_run& run);
    outcome begin(const observed_run& run, lock& held);
    outcome commit(const observed_run& run, lock& held);
    outcome rollback(const observed_run& run, lock& held);
    outcome run_statement(const observed_run& run, lock& held);
    std::optional<outcome> refuse_before_run(const observed_run& run, bool writes);
    outcome complete(const observed_run& run, bool writes);
    outcome reset(const observed_run& run, lock& held);
    outcome set_value(const observed_run& run, lock& held);
    outcome prepare(const observed_run& run, lock& held);
    outcome deallocate(const observed_run& run, lock& held);
    outcome status(const observed_run& run, lock& held);
    // Waits for a slot and works in it. Returns an error code or nothing.
    std::string work(milliseconds duration, lock& held);
    [[nodiscard]] bool needs_lead(bool writes) const;
    outcome fail(std::string error);
    void end_transaction();

    platform_database& m_database;
    platform_service& m_service;
    member_state& m_member;
    connection& m_peer;
    connection_number m_number;
    std::string m_customer; // Name in the start of the connection.
    bool m_counted = false;
    std::uint64_t m_answers = 0;
    char m_state = 'I';
    bool m_is_read_only = false;
    open_transaction m_transaction;
    std::vector<std::pair<std::string, std::string>> m_writes;
    session_values m_values;
    std::map<std::string, prepared_shape> m_prepared;
    // Of the statement at work.
    test::read_request m_request;
    std::optional<log_place> m_after;
};

} // namespace mangoquay::soak
