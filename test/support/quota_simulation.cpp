// Steps of the simulation and the check of the windows.
#include "support/quota_simulation.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace mangoquay::test {
namespace {

using std::chrono::duration_cast;

constexpr double step_s = 0.01;
// Callers come some seconds after the hosts have started.
constexpr double first_operation_s = 3.0;
const core::customer_name customer("tray");

core::time_point at(double seconds) {
    // Away from the clock's origin, so that earlier times can be expressed.
    return core::time_point{} +
           duration_cast<core::duration>(std::chrono::duration<double>(1000.0 + seconds));
}

struct scheduled {
    double m_at = 0.0;
    std::function<void()> m_deliver;
};

class simulation;

struct host {
    core::entry_host_id m_id;
    int m_index = 0;
    double m_clock_rate = 1.0;
    double m_clock_lag_s = 0.0; // Used by the fault share_used_after_end only.
    std::uint64_t m_incarnation = 1;
    std::unique_ptr<quotas::quota_holder> m_holder;
    double m_suspended_until = 0.0;
    double m_cut_until = 0.0;
    double m_document_at = -1.0; // When it applies the lower limit.
    bool m_has_lower_limit = false;
    std::vector<double> m_waiting;                      // When the operations arrived.
    std::vector<std::function<void()>> m_held_messages; // Arrived while it was suspended.
};

class simulation final : private quotas::granter_ports {
public:
    explicit simulation(const quota_scenario& scenario) : m_scenario(scenario), m_random(scenario.m_seed) {
        for (int index = 0; index < scenario.m_hosts; ++index) {
            host& one = m_hosts.emplace_back();
            one.m_id = core::entry_host_id("host" + std::to_string(index));
            one.m_index = index;
            one.m_clock_rate = clock_rate(index == 0);
            start(one);
        }
        m_leader_clock_rate = clock_rate(false);
        begin_leader();
    }

    quota_outcome run() {
        for (m_now = 0.0; m_now < m_scenario.m_duration_s; m_now += step_s) {
            deliver_messages();
            if (m_scenario.m_disturbances) {
                disturb(*m_scenario.m_disturbances);
            }
            follow_plan();
            change_limit();
            for (host& one : m_hosts) {
                step(one);
            }
            if (m_granter) {
                m_granter->tick(leader_time());
            }
        }
        return judge();
    }

private:
    void propose_holder(const core::entry_host_id& id, bool holds) override {
        send(uniform(0.002, 0.03), [this, id, holds] { // Committed by the control hosts.
            if (holds) {
                m_listed.insert(id);
            } else {
                m_listed.erase(id);
            }
            if (m_granter) {
                m_granter->set_holders(m_listed);
            }
        });
    }

    double uniform(double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(m_random);
    }
    double clock_rate(bool first) {
        const double spread = m_scenario.m_clock_spread;
        if (m_scenario.m_first_clock_slowest) {
            return first ? 1.0 - spread : 1.0 + spread;
        }
        return uniform(1.0 - spread, 1.0 + spread);
    }
    bool happens(double per_s) { return uniform(0.0, 1.0) < per_s * step_s; }

    [[nodiscard]] core::time_point leader_time() const { return at(m_now * m_leader_clock_rate); }
    [[nodiscard]] core::time_point host_time(const host& one) const {
        return at(m_now * one.m_clock_rate - one.m_clock_lag_s);
    }
    [[nodiscard]] quotas::operation_limit lower_limit() const {
        return {m_scenario.m_limit.m_rate_per_s / 4.0, m_scenario.m_limit.m_burst / 4.0};
    }

    void start(host& one) {
        one.m_holder = std::make_unique<quotas::quota_holder>(core::incarnation(one.m_incarnation));
        one.m_holder->set_limits({{customer, one.m_has_lower_limit ? lower_limit() : m_scenario.m_limit}},
                                 host_time(one));
        one.m_holder->on_session_opened(customer);
        one.m_waiting.clear();
        one.m_held_messages.clear();
    }

