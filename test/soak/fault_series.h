// Series of faults. All run on the calling thread, in the order of their times, and so do all starts of
// processes.
#pragma once

#include "soak/platform_operator.h"
#include "soak/soak_world.h"

#include <functional>

namespace mangoquay::soak {

class fault_series {
public:
    fault_series(soak_world& world, platform_operator& configurations, std::uint64_t seed);

    // All control hosts are replaced one after the other, then everything is killed after an acknowledgement.
    void plan_record_shape(milliseconds duration);
    // Single faults that overlap.
    void plan_mixed_shape(milliseconds duration);
    // Adds stops of entry hosts that excuse nothing to what has been planned.
    void plan_unnoticed_freezes(milliseconds duration);
    // Runs what has been planned; returns at the end of the duration.
    void run();
    // Continues and starts every host, so that the fleet can be judged.
    void repair_all();

private:
    using action = std::function<void()>;
    using fault = void (fault_series::*)();
    struct drawn_fault {
        fault m_fault;
        int m_weight;
    };
    static const std::vector<drawn_fault> faults;

    void after(milliseconds delay, action planned);
    void poll_processes();
    void await_stop(host_process& host, steady_time limit);
    void replace_control_host(std::size_t nth);
    void lose_power_after_acknowledgement();
    void start_all_stopped();
    void draw_fault();
    host_process* draw_host(host_role role);
    platform_service& draw_service();
    platform_database* draw_database(bool may_be_primary);
    [[nodiscard]] bool control_is_whole() const;
    void watch_control();

    void kill_entry();
    void stop_entry_hosts_in_series();
    void freeze_entry();
    void freeze_control();
    void kill_control();
    void replace_one_control();
    void freeze(host_process& host, milliseconds duration);
    void freeze_entry_unnoticed();
    void reset_database();
    void restart_database();
    void lose_answers();
    void rename_database();
    void give_address_to_other_service();
    // Ends the database and starts another one at its address. `other` may be of another service.
    void replace_database(platform_database& old, platform_service& other);

    soak_world& m_world;
    platform_operator& m_configurations;
    std::mt19937_64 m_random;
    std::multimap<steady_time, action> m_planned;
    std::map<host_process*, steady_time>
        m_stopping;                 // Hosts that got SIGTERM, and when they have to have ended.
    std::set<host_process*> m_down; // Ended by the soak, and not started again yet.
    steady_time m_end;
    steady_time m_control_incomplete; // When a control host was last seen to be away.
    int m_last_database = 0;
};

} // namespace mangoquay::soak
