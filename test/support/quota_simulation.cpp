// Steps of the simulation and the check of the windows.
#include "support/quota_simulation.h"

#include <algorithm>
#include <cmath>
#include <functional>
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
    double m_clock_rate = 1.0;
    double m_clock_lag_s = 0.0; // Used by the fault share_used_after_end only.
    std::uint64_t m_incarnation = 1;
    std::unique_ptr<quotas::quota_holder> m_holder;
    double m_suspended_until = 0.0;
    double m_cut_until = 0.0;
    double m_document_at = -1.0; // When it applies the lower limit.
    bool m_has_lower_limit = false;
    struct waiting_operation {
        double m_since = 0.0;
    };
    std::vector<waiting_operation> m_waiting;
    std::vector<std::function<void()>> m_held_messages; // Arrived while it was suspended.
};

class simulation final : private quotas::granter_ports {
public:
    explicit simulation(const quota_scenario& scenario) : m_scenario(scenario), m_random(scenario.m_seed) {
        for (int index = 0; index < scenario.m_hosts; ++index) {
            host& one = m_hosts.emplace_back();
            one.m_id = core::entry_host_id("host" + std::to_string(index));
            one.m_clock_rate = uniform(0.9, 1.1);
            start(one);
        }
        m_leader_clock_rate = uniform(0.9, 1.1);
        begin_leader();
    }

    quota_outcome run() {
        for (m_now = 0.0; m_now < m_scenario.m_duration_s; m_now += step_s) {
            deliver_messages();
            if (m_scenario.m_disturbed) {
                disturb();
            }
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
                                                            quotas::window_tolerance{});
        ++m_term;
        if (m_scenario.m_fault == quota_fault::holders_lost_with_leader) {
            m_listed.clear();
        }
        const bool ignores_holders = m_scenario.m_fault == quota_fault::share_granted_twice;
        m_granter->set_holders(ignores_holders ? std::set<core::entry_host_id>{} : m_listed);
        m_granter->set_limits({{customer, m_limit_fell ? lower_limit() : m_scenario.m_limit}}, leader_time());
        m_granter->begin_term(leader_time());
        if (ignores_holders) {
            m_granter->set_holders(m_listed);
        }
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

    void disturb() {
        for (host& one : m_hosts) {
            if (happens(0.02)) {
                one.m_cut_until = m_now + uniform(0.5, 14.0);
            }
            if (happens(0.02) && one.m_suspended_until <= m_now) {
                const double length = uniform(0.1, 14.0);
                one.m_suspended_until = m_now + length;
                if (m_scenario.m_fault == quota_fault::share_used_after_end) {
                    one.m_clock_lag_s += length * one.m_clock_rate;
                }
            }
            if (happens(0.02)) {
                ++one.m_incarnation;
                start(one);
            }
        }
        if (!m_granter && m_now >= m_next_leader_at) {
            begin_leader();
        }
        if (m_granter && happens(0.05)) {
            m_granter.reset();
            m_next_leader_at = m_now + uniform(0.3, 3.0);
        }
        if (happens(0.005)) { // All processes restart.
            m_granter.reset();
            m_next_leader_at = m_now + uniform(0.3, 1.0);
            for (host& one : m_hosts) {
                ++one.m_incarnation;
                start(one);
            }
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
            one.m_document_at = m_now + uniform(0.0, 4.0);
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
        const double factor = m_now >= 20.0 && m_now < 40.0 ? m_scenario.m_demand_factor : 1.0;
        if (m_now >= first_operation_s && happens(m_scenario.m_demand_per_s * factor / m_scenario.m_hosts)) {
            ++m_outcome.m_arrived;
            one.m_holder->on_operation_arrived(customer, host_time(one));
            one.m_waiting.push_back({m_now});
        }
        std::erase_if(one.m_waiting, [&](const host::waiting_operation& operation) {
            const auto since = at(operation.m_since * one.m_clock_rate - one.m_clock_lag_s);
            const quotas::admission decision = one.m_holder->admit(customer, since, host_time(one));
            if (decision == quotas::admission::admitted) {
                m_admitted_at.push_back(m_now);
            }
            return decision != quotas::admission::waiting;
        });
        if (const auto request = one.m_holder->next_request(host_time(one))) {
            send_request(one, *request);
        }
    }

    [[nodiscard]] bool is_lost(const host& one) {
        return one.m_cut_until > m_now || (m_scenario.m_disturbed && uniform(0.0, 1.0) < 0.05);
    }

    void send_request(host& one, const quotas::quota_request& request) {
        if (is_lost(one)) {
            return;
        }
        const double delay = m_scenario.m_disturbed ? uniform(0.001, 0.3) : uniform(0.001, 0.003);
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
        const bool late = m_scenario.m_disturbed && uniform(0.0, 1.0) < 0.05;
        send(late ? uniform(0.3, 6.0) : uniform(0.001, 0.003), [this, &one, grant] {
            const auto apply = [this, &one, grant] { one.m_holder->on_grant(grant, host_time(one)); };
            if (one.m_suspended_until > m_now) {
                one.m_held_messages.push_back(apply);
            } else {
                apply();
            }
        });
    }

    // The lower limit binds one window after every host has applied it.
    quota_outcome judge() {
        const quotas::window_tolerance tolerance;
        const double window_s = std::chrono::duration<double>(tolerance.m_window).count();
        const auto bound = [&](const quotas::operation_limit& limit) {
            return (limit.m_rate_per_s * window_s + limit.m_burst) * (1.0 + tolerance.m_overage) +
                   tolerance.m_slack;
        };
        const bool all_applied = std::ranges::all_of(m_hosts, &host::m_has_lower_limit);
        const double binds_from = all_applied ? m_last_document_at : m_scenario.m_duration_s;
        m_outcome.m_admitted = m_admitted_at.size();
        m_outcome.m_worst_excess = -bound(m_scenario.m_limit);
        for (std::size_t last = 0, first = 0; last < m_admitted_at.size(); ++last) {
            while (m_admitted_at[first] < m_admitted_at[last] - window_s) {
                ++first;
            }
            const bool lower = m_limit_fell && m_admitted_at[first] > binds_from + window_s;
            const auto count = static_cast<double>(last - first + 1);
            m_outcome.m_worst_excess =
                std::max(m_outcome.m_worst_excess, count - bound(lower ? lower_limit() : m_scenario.m_limit));
        }
        return m_outcome;
    }

    quota_scenario m_scenario;
    std::mt19937 m_random;
    double m_now = 0.0;
    std::deque<host> m_hosts;
    std::set<core::entry_host_id> m_listed; // Replicated.
    std::unique_ptr<quotas::quota_granter> m_granter;
    double m_leader_clock_rate = 1.0;
    int m_term = 0;
    double m_next_leader_at = 0.0;
    bool m_limit_fell = false;
    double m_last_document_at = 0.0;
    std::vector<scheduled> m_messages;
    std::vector<double> m_admitted_at;
    quota_outcome m_outcome;
};

} // namespace

quota_outcome simulate_quotas(const quota_scenario& scenario) {
    return simulation(scenario).run();
}

} // namespace mangoquay::test
