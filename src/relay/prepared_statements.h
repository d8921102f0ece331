// Prepared statements and the names under which connections hold them.
//
// A caller's name and the statement's text are free text, so neither is part of a name at a database: the
// relay numbers the distinct statements and derives names from the numbers only.
//
// Invariants:
// - equal statements have one number while any session or connection refers to them;
// - a number is given to one statement only, so a name that a connection still holds never stands for
// another.
#pragma once

#include "core/strong_value.h"
#include "relay/statement.h"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mangoquay::relay {

struct prepared_statement {
    access_kind m_access = access_kind::read;
    std::string m_template; // Statement text without its arguments.

    friend bool operator==(const prepared_statement&, const prepared_statement&) = default;
};

using statement_number = core::strong_value<struct statement_number_tag, std::uint64_t>;

struct numbered_statement {
    prepared_statement m_statement;
    statement_number m_number;
};

using statement_handle = std::shared_ptr<const numbered_statement>;

// The name of the statement at every database. It contains no text of a caller.
std::string database_name(const numbered_statement& statement);
// The request that prepares the statement on a connection.
database_request preparation_of(const numbered_statement& statement);

// Numbers the statements that sessions and connections refer to. Must outlive its handles.
class statement_catalog {
public:
    statement_catalog() = default;
    ~statement_catalog() = default;
    statement_catalog(const statement_catalog&) = delete;
    statement_catalog& operator=(const statement_catalog&) = delete;
    statement_catalog(statement_catalog&&) = delete;
    statement_catalog& operator=(statement_catalog&&) = delete;

    // Returns the handle of an equal statement if there is one.
    statement_handle find_or_add(prepared_statement statement);
    [[nodiscard]] std::size_t size() const { return m_statements.size(); }

private:
    using text_key = std::pair<access_kind, std::string_view>;

    std::uint64_t m_last_number = 0;
    std::map<text_key, std::weak_ptr<const numbered_statement>> m_statements; // Keys refer to the values.
};

// Limits of what one connection holds. The statement in use is held even if it exceeds the limit of bytes.
inline constexpr std::size_t max_held_statements = 64;
inline constexpr std::size_t max_held_bytes = 256U << 10U;

// The prepared statements that a connection holds, in the order of their last use.
class held_statements {
public:
    // Marks the statement as the one used last. Returns false if the connection does not hold it.
    bool use(const statement_handle& statement);
    // Adds a statement that the connection does not hold. Returns the statements that have to be deallocated
    // to keep the limits; they count as no longer held.
    std::vector<statement_handle> add(statement_handle statement);
    void clear();
    [[nodiscard]] bool empty() const { return m_statements.empty(); }

private:
    std::vector<statement_handle> m_statements; // The one used last is at the end.
    std::size_t m_bytes = 0;                    // Total size of their texts.
};

} // namespace mangoquay::relay
