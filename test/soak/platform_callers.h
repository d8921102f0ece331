// Callers in threads: long and short sessions with single statements, transactions, session values and
// prepared statements. Each statement is recorded before it is sent.
#pragma once

#include "soak/platform_session.h"
#include "soak/platform_texts.h"
#include "soak/soak_world.h"

namespace mangoquay::soak {

class platform_caller {
public:
    platform_caller(soak_world& world, std::uint64_t seed, bool keeps_sessions);
    // Until the world stops.
    void run();

private:
    struct planned_statement {
        statement_kind m_kind = statement_kind::read;
        std::string m_text;
        std::shared_ptr<const prepared_shape> m_prepared{};
        std::string m_arguments{};
    };
    bool open_session();
    void run_session();
    void run_operation();
    void run_transaction();
    void run_single();
    void set_value();
    // Returns false if it fails, after which the session is closed.
    bool prepare(const std::string& name, prepared_shape shape);
    void deallocate();
    // More shapes in one transaction than a connection holds.
    void run_many_shapes();
    // Leaves the transaction without its end.
    void leave();
    void end_transaction(session_answer answer, transaction_number transaction);
    planned_statement plan(bool may_write);
    planned_statement plan_execution(const std::string& name);
    sent_statement record(const planned_statement& planned, transaction_number transaction);
    session_answer send(const planned_statement& planned, transaction_number transaction);
    void check(const statement_id& id, const planned_statement& planned, const session_answer& answer);
    // Judges an answer with the code NOAUTH or NODB, which ends the session.
    void check_end(const std::string& id, const std::string& error, steady_time sent);
    void pause(int low_ms, int high_ms);

    soak_world& m_world;
    std::mt19937_64 m_random;
    const bool m_keeps_sessions;
    platform_texts m_texts;
    platform_session m_session;
    std::string m_database;
    core::entry_host_id m_entry;
    std::string m_key;
    boot_number m_boot;
    session_values m_values;                                                 // Acknowledged.
    std::map<std::string, std::shared_ptr<const prepared_shape>> m_prepared; // Acknowledged.
    steady_time m_began;                                                     // Of the transaction.
};

} // namespace mangoquay::soak
