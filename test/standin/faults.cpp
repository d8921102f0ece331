// Applies faults.
//   crash                  connections and listener closed, open transactions lost; log and rows kept
//   restart                after a crash: listens again in the role it had
//   freeze, thaw           connections are accepted and nothing is answered or done
//   cut                    from=ID: replication with that database stops both ways; client=NAME: this client
//                          (IP number or last part of the application name) gets no answers; neither: cut
//                          from all databases
//   heal                   ends all cuts
//   lag                    ms=N: applied N ms after the commit; receive_us=N: durable N us after the commit
//   rewind                 discards a diverged tail and follows the group's primary of the highest term
//   drop_next_answer       the next commit that changes something closes the connection unanswered
//   truncate_next_answer   half of the next rows, then the connection is closed
//   stragglers             text=T, every=N, factor=F: see straggler_rule; statement_us=N sets the base time
//   reset_usage            clears the highest counts
#include "faults.h"

#include <unistd.h>

#include <cstdlib>
#include <unordered_map>

namespace mangoquay::standin {

std::string fault_actions::target::text(const std::string& name) const {
    const auto found = m_parameters.find(name);
    return found == m_parameters.end() ? std::string() : found->second;
}

std::int64_t fault_actions::target::number(const std::string& name, std::int64_t otherwise) const {
    const std::string value = text(name);
    return value.empty() ? otherwise : std::strtoll(value.c_str(), nullptr, 10);
}

core::result<bool> fault_actions::crash(target& at) {
    database& crashed = at.m_endpoint.m_database;
    if (crashed.m_faults.m_crashed) {
        return true;
    }
    crashed.crash();
    at.m_standin.m_loop.unwatch(at.m_endpoint.m_listener);
    ::close(at.m_endpoint.m_listener);
    at.m_endpoint.m_listener = -1;
    at.m_standin.close_sessions(crashed);
    return true;
}

core::result<bool> fault_actions::restart(target& at) {
    if (!at.m_endpoint.m_database.m_faults.m_crashed) {
        return core::result<bool>::failure("the endpoint has not crashed");
    }
    auto listening = at.m_standin.listen(at.m_endpoint);
    at.m_endpoint.m_database.m_faults.m_crashed = !listening;
    return listening;
}

core::result<bool> fault_actions::freeze(target& at) {
    at.m_endpoint.m_database.m_faults.m_frozen = true;
    at.m_standin.update_session_watches(at.m_endpoint.m_database);
    return true;
}

core::result<bool> fault_actions::thaw(target& at) {
    at.m_endpoint.m_database.m_faults.m_frozen = false;
    at.m_standin.resume_sessions(at.m_endpoint.m_database);
    return true;
}

core::result<bool> fault_actions::cut(target& at) {
    fault_state& faults = at.m_endpoint.m_database.m_faults;
    const std::string from = at.text("from");
    const std::string client = at.text("client");
    if (!from.empty()) {
        faults.m_cut_databases.insert(from);
    }
    if (!client.empty()) {
        faults.m_cut_clients.insert(client);
        at.m_standin.update_session_watches(at.m_endpoint.m_database);
    }
    faults.m_cut = faults.m_cut || (from.empty() && client.empty());
    return true;
}

core::result<bool> fault_actions::heal(target& at) {
    fault_state& faults = at.m_endpoint.m_database.m_faults;
    faults.m_cut = false;
    faults.m_cut_databases.clear();
    faults.m_cut_clients.clear();
    at.m_standin.resume_sessions(at.m_endpoint.m_database);
    return true;
}

core::result<bool> fault_actions::lag(target& at) {
    timing& times = at.m_endpoint.m_database.m_layout.m_timing;
    times.m_lag = core::milliseconds(at.number("ms", times.m_lag.count() / 1000));
    times.m_receive = core::microseconds(at.number("receive_us", times.m_receive.count()));
    return true;
}

core::result<bool> fault_actions::rewind(target& at) {
    database& rewound = at.m_endpoint.m_database;
    const database* source = nullptr;
    for (const auto& [id, other] : at.m_standin.m_endpoints) {
        const database& candidate = other->m_database;
        const bool usable = &candidate != &rewound && !candidate.m_in_recovery &&
                            !candidate.m_faults.m_crashed &&
                            candidate.m_layout.m_group == rewound.m_layout.m_group;
        if (usable && (source == nullptr || candidate.durable_term() > source->durable_term())) {
            source = &candidate;
        }
    }
    if (source == nullptr) {
        return core::result<bool>::failure("the group has no other running primary");
    }
    at.m_standin.close_sessions(rewound);
    rewound.rewind_to(*source);
    rewound.m_primary_conninfo = conninfo_for(source->m_layout, rewound.m_layout.m_id);
    return true;
}

core::result<bool> fault_actions::drop_next_answer(target& at) {
    at.m_endpoint.m_database.m_faults.m_drop_next_answer = true;
    return true;
}

core::result<bool> fault_actions::truncate_next_answer(target& at) {
    at.m_endpoint.m_database.m_faults.m_truncate_next_answer = true;
    return true;
}

core::result<bool> fault_actions::stragglers(target& at) {
    timing& times = at.m_endpoint.m_database.m_layout.m_timing;
    straggler_rule& rule = times.m_stragglers;
    rule.m_text = at.text("text");
    rule.m_every = static_cast<std::uint32_t>(at.number("every", 0));
    rule.m_factor = static_cast<std::uint32_t>(at.number("factor", 1));
    times.m_statement = core::microseconds(at.number("statement_us", times.m_statement.count()));
    return true;
}

core::result<bool> fault_actions::reset_usage(target& at) {
    usage& use = at.m_endpoint.m_database.m_usage;
    use.m_peak_running_statements = use.m_running_statements;
    use.m_highest_connections = static_cast<std::uint32_t>(at.m_endpoint.m_database.m_backends.size());
    return true;
}

core::result<bool> fault_actions::run(postgres_standin& standin, postgres_standin::database_server& endpoint,
                                      const std::string& action, const action_parameters& parameters) {
    using action_function = core::result<bool> (*)(target&);
    static const std::unordered_map<std::string, action_function> actions = {
        {"crash", crash},
        {"restart", restart},
        {"freeze", freeze},
        {"thaw", thaw},
        {"cut", cut},
        {"heal", heal},
        {"lag", lag},
        {"rewind", rewind},
        {"drop_next_answer", drop_next_answer},
        {"truncate_next_answer", truncate_next_answer},
        {"stragglers", stragglers},
        {"reset_usage", reset_usage},
    };
    const auto found = actions.find(action);
    if (found == actions.end()) {
        return core::result<bool>::failure("unknown action " + action);
    }
    target at{standin, endpoint, parameters};
    return found->second(at);
}

} // namespace mangoquay::standin
