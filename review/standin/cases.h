// The cases that are put as scripts. `trouble` is false when the disruption is left out.
#pragma once

namespace cases {

int planned_replacement(bool trouble);
int replaced_control_host(bool trouble);
int busy_transaction_at_stop(bool trouble);

} // namespace cases
