// Keeps the primary lease of an entry host renewed.
//
// Asks the control host whose grant arrived last, and all known ones and some entry hosts while none answers.
// Hosts that do not lead pass the request on: a partition may separate this host from the leader only, or
// from all control hosts. This host does the same for others. Owns the lease holder. Runs on the event loop's
// thread.
#pragma once

#include "fleet/update_subscriber.h"
#include "primary_leases/lease_holder.h"

namespace mangoquay::fleet {

class lease_renewal {
public:
    // `changed` is called after each change of the list or of the end of the lease.
    lease_renewal(transport::event_loop& loop, transport::message_bus& bus,
                  const update_subscriber& subscriber, core::entry_host_id self,
                  std::function<void()> changed);

    // Starts the periodic renewal; does nothing if it runs already.
    void start();
    [[nodiscard]] const primary_leases::lease_holder& holder() const { return m_holder; }

private:
    void tick();
    void request_lease();
    // Entry hosts that are asked to pass a request on; others at each call.
    std::vector<core::entry_host_id> choose_helpers();
    void pass_request_on(const core::entry_host_id& from, const wire::primary_lease_requestT& request);
    void on_grant_received(const core::entry_host_id& from, const wire::primary_lease_grantT& message);

    transport::event_loop& m_loop;
    transport::message_bus& m_bus;
    const update_subscriber& m_subscriber;
    core::entry_host_id m_self;
    std::function<void()> m_changed;
    primary_leases::lease_holder m_holder;
    core::entry_host_id m_granting_host;   // The latest grant came from it.
    core::deadline m_granting_host_silent; // Others are asked as well from then on.
    std::size_t m_helper_rotation = 0;
    bool m_running = false;
    bool m_had_lease = false;
};

} // namespace mangoquay::fleet