    void begin_leader() {
        m_granter = std::make_unique<quotas::quota_granter>(static_cast<quotas::granter_ports&>(*this),
                                                            m_scenario.m_tolerance);
        ++m_term;
        if (m_scenario.m_fault == quota_fault::holders_lost_with_leader) {
            m_listed.clear();
        }
        m_granter->set_holders(m_listed);
        m_granter->set_limits({{customer, m_limit_fell ? lower_limit() : m_scenario.m_limit}}, leader_time());
        const bool does_not_wait = m_scenario.m_fault == quota_fault::share_granted_twice;
        m_granter->begin_term(quotas::granter_term(m_term),
                              does_not_wait ? leader_time() - quotas::counted_lifetime : leader_time());
    }

    void send(double delay, std::function<void()> deliver) {
        m_messages.push_back({m_now + delay, std::move(deliver)});
    }

    void deliver_messages() {
        std::vector<scheduled> due;
        std::erase_if(m_messages, [&](scheduled& message) {
            if (message.m_at > m_now) {
                return false;
            }
            due.push_back(std::move(message));
            return true;
        });
        for (const scheduled& message : due) {
            message.m_deliver();
        }
    }

    void lose_leader(double seconds) {
        m_granter.reset();
        m_next_leader_at = m_now + seconds;
    }

    void restart(host& one) {
        ++one.m_incarnation;
        start(one);
    }

    void disturb(const quota_disturbances& disturbances) {
        for (host& one : m_hosts) {
            if (happens(disturbances.m_cuts)) {
                one.m_cut_until = m_now + uniform(0.5, disturbances.m_longest_s);
            }
            if (happens(disturbances.m_suspensions) && one.m_suspended_until <= m_now) {
                const double length = uniform(0.1, disturbances.m_longest_s);
                one.m_suspended_until = m_now + length;
                if (m_scenario.m_fault == quota_fault::share_used_after_end) {
                    one.m_clock_lag_s += length * one.m_clock_rate;
                }
            }
            if (happens(disturbances.m_restarts)) {
                restart(one);
            }
        }
        if (m_granter && happens(disturbances.m_leader_losses)) {
            lose_leader(uniform(0.3, 3.0));
        }
        if (happens(disturbances.m_full_restarts)) {
            lose_leader(uniform(0.3, 1.0));
            std::ranges::for_each(m_hosts, [this](host& one) { restart(one); });
        }
    }

    void follow_plan() {
        for (host& one : m_hosts) {
            if (one.m_index % 3 == 0 && m_scenario.m_zone_cut.contains(m_now)) {
                one.m_cut_until = m_scenario.m_zone_cut.m_until;
            }
        }
        if (m_granter && m_scenario.m_leader_absent.contains(m_now)) {
            lose_leader(m_scenario.m_leader_absent.m_until - m_now);
        }
        const double restart_at = m_scenario.m_full_restart_at;
        if (restart_at >= 0.0 && m_now >= restart_at && m_now < restart_at + step_s) {
            lose_leader(0.5);
            std::ranges::for_each(m_hosts, [this](host& one) { restart(one); });
        }
        if (!m_granter && m_now >= m_next_leader_at) {
            begin_leader();
        }
    }

    void change_limit() {
        if (!m_scenario.m_limit_falls || m_limit_fell || m_now < 30.0) {
            return;
        }
        m_limit_fell = true;
        if (m_granter) {
            m_granter->set_limits({{customer, lower_limit()}}, leader_time());
        }
        for (host& one : m_hosts) {
            one.m_document_at = m_now + uniform(0.0, m_scenario.m_longest_document_delay_s);
        }
    }

    void apply_document(host& one) {
        const bool reachable = one.m_cut_until <= m_now && one.m_suspended_until <= m_now;
        if (one.m_document_at < 0.0 || one.m_document_at > m_now || one.m_has_lower_limit || !reachable) {
            return;
        }
        one.m_has_lower_limit = true;
        m_last_document_at = m_now;
        if (m_scenario.m_fault != quota_fault::lower_limit_not_applied) {
            one.m_holder->set_limits({{customer, lower_limit()}}, host_time(one));
        }
    }

