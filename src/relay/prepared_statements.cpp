// Numbers of prepared statements and the limits of what a connection holds.
#include "relay/prepared_statements.h"

#include <algorithm>

namespace mangoquay::relay {

std::string database_name(const numbered_statement& statement) {
    return "p" + std::to_string(statement.m_number.value());
}

database_request preparation_of(const numbered_statement& statement) {
    return {.m_kind = request_kind::prepare,
            .m_name = database_name(statement),
            .m_argument = statement.m_statement.m_template,
            .m_access = statement.m_statement.m_access};
}

statement_handle statement_catalog::find_or_add(prepared_statement statement) {
    const auto known = m_statements.find({statement.m_access, statement.m_template});
    if (known != m_statements.end()) {
        return known->second.lock();
    }
    const auto added = std::make_shared<const numbered_statement>(
        numbered_statement{std::move(statement), statement_number(++m_last_number)});
    const text_key key{added->m_statement.m_access, added->m_statement.m_template};
    statement_handle handle(added.get(), [this, added](const numbered_statement* /*unused*/) {
        m_statements.erase({added->m_statement.m_access, added->m_statement.m_template});
    });
    m_statements.emplace(key, handle);
    return handle;
}

bool held_statements::use(const statement_handle& statement) {
    const auto held = std::ranges::find(m_statements, statement);
    if (held == m_statements.end()) {
        return false;
    }
    std::rotate(held, held + 1, m_statements.end());
    return true;
}

std::vector<statement_handle> held_statements::add(statement_handle statement) {
    m_bytes += statement->m_statement.m_template.size();
    m_statements.push_back(std::move(statement));
    std::vector<statement_handle> dropped;
    while (m_statements.size() > 1 &&
           (m_statements.size() > max_held_statements || m_bytes > max_held_bytes)) {
        m_bytes -= m_statements.front()->m_statement.m_template.size();
        dropped.push_back(std::move(m_statements.front()));
        m_statements.erase(m_statements.begin());
    }
    return dropped;
}

void held_statements::clear() {
    m_statements.clear();
    m_bytes = 0;
}

} // namespace mangoquay::relay
