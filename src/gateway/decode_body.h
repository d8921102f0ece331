// Runs a decoder on a JSON body and joins its errors into one reason.
#pragma once

#include "core/json_reader.h"
#include "core/result.h"

#include <string>
#include <string_view>
#include <vector>

namespace mangoquay::gateway {

// An empty body is decoded like {}. `decode` receives a reader of the body's object and the list of errors.
// The reason of a failure has one line per error.
template <class Value, class Decode>
core::result<Value> decode_body(std::string_view body, const Decode& decode) {
    std::vector<core::json_error> errors;
    const auto document = core::parse_json(body.empty() ? std::string_view("{}") : body, errors);
    Value decoded{};
    if (document.has_value()) {
        core::json_reader reader(*document, "", errors);
        decoded = decode(reader, errors);
        reader.reject_unknown_members();
    }
    if (errors.empty()) {
        return decoded;
    }
    std::string reason;
    for (const core::json_error& error : errors) {
        reason += (reason.empty() ? "" : "\n") + core::to_string(error);
    }
    return core::result<Value>::failure(reason);
}

} // namespace mangoquay::gateway
