// The entry side's record of open transactions: which endpoint, owner and epoch hold each of them.
//
// Decides: whether a step may go on. Owns: the transactions that callers began through this entry host. A
// transaction that failed or was lost never runs another step. Time is passed in.
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

// A transaction holds a slot and locks, so one that its caller has left is rolled back.
inline constexpr core::milliseconds max_transaction_duration{60000};
inline constexpr core::milliseconds max_idle_time{15000};
// Failed transactions that are still told from unknown ones.
inline constexpr std::size_t max_remembered_failures = 4096;

struct open_transaction {
    core::caller_id m_caller;
    core::service_name m_service;
    core::group_id m_group;
    core::endpoint_id m_endpoint;
    core::entry_host_id m_owner;
    core::owner_epoch m_epoch;
    core::deadline m_expires;      // of the whole transaction
    core::deadline m_idle_expires; // of the present pause between two steps
    bool m_step_in_progress = false;        // a step is at the owner
};

// Either the transaction, or why the step is not run.
struct step_admission {
    const open_transaction* m_transaction = nullptr;
    core::reason m_refusal = core::reason::none;
    std::string m_message;
};

class transaction_registry {
public:
    transaction_registry(core::entry_host_id self, core::incarnation incarnation);

    // `<entry host>~<incarnation>~<number>`; '~' is in no host id and needs no escape in a URL.
    core::transaction_id next_id();
    void add(const core::transaction_id& id, open_transaction transaction, core::time_point now);

    // Admits one step at a time. The caller and service must be those of the begin.
    step_admission begin_step(const core::transaction_id& id, const core::caller_id& caller,
                              const core::service_name& service, core::time_point now);
    void on_step_succeeded(const core::transaction_id& id, core::time_point now);
    void remove(const core::transaction_id& id);
    // All later steps get transaction_failed.
    void mark_failed(const core::transaction_id& id);
    // Fails what that owner held; its own rollback follows from the lost link.
    void on_owner_connection_lost(const core::entry_host_id& owner);

    // Idle or overlong transactions, failed by this call; the caller of expire() rolls them back.
    struct expired_transaction {
        core::transaction_id m_id;
        open_transaction m_transaction;
    };
    std::vector<expired_transaction> expire(core::time_point now);
    // When expire() is next due.
    [[nodiscard]] std::optional<core::time_point> next_expiry() const;

    [[nodiscard]] const open_transaction* find(const core::transaction_id& id) const;
    [[nodiscard]] std::size_t size() const { return m_open.size(); }

private:
    core::entry_host_id m_self;
    core::incarnation m_incarnation;
    std::uint64_t m_next_number = 1;
    std::unordered_map<core::transaction_id, open_transaction> m_open;
    std::unordered_set<core::transaction_id> m_failed;
    std::deque<core::transaction_id> m_failure_order; // oldest first; bounds m_failed
};

// The entry host in a transaction id; nothing when the text is no transaction id.
std::optional<core::entry_host_id> entry_host_of(const core::transaction_id& id);

} // namespace mangoquay::transactions
