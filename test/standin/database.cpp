// Implements the tables, the write-ahead log, the row locks and the replication of one database.
#include "database.h"

#include <algorithm>

namespace mangoquay::standin {
namespace {

constexpr std::uint64_t first_position = 0x3000000;
constexpr std::uint64_t record_header_bytes = 48;

std::uint64_t record_size(const change_set& changes) {
    std::uint64_t size = record_header_bytes;
    for (const auto& [key, value] : changes) {
        size += key.m_id.size() + (value ? value->size() : 0) + record_header_bytes;
    }
    return size;
}

} // namespace

database::database(endpoint_layout endpoint) : m_layout(std::move(endpoint)) {
    m_in_recovery = !m_layout.m_primary;
    m_tables["entries"];
}

bool database::reachable_from(const database& other) const {
    const auto usable = [](const fault_state& faults) { return !faults.m_crashed && !faults.m_frozen; };
    const auto cut = [](const database& from, const database& to) {
        return from.m_faults.m_cut || from.m_faults.m_cut_databases.contains(to.m_layout.m_id);
    };
    return usable(m_faults) && usable(other.m_faults) && !cut(*this, other) && !cut(other, *this);
}

bool database::cut_from(const backend& client) const {
    const std::string& name = client.m_application_name;
    const auto& cut = m_faults.m_cut_clients;
    return !cut.empty() && (cut.contains(client.m_source) || cut.contains(name) ||
                            cut.contains(name.substr(name.rfind('/') + 1)));
}

const std::string* database::find_row(const transaction& within, const row_key& key) const {
    const auto changed = within.m_changes.find(key);
    if (changed != within.m_changes.end()) {
        return changed->second ? &*changed->second : nullptr;
    }
    const auto table = m_tables.find(key.m_table);
    if (table == m_tables.end()) {
        return nullptr;
    }
    const auto row = table->second.find(key.m_id);
    return row == table->second.end() ? nullptr : &row->second;
}

bool database::has_table(const transaction& within, const std::string& table) const {
    return m_tables.contains(table) || within.m_changes.contains(row_key{table, ""});
}

bool database::lock_row(backend& holder, const row_key& key) {
    return m_locks.try_emplace(key, &holder).first->second == &holder;
}

bool database::commit(backend& holder, core::time_point now) {
    change_set changes = std::move(holder.m_transaction.m_changes);
    holder.m_transaction = {};
    const bool wrote = !changes.empty();
    if (wrote) {
        append(durable_term(), std::move(changes), now);
    }
    release_locks(holder);
    return wrote;
}

void database::roll_back(backend& holder) {
    holder.m_transaction = {};
    release_locks(holder);
}

void database::release_locks(backend& holder) {
    const auto released =
        std::erase_if(m_locks, [&holder](const auto& entry) { return entry.second == &holder; });
    if (released == 0) {
        return;
    }
    for (const auto& [pid, waiting] : m_backends) {
        waiting->on_lock_released();
    }
}

void database::append(std::uint32_t term, change_set changes, core::time_point now) {
    const std::uint64_t end = durable_position() + record_size(changes);
    m_log.push_back(std::make_shared<const wal_record>(wal_record{term, end, now, std::move(changes)}));
    apply(*m_log.back());
    m_applied = m_log.size();
}

void database::apply(const wal_record& record) {
    for (const auto& [key, value] : record.m_changes) {
        auto& table = m_tables[key.m_table];
        if (value) {
            table[key.m_id] = *value;
        }
    }
}

bool database::streams_from(const database* upstream) const {
    if (upstream == nullptr || !m_in_recovery || !reachable_from(*upstream)) {
        return false;
    }
    const auto& theirs = upstream->m_log;
    return m_log.empty() || (m_log.size() <= theirs.size() && theirs.at(m_log.size() - 1) == m_log.back());
}

std::optional<core::time_point> database::advance(const database* upstream, core::time_point now) {
    std::optional<core::time_point> next;
    const auto due_later = [&next](core::time_point at) { next = next ? std::min(*next, at) : at; };
    if (!m_in_recovery || m_faults.m_crashed || m_faults.m_frozen) {
        return next;
    }
    if (streams_from(upstream)) {
        while (m_log.size() < upstream->m_log.size()) {
            const auto& record = upstream->m_log[m_log.size()];
            if (record->m_committed_at + m_layout.m_timing.m_receive_delay > now) {
                due_later(record->m_committed_at + m_layout.m_timing.m_receive_delay);
                break;
            }
            m_log.push_back(record);
        }
    }
    for (; m_applied < m_log.size(); ++m_applied) {
        const wal_record& record = *m_log[m_applied];
        if (record.m_committed_at + m_layout.m_timing.m_apply_delay > now) {
            due_later(record.m_committed_at + m_layout.m_timing.m_apply_delay);
            break;
        }
        apply(record);
    }
    return next;
}

void database::promote(core::time_point now) {
    for (; m_applied < m_log.size(); ++m_applied) {
        apply(*m_log[m_applied]);
    }
    m_in_recovery = false;
    append(durable_term() + 1, {}, now);
}

void database::rewind_to(const database& source) {
    m_log = source.m_log;
    m_tables = source.m_tables;
    m_applied = source.m_applied;
    m_in_recovery = true;
    m_pending_conninfo.reset();
}

void database::crash() {
    m_faults.m_crashed = true;
    m_faults.m_frozen = false;
    m_locks.clear();
    m_owner_lock = nullptr;
    m_pending_conninfo.reset();
}

std::uint64_t database::position(std::size_t records) const {
    return records == 0 ? first_position : m_log[records - 1]->m_end;
}

std::uint32_t database::term(std::size_t records) const {
    return records == 0 ? 1 : m_log[records - 1]->m_term;
}

} // namespace mangoquay::standin
