// Shares of the time limit.
#include "entry/drain_schedule.h"

#include <algorithm>

namespace mangoquay::entry {
namespace {

// The load balancer queries readiness every second and removes a host after two failures.
constexpr core::milliseconds balancer_detection_time{2300};
// A host that ends and starts again within the time in which the balancer removes it stays in rotation:
// callers are sent to it while it starts. The platform counts it as one that did not stop.
constexpr core::milliseconds min_stop_time{4300};

} // namespace

drain_schedule make_drain_schedule(core::time_point now, core::milliseconds limit) {
    return {core::deadline_after(now, std::min<core::milliseconds>(balancer_detection_time, limit / 2)),
            core::deadline_after(now, limit * 55 / 100),
            core::deadline_after(now, std::min<core::milliseconds>(min_stop_time, limit * 80 / 100)),
            core::deadline_after(now, limit * 85 / 100)};
}

} // namespace mangoquay::entry
