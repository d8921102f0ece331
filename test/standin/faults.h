// The faults and settings that tests and scripts apply to one database of the stand-in.
#pragma once

#include "postgres_standin.h"

namespace mangoquay::standin {

struct fault_actions {
    static core::result<bool> run(postgres_standin& standin, postgres_standin::database_server& endpoint,
                                  const std::string& action, const action_parameters& parameters);

private:
    struct target {
        postgres_standin& m_standin;
        postgres_standin::database_server& m_endpoint;
        const action_parameters& m_parameters;

        [[nodiscard]] std::string text(const std::string& name) const;
        [[nodiscard]] std::int64_t number(const std::string& name, std::int64_t otherwise) const;
    };

    static core::result<bool> crash(target& at);
    static core::result<bool> restart(target& at);
    static core::result<bool> freeze(target& at);
    static core::result<bool> thaw(target& at);
    static core::result<bool> cut(target& at);
    static core::result<bool> heal(target& at);
    static core::result<bool> lag(target& at);
    static core::result<bool> rewind(target& at);
    static core::result<bool> drop_next_answer(target& at);
    static core::result<bool> truncate_next_answer(target& at);
    static core::result<bool> stragglers(target& at);
    static core::result<bool> reset_usage(target& at);
};

} // namespace mangoquay::standin
