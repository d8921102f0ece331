// Conversion of shares to and from their messages.
#include "fleet/quota_messages.h"

#include <cmath>

namespace mangoquay::fleet {
namespace {

bool is_amount(double value) {
    return std::isfinite(value) && value >= 0.0;
}

bool is_valid(const quotas::share& share) {
    return is_amount(share.m_rate_per_s) && is_amount(share.m_capacity);
}

} // namespace

wire::quota_requestT to_wire(const quotas::quota_request& request) {
    wire::quota_requestT message;
    message.incarnation = request.m_incarnation.value();
    message.number = request.m_number.value();
    message.applied = request.m_applied.value();
    message.partial = request.m_partial;
    message.applied_term = request.m_applied_term.value();
    for (const quotas::customer_demand& demand : request.m_customers) {
        auto item = std::make_unique<wire::quota_demandT>();
        item->customer = demand.m_customer.value();
        item->rate = demand.m_held.m_rate_per_s;
        item->capacity = demand.m_held.m_capacity;
        item->arrivals = static_cast<float>(demand.m_arrivals_per_s);
        item->sessions = demand.m_sessions;
        item->waiting = demand.m_waiting;
        item->returned_tokens = demand.m_returned_tokens;
        item->applied = demand.m_applied.value_or(request.m_applied).value();
        message.customers.push_back(std::move(item));
    }
    return message;
}

std::optional<quotas::quota_request> from_wire(const wire::quota_requestT& message) {
    quotas::quota_request request;
    request.m_incarnation = core::incarnation(message.incarnation);
    request.m_number = quotas::request_number(message.number);
    request.m_applied = quotas::request_number(message.applied);
    request.m_partial = message.partial;
    request.m_applied_term = quotas::granter_term(message.applied_term);
    for (const auto& item : message.customers) {
        quotas::customer_demand demand{core::customer_name(item->customer),
                                       {item->rate, item->capacity},
                                       item->arrivals,
                                       item->sessions,
                                       item->waiting,
                                       item->returned_tokens,
                                       quotas::request_number(item->applied)};
        if (!is_valid(demand.m_held) || !is_amount(demand.m_returned_tokens) ||
            !is_amount(demand.m_arrivals_per_s)) {
            return std::nullopt;
        }
        request.m_customers.push_back(std::move(demand));
    }
    return request;
}

wire::quota_grantT to_wire(const quotas::quota_grant& grant) {
    wire::quota_grantT message;
    message.incarnation = grant.m_incarnation.value();
    message.number = grant.m_number.value();
    message.term = grant.m_term.value();
    message.confirm = grant.m_confirm;
    for (const quotas::granted_share& share : grant.m_shares) {
        auto item = std::make_unique<wire::quota_shareT>();
        item->customer = share.m_customer.value();
        item->rate = share.m_share.m_rate_per_s;
        item->capacity = share.m_share.m_capacity;
        item->tokens = share.m_tokens;
        item->limit_rate = share.m_limit.m_rate_per_s;
        item->limit_burst = share.m_limit.m_burst;
        message.shares.push_back(std::move(item));
    }
    return message;
}

std::optional<quotas::quota_grant> from_wire(const wire::quota_grantT& message) {
    quotas::quota_grant grant;
    grant.m_incarnation = core::incarnation(message.incarnation);
    grant.m_number = quotas::request_number(message.number);
    grant.m_term = quotas::granter_term(message.term);
    grant.m_confirm = message.confirm;
    for (const auto& item : message.shares) {
        quotas::granted_share share{core::customer_name(item->customer),
                                    {item->rate, item->capacity},
                                    item->tokens,
                                    {item->limit_rate, item->limit_burst}};
        if (!is_valid(share.m_share) || !is_amount(share.m_tokens) || !is_amount(item->limit_rate) ||
            !is_amount(item->limit_burst)) {
            return std::nullopt;
        }
        grant.m_shares.push_back(std::move(share));
    }
    return grant;
}

} // namespace mangoquay::fleet
