// Implements the actions on a database of the stand-in:
//   crash                  closes the listener and all connections, and discards open transactions; the log
//                          and the rows are kept
//   restart                after a crash: listens again, in the role that the database had
//   freeze, thaw           a frozen database accepts connections, but answers and runs nothing
//   cut                    from=ID: interrupts replication with that database in both directions;
//                          client=NAME: this client (IP address, application name or the last part of it)
//                          receives no answers; without either: interrupts replication with all databases
//   heal                   ends all cuts
//   lag                    ms=N: records are applied N ms after the commit; receive_us=N: they are durable
//                          N us after the commit
//   rewind                 discards a diverged tail and follows the group's primary with the highest term
//   drop_next_answer       the next commit that changes data closes the connection without an answer
//   truncate_next_answer   half of the bytes of the next answer with rows to a caller's statement are sent,
//                          then the connection is closed
//   stragglers             text=T, every=N, factor=F: see straggler_rule; statement_us=N sets the normal time
//   reset_usage            sets the peak counts to the present counts
#include "faults.h"

#include <unistd.h>

#include <cstdlib>
#include <unordered_map>

namespace mangoquay::standin {

std::string fault_actions::action_context::text_parameter(const std::string& name) const {
    const auto found = m_parameters.find(name);
    return found == m_parameters.end() ? std::string() : found->second;
}

std::int64_t fault_actions::action_context::number_parameter(const std::string& name,
                                                             std::int64_t default_value) const {
    const std::string value = text_parameter(name);
    return value.empty() ? default_value : std::strtoll(value.c_str(), nullptr, 10);
}

core::result<bool> fault_actions::crash(action_context& context) {
    database& crashed = context.m_endpoint.m_database;
    if (crashed.m_faults.m_crashed) {
        return true;
    }
    crashed.crash();
    context.m_standin.m_loop.unwatch(context.m_endpoint.m_listener);
    ::close(context.m_endpoint.m_listener);
    context.m_endpoint.m_listener = -1;
    context.m_standin.close_sessions(crashed);
    return true;
}

core::result<bool> fault_actions::restart(action_context& context) {
    if (!context.m_endpoint.m_database.m_faults.m_crashed) {
        return core::result<bool>::failure("the endpoint has not crashed");
    }
    auto listening = context.m_standin.listen(context.m_endpoint);
    context.m_endpoint.m_database.m_faults.m_crashed = !listening;
    return listening;
}

core::result<bool> fault_actions::freeze(action_context& context) {
    context.m_endpoint.m_database.m_faults.m_frozen = true;
    context.m_standin.update_session_watches(context.m_endpoint.m_database);
    return true;
}

core::result<bool> fault_actions::thaw(action_context& context) {
    context.m_endpoint.m_database.m_faults.m_frozen = false;
    context.m_standin.resume_sessions(context.m_endpoint.m_database);
    return true;
}

core::result<bool> fault_actions::cut(action_context& context) {
    fault_state& faults = context.m_endpoint.m_database.m_faults;
    const std::string from = context.text_parameter("from");
    const std::string client = context.text_parameter("client");
    if (!from.empty()) {
        faults.m_cut_databases.insert(from);
    }
    if (!client.empty()) {
        faults.m_cut_clients.insert(client);
        context.m_standin.update_session_watches(context.m_endpoint.m_database);
    }
    faults.m_cut = faults.m_cut || (from.empty() && client.empty());
    return true;
}

core::result<bool> fault_actions::heal(action_context& context) {
    fault_state& faults = context.m_endpoint.m_database.m_faults;
    faults.m_cut = false;
    faults.m_cut_databases.clear();
    faults.m_cut_clients.clear();
    context.m_standin.resume_sessions(context.m_endpoint.m_database);
    return true;
}

core::result<bool> fault_actions::lag(action_context& context) {
    timing& times = context.m_endpoint.m_database.m_layout.m_timing;
    times.m_apply_delay =
        core::milliseconds(context.number_parameter("ms", times.m_apply_delay.count() / 1000));
    times.m_receive_delay =
        core::microseconds(context.number_parameter("receive_us", times.m_receive_delay.count()));
    return true;
}

core::result<bool> fault_actions::rewind(action_context& context) {
    database& rewound = context.m_endpoint.m_database;
    const database* source = nullptr;
    for (const auto& [id, other] : context.m_standin.m_endpoints) {
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
    context.m_standin.close_sessions(rewound);
    rewound.rewind_to(*source);
    rewound.m_primary_conninfo = conninfo_for(source->m_layout, rewound.m_layout.m_id);
    return true;
}

core::result<bool> fault_actions::drop_next_answer(action_context& context) {
    context.m_endpoint.m_database.m_faults.m_drop_next_answer = true;
    return true;
}

core::result<bool> fault_actions::truncate_next_answer(action_context& context) {
    context.m_endpoint.m_database.m_faults.m_truncate_next_answer = true;
    return true;
}

core::result<bool> fault_actions::stragglers(action_context& context) {
    timing& times = context.m_endpoint.m_database.m_layout.m_timing;
    straggler_rule& rule = times.m_stragglers;
    rule.m_text = context.text_parameter("text");
    rule.m_every = static_cast<std::uint32_t>(context.number_parameter("every", 0));
    rule.m_factor = static_cast<std::uint32_t>(context.number_parameter("factor", 1));
    times.m_statement_duration =
        core::microseconds(context.number_parameter("statement_us", times.m_statement_duration.count()));
    return true;
}

core::result<bool> fault_actions::reset_usage(action_context& context) {
    usage& use = context.m_endpoint.m_database.m_usage;
    use.m_peak_running_statements = use.m_running_statements;
    use.m_peak_connections = static_cast<std::uint32_t>(context.m_endpoint.m_database.m_backends.size());
    return true;
}

core::result<bool> fault_actions::run(postgres_standin& standin, postgres_standin::database_server& endpoint,
                                      const std::string& action, const action_parameters& parameters) {
    using action_function = core::result<bool> (*)(action_context&);
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
    action_context context{standin, endpoint, parameters};
    return found->second(context);
}

} // namespace mangoquay::standin
