// Test harness for the statement dispatcher, with manually controlled clock, timers and owners.
#pragma once

#include "core/log.h"
#include "metrics/metrics_registry.h"
#include "routing/statement_dispatcher.h"
#include "support/fleet_state.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mangoquay::test {

struct sent_statement {
    core::entry_host_id m_owner;
    core::endpoint_id m_endpoint;
    core::statement_request m_request;
    core::milliseconds m_position_wait{0};
    routing::owner_callback m_done;

    void answer(core::verdict verdict, core::reason reason = core::reason::none,
                std::optional<core::history_position> position = std::nullopt) const {
        routing::owner_answer reply;
        reply.m_answer.m_verdict = verdict;
        reply.m_answer.m_reason = reason;
        reply.m_answer.m_message = m_request.m_sql;
        reply.m_answer.m_endpoint = m_endpoint;
        reply.m_answer.m_position = position;
        reply.m_endpoint_position = position;
        m_done(reply);
    }
};

class dispatcher_harness : private routing::owner_client {
public:
    explicit dispatcher_harness(retries::retry_rules rules = {}, int groups = 1)
        : m_state(fleet_state(groups)),
          m_dispatcher({host_name(1), zones[1], core::incarnation(1), 7, rules},
                       {[this] { return m_now; },
                        [this](core::time_point when, std::function<void()> task) {
                            m_timers.emplace(when, std::move(task));
                        },
                        [this] { return m_view; }},
                       m_state, m_tokens, *this, m_metrics) {
        // One log line per statement would hide failures.
        core::configure_log(core::log_level::error, "/dev/null");
    }

    // Sends a statement. Its answers are collected in m_answers at the returned index.
    std::size_t send(core::statement_kind kind, const std::string& token = {},
                     const std::function<void(routing::entry_statement&)>& change = {}) {
        routing::entry_statement statement;
        statement.m_request.m_service = service;
        statement.m_request.m_group = group_name(0);
        statement.m_request.m_caller = core::caller_id("app");
        statement.m_request.m_kind = kind;
        statement.m_request.m_deadline = core::deadline_after(m_now, std::chrono::seconds(5));
        statement.m_session_token = token;
        const std::size_t index = m_answers.size();
        statement.m_request.m_sql = "sql " + std::to_string(index);
        if (change) {
            change(statement);
        }
        m_answers.emplace_back();
        m_dispatcher.execute(std::move(statement), [this, index](routing::entry_answer answer) {
            m_answers[index].push_back(std::move(answer));
        });
        return index;
    }

    void advance(core::duration length) {
        const core::time_point until = m_now + length;
        while (!m_timers.empty() && m_timers.begin()->first <= until) {
            auto timer = m_timers.extract(m_timers.begin());
            m_now = std::max(m_now, timer.key());
            timer.mapped()();
        }
        m_now = until;
    }

    std::string token(core::history_position position) const {
        return *m_tokens.encode({{group_name(0), position}});
    }
    // Returns the first answer to a statement; throws if there is none.
    const routing::entry_answer& answer(std::size_t index) const { return m_answers.at(index).at(0); }

    core::time_point m_now{std::chrono::hours(1)};
    routing::view_status m_view{true, true};
    control::control_state m_state;
    sessions::token_codec m_tokens{{{1, "0123456789abcdef"}}};
    metrics::metrics_registry m_metrics;
    std::vector<sent_statement> m_sent;
    std::vector<std::vector<routing::entry_answer>> m_answers;
    std::multimap<core::time_point, std::function<void()>> m_timers;
    std::function<void(const sent_statement&)> m_on_send; // If set, called for each statement sent.

private:
    void execute(const core::entry_host_id& owner, const core::endpoint_id& endpoint, core::owner_epoch,
                 const core::statement_request& request, core::milliseconds position_wait,
                 routing::owner_callback done) override {
        m_sent.push_back({owner, endpoint, request, position_wait, std::move(done)});
        if (m_on_send) {
            m_on_send(sent_statement(m_sent.back()));
        }
    }

public:
    routing::statement_dispatcher m_dispatcher;
};

} // namespace mangoquay::test
