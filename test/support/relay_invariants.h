// Checks the invariants of sessions, connections and endpoint views of a relay core.
#pragma once

#include "relay/relay_core.h"

#include <string>

namespace mangoquay::test {

class relay_invariants {
public:
    // Description of an invariant that does not hold; empty if all hold.
    static std::string violated(const relay::relay_core& core);

private:
    static std::string violated_by_session(const relay::relay_core& core, relay::session_id id,
                                           const relay::session& caller);
    static std::string violated_by_connection(const relay::relay_core& core, relay::connection_id id,
                                              const relay::connection& conn);
    static std::string violated_by_counts(const relay::relay_core& core);
};

} // namespace mangoquay::test
