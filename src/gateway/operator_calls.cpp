// Handlers of the operator calls.
#include "gateway/api_handlers.h"

#include "gateway/body_decoding.h"

namespace mangoquay::gateway {
namespace {

api_response response_of(const operator_outcome& outcome) {
    const control::command_outcome& change = outcome.m_outcome;
    // If the replicated state refused the change, the reason is a text in the command's outcome.
    const core::reason reason =
        outcome.m_reason != core::reason::none || change.m_reason.empty()
            ? outcome.m_reason
            : core::parse_reason(change.m_reason).value_or(core::reason::invalid_change);
    api_response response;
    response.m_status = http_status(outcome.m_verdict, reason);
    response.m_json = {{"verdict", core::to_string(outcome.m_verdict)},
                       {"reason", core::to_string(reason)},
                       {"accepted", change.m_accepted},
                       {"revision", change.m_revision.value()},
                       {"message", change.m_message}};
    return response;
}

// Passes the decoded body to `submit` and converts the outcome to a response.
template <class Decoded, class Submit>
api_response submit_decoded(core::result<Decoded> decoded, const Submit& submit) {
    if (!decoded) {
        return refusal_response(core::reason::malformed_request, decoded.reason());
    }
    return response_of(submit(*decoded));
}

} // namespace

api_response put_service(const api_call& call) {
    return submit_decoded(decode_put_service(call.m_request.m_body), [&call](control::put_service& change) {
        change.m_service = core::service_name(call.m_path_ids.front());
        return call.m_backend.submit(change);
    });
}

api_response put_preset(const api_call& call) {
    return submit_decoded(decode_put_preset(call.m_request.m_body), [&call](control::put_preset& change) {
        change.m_preset = core::preset_name(call.m_path_ids.front());
        return call.m_backend.submit(change);
    });
}

api_response select_preset(const api_call& call) {
    return submit_decoded(decode_select_preset(call.m_request.m_body),
                          [&call](control::select_preset& change) {
                              change.m_service = core::service_name(call.m_path_ids.front());
                              return call.m_backend.submit(change);
                          });
}

api_response close_day(const api_call& call) {
    if (!is_business_day(call.m_path_ids.back())) {
        return refusal_response(core::reason::malformed_request, "not a date: " + call.m_path_ids.back());
    }
    return submit_decoded(decode_request_id(call.m_request.m_body), [&call](core::request_id& request) {
        control::close_day change;
        change.m_request_id = request;
        change.m_key = {core::service_name(call.m_path_ids.front()),
                        core::business_day(call.m_path_ids.back())};
        return call.m_backend.submit(change);
    });
}

api_response announce_endpoint(const api_call& call) {
    return submit_decoded(decode_announcement(call.m_request.m_body),
                          [&call](control::announce_endpoint& announced) {
                              announced.m_endpoint = core::endpoint_id(call.m_path_ids.front());
                              return call.m_backend.announce(announced);
                          });
}

api_response drain_endpoint(const api_call& call) {
    return submit_decoded(decode_drain(call.m_request.m_body), [&call](control::drain_endpoint& change) {
        change.m_endpoint = core::endpoint_id(call.m_path_ids.front());
        return call.m_backend.drain(change);
    });
}

api_response hand_over(const api_call& call) {
    return submit_decoded(decode_hand_over(call.m_request.m_body), [&call](const core::endpoint_id& target) {
        return call.m_backend.hand_over(core::group_id(call.m_path_ids.front()), target);
    });
}

api_response replace_control_host(const api_call& call) {
    return submit_decoded(
        decode_replacement(call.m_request.m_body), [&call](const control_host_replacement& replacement) {
            return call.m_backend.replace_control_host(core::entry_host_id(call.m_path_ids.front()),
                                                       replacement.m_host, replacement.m_peer_address);
        });
}

api_response block_peers(const api_call& call) {
    const auto peers = decode_blocked_peers(call.m_request.m_body);
    if (!peers) {
        return refusal_response(core::reason::malformed_request, peers.reason());
    }
    call.m_backend.set_blocked_peers(*peers);
    api_response response;
    response.m_json = {{"verdict", "ran"}, {"reason", "none"}};
    return response;
}

api_response show_status(const api_call& call) {
    api_response response;
    response.m_json = call.m_backend.status();
    response.m_json["verdict"] = "ran";
    response.m_json["reason"] = "none";
    return response;
}

api_response show_metrics(const api_call& call) {
    api_response response;
    response.m_text = call.m_backend.metrics_page();
    return response;
}

} // namespace mangoquay::gateway
