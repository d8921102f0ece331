// Names of refusals, and which of them guarantee that the statement did not run.
#include "relay/statement.h"

namespace mangoquay::relay {

bool guarantees_not_run(refusal reason) {
    switch (reason) {
    case refusal::busy:
    case refusal::aborted:
    case refusal::lagging:
    case refusal::read_only:
    case refusal::wrong_endpoint:
    case refusal::too_many_connections:
    case refusal::unknown_statement:
        return true;
    default:
        return false;
    }
}

const char* to_string(refusal reason) {
    switch (reason) {
    case refusal::busy:
        return "busy";
    case refusal::aborted:
        return "aborted";
    case refusal::lagging:
        return "lagging";
    case refusal::read_only:
        return "read_only";
    case refusal::wrong_endpoint:
        return "wrong_endpoint";
    case refusal::too_many_connections:
        return "too_many_connections";
    case refusal::in_doubt:
        return "in_doubt";
    case refusal::timed_out:
        return "timed_out";
    case refusal::failed:
        return "failed";
    case refusal::unknown_statement:
        return "unknown_statement";
    case refusal::unknown_database:
        return "unknown_database";
    case refusal::malformed:
        return "malformed";
    case refusal::unauthorized:
        return "unauthorized";
    }
    return "unknown";
}

} // namespace mangoquay::relay
