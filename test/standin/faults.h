// Applies the faults and settings that tests and scripts request for one database of the stand-in. The
// actions are listed in faults.cpp.
#pragma once

#include "postgres_standin.h"

namespace mangoquay::standin {

struct fault_actions {
    static core::result<bool> run(postgres_standin& standin, postgres_standin::database_server& endpoint,
                                  const std::string& action, const action_parameters& parameters);

private:
    struct action_context {
        postgres_standin& m_standin;
        postgres_standin::database_server& m_endpoint;
        const action_parameters& m_parameters;

        [[nodiscard]] std::string text_parameter(const std::string& name) const;
        [[nodiscard]] std::int64_t number_parameter(const std::string& name,
                                                    std::int64_t default_value) const;
    };

    static core::result<bool> crash(action_context& context);
    static core::result<bool> restart(action_context& context);
    static core::result<bool> freeze(action_context& context);
    static core::result<bool> thaw(action_context& context);
    static core::result<bool> cut(action_context& context);
    static core::result<bool> heal(action_context& context);
    static core::result<bool> lag(action_context& context);
    static core::result<bool> rewind(action_context& context);
    static core::result<bool> drop_next_answer(action_context& context);
    static core::result<bool> truncate_next_answer(action_context& context);
    static core::result<bool> stragglers(action_context& context);
    static core::result<bool> reset_usage(action_context& context);
};

} // namespace mangoquay::standin
