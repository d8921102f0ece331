// Registry of open transactions at the entry proxy: the endpoint, owner and owner epoch that hold each of
// them.
//
// Decides: whether a step may be sent. Owns: the transactions that callers began through this entry host.
// Invariant: a transaction that failed or was lost never runs another step. Time is passed in.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/verdict.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace mangoquay::transactions {

// A transaction holds a slot and locks, so it is rolled back after this total duration or idle time.
inline constexpr core::milliseconds max_transaction_duration{60000};
inline constexpr core::milliseconds max_idle_time{15000};
// Number of failed transactions that are remembered, so that they can be distinguished from unknown ones.
inline constexpr std::size_t max_remembered_failures = 4096;

struct open_transaction {
    core::caller_id m_caller;
    core::service_name m_service;
    core::group_id m_group;
    core::endpoint_id m_endpoint;
    core::entry_host_id m_owner;
    core::owner_epoch m_epoch;
    core::deadline m_expires;        // End of the maximum duration of the transaction.
    core::deadline m_idle_expires;   // End of the maximum idle time since the last step.
    bool m_step_in_progress = false; // A step is at the owner.
};

// Result of begin_step: either the transaction, or the reason why the step is refused.
struct step_admission {
    const open_transaction* m_transaction = nullptr;
    core::reason m_refusal = core::reason::none;
    std::string m_message;
};

class transaction_registry {
public:
    transaction_registry(core::entry_host_id self, core::incarnation incarnation);

    // Returns `<entry host>~<incarnation>~<number>`. Host ids contain no '~', and it needs no escaping in a
    // URL.
    core::transaction_id next_id();
    void add(const core::transaction_id& id, open_transaction transaction, core::time_point now);

    // Admits one step at a time. The caller and service must be those of the begin. The returned pointer is
    // valid until the next change of the registry.
    step_admission begin_step(const core::transaction_id& id, const core::caller_id& caller,
                              const core::service_name& service, core::time_point now);
    void on_step_succeeded(const core::transaction_id& id, core::time_point now);
    void remove(const core::transaction_id& id);
    // All later steps of the transaction are refused with transaction_failed.
    void mark_failed(const core::transaction_id& id);
    // Marks the transactions at that owner as failed. The owner rolls them back itself when the connection is
    // lost.
    void on_owner_connection_lost(const core::entry_host_id& owner);

    // Transactions that exceeded their idle time or duration. expire() marks them as failed, and its caller
    // rolls them back.
    struct expired_transaction {
        core::transaction_id m_id;
        open_transaction m_transaction;
    };
    std::vector<expired_transaction> expire(core::time_point now);
    // Earliest time at which a transaction expires.
    [[nodiscard]] std::optional<core::time_point> next_expiry() const;

    [[nodiscard]] const open_transaction* find(const core::transaction_id& id) const;
    [[nodiscard]] std::size_t size() const { return m_open.size(); }

private:
    core::entry_host_id m_self;
    core::incarnation m_incarnation;
    std::uint64_t m_next_number = 1;
    std::unordered_map<core::transaction_id, open_transaction> m_open;
    std::unordered_set<core::transaction_id> m_failed;
    std::deque<core::transaction_id> m_failure_order; // Oldest first. Limits the size of m_failed.
};

// Returns the entry host in a transaction id; nothing if the text is not a transaction id.
std::optional<core::entry_host_id> entry_host_of(const core::transaction_id& id);

} // namespace mangoquay::transactions
