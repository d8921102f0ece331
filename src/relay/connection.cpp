// Names of the steps of a connection, for the log.
#include "relay/connection.h"

namespace mangoquay::relay {

const char* to_string(request_step step) {
    switch (step) {
    case request_step::prepare:
        return "prepare";
    case request_step::begin:
        return "begin";
    case request_step::begin_read_only:
        return "begin_read_only";
    case request_step::statement:
        return "statement";
    case request_step::rollback:
        return "rollback";
    case request_step::reset:
        return "reset";
    case request_step::probe:
        return "probe";
    }
    return "unknown";
}

} // namespace mangoquay::relay
