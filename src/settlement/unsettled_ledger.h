// Writes of an owner that belong to a business day and whose outcome is not final yet.
//
// Decides: whether a write of a day may start and whether it may be acknowledged. Owns: the open writes of
// this process. Nothing is persisted, because after a restart the next owner first ends all sessions of this
// one.
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
    // Registers a write; called right before it is dispatched. Returns nothing if the day is closed in this
    // proxy's view; the write is then refused with day_closed.
    std::optional<write_ticket> begin_write(const control::control_state& view, const control::day_key& key,
                                            const core::endpoint_id& endpoint, core::owner_epoch epoch);

    // Called right before `ran` is sent. Returns false if the day was settled without this write, or if the
    // endpoint has been assigned under another epoch since the dispatch. The answer must then be
    // may_have_run.
    [[nodiscard]] bool may_acknowledge(const control::control_state& view, write_ticket ticket) const;

    // Removes a write whose outcome is final: it was acknowledged or refused, or its session at the endpoint
    // is known to have ended. A write whose connection was lost stays open until its session has ended at the
    // endpoint.
    void end_write(write_ticket ticket);
    // Removes all open writes at the endpoint. Called when all their sessions have ended there.
    void end_all_at(const core::endpoint_id& endpoint);

    // Number of open writes per business day, for the heartbeat.
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