    void step(host& one) {
        apply_document(one);
        if (one.m_suspended_until > m_now) {
            return;
        }
        for (const auto& handle : std::exchange(one.m_held_messages, {})) {
            handle();
        }
        const double factor =
            m_scenario.m_demand_factor ? m_scenario.m_demand_factor(one.m_index, m_now) : 1.0;
        if (m_now >= first_operation_s && happens(m_scenario.m_demand_per_s * factor / m_scenario.m_hosts)) {
            one.m_holder->on_operation_arrived(customer, host_time(one));
            one.m_waiting.push_back(m_now);
        }
        std::erase_if(one.m_waiting, [&](double arrived_at) {
            const auto since = at(arrived_at * one.m_clock_rate - one.m_clock_lag_s);
            const quotas::admission decision = one.m_holder->admit(customer, since, host_time(one));
            if (decision == quotas::admission::waiting) {
                return false;
            }
            m_outcome.m_operations.push_back(
                {arrived_at, one.m_index, m_now, decision == quotas::admission::admitted});
            return true;
        });
        if (const auto request = one.m_holder->next_request(host_time(one))) {
            send_request(one, *request);
        }
    }

    [[nodiscard]] bool is_lost(const host& one) {
        return one.m_cut_until > m_now || (m_scenario.m_disturbances && uniform(0.0, 1.0) < 0.05);
    }

    void send_request(host& one, const quotas::quota_request& request) {
        if (is_lost(one)) {
            return;
        }
        const double delay = m_scenario.m_disturbances ? uniform(0.001, 0.3) : uniform(0.001, 0.003);
        send(delay, [this, &one, request] {
            if (!m_granter) {
                return;
            }
            if (const auto grant = m_granter->on_request(one.m_id, request, leader_time())) {
                send_grant(one, *grant);
            }
        });
    }

    void send_grant(host& one, const quotas::quota_grant& grant) {
        if (is_lost(one)) {
            return;
        }
        // Some answers are delayed beyond a change of leader.
        const bool late = m_scenario.m_disturbances && uniform(0.0, 1.0) < 0.05;
        send(late ? uniform(0.3, 6.0) : uniform(0.001, 0.003), [this, &one, grant] {
            const auto apply = [this, &one, grant] { one.m_holder->on_grant(grant, host_time(one)); };
            if (one.m_suspended_until > m_now) {
                one.m_held_messages.push_back(apply);
            } else {
                apply();
            }
        });
    }

    // The lower limit binds the windows that begin after every host has applied it.
    quota_outcome judge() {
        const quotas::window_tolerance& tolerance = m_scenario.m_tolerance;
        const double window_s = std::chrono::duration<double>(tolerance.m_window).count();
        const auto bound = [&](const quotas::operation_limit& limit) {
            return (limit.m_rate_per_s * window_s + limit.m_burst) * (1.0 + tolerance.m_overage) +
                   tolerance.m_slack;
        };
        const bool all_applied = std::ranges::all_of(m_hosts, &host::m_has_lower_limit);
        const double binds_from = all_applied ? m_last_document_at : m_scenario.m_duration_s;
        std::vector<double> admitted_at;
        for (const operation_record& operation : m_outcome.m_operations) {
            if (operation.m_admitted) {
                admitted_at.push_back(operation.m_decided_at);
            }
        }
        m_outcome.m_worst_excess = -bound(m_scenario.m_limit);
        for (std::size_t last = 0, first = 0; last < admitted_at.size(); ++last) {
            while (admitted_at[first] < admitted_at[last] - window_s) {
                ++first;
            }
            const bool lower = m_limit_fell && admitted_at[first] > binds_from;
            const auto count = static_cast<double>(last - first + 1);
            m_outcome.m_worst_excess =
                std::max(m_outcome.m_worst_excess, count - bound(lower ? lower_limit() : m_scenario.m_limit));
        }
        return std::move(m_outcome);
    }

    quota_scenario m_scenario;
    std::mt19937 m_random;
    double m_now = 0.0;
    std::deque<host> m_hosts;
    std::set<core::entry_host_id> m_listed; // Replicated.
    std::unique_ptr<quotas::quota_granter> m_granter;
    double m_leader_clock_rate = 1.0;
    std::uint64_t m_term = 0;
    double m_next_leader_at = 0.0;
    bool m_limit_fell = false;
    double m_last_document_at = 0.0;
    std::vector<scheduled> m_messages;
    quota_outcome m_outcome;
};

} // namespace

quota_outcome simulate_quotas(const quota_scenario& scenario) {
    return simulation(scenario).run();
}

} // namespace mangoquay::test
