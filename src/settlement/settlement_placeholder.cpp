// Days are not settled yet in this build: closings stay open and export reads get day_not_settled.
#include "settlement/settlement_core.h"

namespace mangoquay::settlement {

void settlement_core::elected() {}

void settlement_core::on_heartbeat(const membership::heartbeat&) {}

void settlement_core::on_reading(const control::control_state&, const failover::step_answer&) {}

actions settlement_core::tick(core::time_point, const control::control_state&, membership::lease_table&) {
    return {};
}

} // namespace mangoquay::settlement
