// A proxy backend for tests. It records the calls of the gateway and returns the results that the test sets.
#pragma once

#include "gateway/proxy_backend.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <vector>

namespace mangoquay::test {

class recording_backend : public gateway::proxy_backend {
public:
    routing::entry_answer execute(const routing::entry_statement& statement) override {
        {
            const std::lock_guard lock(m_mutex);
            m_statements.push_back(statement);
        }
        return m_execute(statement);
    }
    gateway::operator_outcome submit(const control::command& change) override {
        m_commands.push_back(change);
        return m_outcome;
    }
    gateway::operator_outcome announce(const control::announce_endpoint& announcement) override {
        return submit(announcement);
    }
    gateway::operator_outcome drain(const control::drain_endpoint& change) override { return submit(change); }
    gateway::operator_outcome hand_over(const core::group_id&, const core::endpoint_id& target) override {
        m_target = target.value();
        return m_outcome;
    }
    gateway::operator_outcome replace_control_host(const core::entry_host_id&,
                                                   const core::entry_host_id& host,
                                                   const control::socket_address&) override {
        m_target = host.value();
        return m_outcome;
    }
    nlohmann::json status() override { return {{"services", nlohmann::json::object()}}; }
    std::string metrics_page() override { return "mangoquay_reads_total 1\n"; }
    void set_blocked_peers(const std::set<core::entry_host_id>& peers) override { m_blocked = peers; }

    static routing::entry_answer ran(const std::string& text = {}) {
        routing::entry_answer answer;
        answer.m_answer.m_verdict = core::verdict::ran;
        answer.m_answer.m_message = text;
        return answer;
    }

    std::mutex m_mutex;
    std::vector<routing::entry_statement> m_statements;
    std::vector<control::command> m_commands;
    std::set<core::entry_host_id> m_blocked;
    std::string m_target;
    gateway::operator_outcome m_outcome{
        core::verdict::ran, core::reason::none, {true, core::revision(9), {}, {}}};
    std::function<routing::entry_answer(const routing::entry_statement&)> m_execute =
        [](const routing::entry_statement& statement) { return ran(statement.m_request.m_sql); };
};

} // namespace mangoquay::test
