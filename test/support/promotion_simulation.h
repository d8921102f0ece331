// A world around the promotion core for property tests: databases of one service, an executor that answers
// late, twice or never, leaders that come and go. Time is simulated; all choices come from one seed.
//
// It checks that fences are unique and rise, that with a synchronous replica no acknowledged commit is
// missing from a promoted database, that a healthy primary is left alone, and that a service has a primary
// again in the end.
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
    bool m_reuse_fencing_tokens = false; // the number of an order is not raised
    bool m_skip_pause = false;           // replicas go on receiving while they are compared
    bool m_ignore_quorum = false;        // one replica's position is enough
    bool m_ignore_entry_hosts = false;   // their views never reach the leader
};

struct promotion_simulation_options {
    std::uint64_t m_seed = 1;
    std::uint32_t m_synchronous_replicas = 0;
    std::uint32_t m_databases = 3;
    bool m_leader_changes = true;
    bool m_lose_calls = true;
    bool m_crash = true;
    bool m_drain = false;
    bool m_only_leader_is_cut_off = false; // the leader alone cannot reach the primary; entry hosts can
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
        std::vector<std::uint64_t> m_log; // received
        std::uint32_t m_term = 1;
        std::uint32_t m_paused_below_term = 0; // not 0: receives nothing from terms below
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
    void report_violation(const std::string& what);
    database* find_database(const core::endpoint_id& id);
    database* current_primary();
    void start_new_leader();
    void write();
    void replicate(const database& from, database& to) const;
    void execute_order(const core::endpoint_id& target, std::uint64_t token);
    void apply_step(database& target, promotion::step_kind kind, core::term term,
                    promotion::step_answer& answer);
    [[nodiscard]] promotion::service_view view();

    promotion_simulation_options m_options;
    std::mt19937_64 m_random;
    core::time_point m_now{std::chrono::hours(1)};
    std::map<std::pair<core::time_point, std::uint64_t>, std::function<void()>> m_events;
    std::uint64_t m_last_event_number = 0;
    std::unique_ptr<promotion::promotion_core> m_core;
    std::uint64_t m_leader_number = 0;
    std::uint64_t m_orders = 0;
    std::uint64_t m_highest_token = 0;          // seen by the executor
    std::uint64_t m_last_token = 0;             // given out
    std::uint64_t m_latest_promotion_token = 0; // the last order that changed the primary
    std::vector<database> m_databases;
    std::vector<std::uint64_t> m_acknowledged;
    std::uint64_t m_last_commit = 0;
    int m_promotions = 0;
    bool m_replacement_justified = false; // a crash or a drain gave a reason to replace it
    bool m_faults_ended = false;          // no new faults
    std::string m_violation;
};

} // namespace mangoquay::test
