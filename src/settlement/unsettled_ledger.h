// The owner's ledger of writes that carry a business day and whose outcome is not final yet.
//
// Decides: whether a write of a day may start and whether it may be acknowledged. Owns the open writes of
// this process; nothing survives a restart, because the next owner ends all sessions of this one first.
#pragma once

#include "control/control_state.h"
#include "membership/reports.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mangoquay::settlement {

enum class write_ticket : std::uint64_t {};

class unsettled_ledger {
public:
    // Nothing: the day is closed in this proxy's view (reason day_closed). Called right before dispatch.
    std::optional<write_ticket> begin_write(const control::control_state& view, const control::day_key& key,
                                      const core::endpoint_id& endpoint, core::owner_epoch epoch);

    // Called right before `ran` is sent. False: the day was settled without this write, or the endpoint has
    // been taken over since the dispatch; the answer is then may_have_run.
    [[nodiscard]] bool may_acknowledge(const control::control_state& view, write_ticket ticket) const;

    // The write has its final outcome: it was acknowledged, refused, or its session is known to have ended at
    // the endpoint. A write whose connection was lost stays open until its session has ended there.
    void end_write(write_ticket ticket);
    // Sessions of all open writes at the endpoint have ended.
    void end_all_at(const core::endpoint_id& endpoint);

    // For the heartbeat.
    [[nodiscard]] std::vector<membership::unsettled_day> unsettled_days() const;

private:
    struct open_write {
        control::day_key m_key;
        core::endpoint_id m_endpoint;
        core::owner_epoch m_epoch;
    };

    std::uint64_t m_last_ticket = 0;
    std::map<write_ticket, open_write> m_open;
};

} // namespace mangoquay::settlement
