// Simulation around the promotion core for property tests: the databases of one service, an executor whose
// orders may be carried out late and whose answers may be lost, and changing leaders. Time is simulated; all
// random choices derive from one seed.
//
// It checks that fencing tokens are unique and increase, that with synchronous replicas no acknowledged
// commit is missing from a promoted database, that a healthy primary is not replaced, and that the service
// has a primary at the end.
#pragma once

#include "promotion/promotion_core.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace mangoquay::test {

struct promotion_faults {
    bool m_reuse_fencing_tokens = false; // Orders do not get increasing tokens.
    bool m_skip_pause = false;           // Replicas continue to receive while they are compared.
    bool m_ignore_quorum = false;        // The position of one replica is sufficient.
    bool m_ignore_entry_hosts = false;   // Reports of entry hosts never reach the leader.
};

struct promotion_simulation_options {
    std::uint64_t m_seed = 1;
    std::uint32_t m_synchronous_replicas = 0;
    std::uint32_t m_databases = 3;
    bool m_leader_changes = true;
    bool m_lose_calls = true;
    bool m_crash = true;
    bool m_drain = false;
    bool m_only_leader_is_cut_off = false; // The leader cannot reach the primary, but entry hosts can.
    promotion_faults m_injected_faults;
};

class promotion_simulation final : private promotion::promotion_ports {
public:
    explicit promotion_simulation(promotion_simulation_options options);
    ~promotion_simulation() override;
    promotion_simulation(const promotion_simulation&) = delete;
    promotion_simulation& operator=(const promotion_simulation&) = delete;
    promotion_simulation(promotion_simulation&&) = delete;
    promotion_simulation& operator=(promotion_simulation&&) = delete;

    void run();
    [[nodiscard]] const std::string& violation() const { return m_violation; }
    [[nodiscard]] int promotions() const { return m_promotions; }

private:
    struct database {
        registry::endpoint_report m_report;
        std::vector<std::uint64_t> m_log; // Received commits.
        std::uint32_t m_term = 1;
        std::uint32_t m_paused_below_term = 0; // Unless 0, it receives nothing from lower terms.
        bool m_acts_as_primary = false;
        bool m_up = true;
        core::time_point m_last_contact{};
    };

    void run_step(const core::service_name& service, const registry::endpoint_report& target,
                  promotion::step_kind kind, core::term term) override;
    void send_promotion_order(const core::service_name& service, const core::endpoint_id& target,
                              promotion::fencing_token token) override;
    std::optional<promotion::fencing_token> next_fencing_token() override;
    void record_event(const promotion::promotion_event&) override {}

    void schedule(core::duration delay, std::function<void()> action);
    [[nodiscard]] std::uint64_t draw(std::uint64_t below) { return m_random() % below; }
    [[nodiscard]] bool chance(std::uint64_t percent) { return draw(100) < percent; }
    void report_violation(const std::string& violation);
    database* find_database(const core::endpoint_id& id);
    database* current_primary();
    void start_new_leader();
    void write();
    void replicate(const database& from, database& to) const;
    void execute_order(const core::endpoint_id& target, std::uint64_t token);
    void apply_step(database& target, promotion::step_kind kind, core::term term,
                    promotion::step_answer& answer);
    [[nodiscard]] promotion::service_view build_service_view();

    promotion_simulation_options m_options;
    std::mt19937_64 m_random;
    core::time_point m_now{std::chrono::hours(1)};
    std::map<std::pair<core::time_point, std::uint64_t>, std::function<void()>> m_events;
    std::uint64_t m_last_event_number = 0;
    std::unique_ptr<promotion::promotion_core> m_core;
    std::uint64_t m_leader_number = 0;
    std::uint64_t m_orders = 0;
    std::uint64_t m_highest_token = 0;          // Highest token that the executor has accepted.
    std::uint64_t m_last_token = 0;             // Last token that was issued.
    std::uint64_t m_latest_promotion_token = 0; // Token of the last order that started a promotion.
    std::vector<database> m_databases;
    std::vector<std::uint64_t> m_acknowledged;
    std::uint64_t m_last_commit = 0;
    int m_promotions = 0;
    bool m_replacement_justified = false; // A crash or a drain has justified a replacement.
    bool m_faults_ended = false;          // No further faults are injected.
    std::string m_violation;
};

} // namespace mangoquay::test
