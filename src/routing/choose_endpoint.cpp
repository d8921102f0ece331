// Endpoint selection.
#include "routing/choose_endpoint.h"

#include <algorithm>
#include <array>
#include <vector>

namespace mangoquay::routing {
namespace {

constexpr std::array reason_names{
    "write_to_primary", "position_reached",        "position_expected",  "age_allowed", "settled_day",
    "primary_no_token", "primary_replicas_behind", "primary_no_replica", "refused",
};
static_assert(reason_names.size() == static_cast<std::size_t>(route_reason::refused) + 1);

struct candidate {
    const core::endpoint_id* m_id = nullptr;
    const control::endpoint_record* m_record = nullptr;
    const endpoint_hints* m_hints = nullptr; // Null if there are none.
    double m_cost = 0;          // Load plus the cost of another zone, in outstanding requests per slot.
    std::uint64_t m_spread = 0; // Tie-breaker.
};

// Inputs of a decision and the records that are looked up once for it.
struct route_context {
    const control::control_state& m_state;
    const position_table& m_positions;
    const route_request& m_request;
    core::time_point m_now;
    const route_rules& m_rules;
    const control::group_record& m_group;
    const control::preset_record* m_preset = nullptr;
    std::optional<core::history_position> m_min_position; // For replicas: not below the start of the term.
};

route_decision refuse(core::reason reason) {
    route_decision decision;
    decision.m_refusal = reason;
    return decision;
}

const control::preset_record* preset_of(const control::control_state& state,
                                        const core::service_name& service) {
    const auto found = state.m_services.find(service);
    if (found == state.m_services.end()) {
        return nullptr;
    }
    const auto preset = state.m_presets.find(found->second.m_preset);
    return preset == state.m_presets.end() ? nullptr : &preset->second;
}

// Returns the position at which the current term begins. A replica below it may hold writes that the
// promotion discarded. While a promotion is in progress, returns the start of the previous term: the new term
// has no primary yet, and replicas go on serving the data that they have.
core::history_position start_of_term(const control::group_record& group) {
    auto fork = group.m_fork_positions.upper_bound(group.m_term);
    if (group.m_promotion_in_progress) {
        fork = group.m_fork_positions.lower_bound(group.m_term);
    }
    if (fork == group.m_fork_positions.begin()) {
        return {group.m_promotion_in_progress ? core::term{} : group.m_term, core::log_position{}};
    }
    const core::history_position start{std::prev(fork)->first, std::prev(fork)->second};
    const bool fork_unknown = !group.m_promotion_in_progress && start.m_term < group.m_term;
    return fork_unknown ? core::history_position{group.m_term, core::log_position{}} : start;
}

std::optional<core::history_position> min_position(const control::group_record& group,
                                                   const route_request& request, const route_rules& rules) {
    if (!rules.m_refuse_old_terms) {
        return request.m_min_position;
    }
    const core::history_position start = start_of_term(group);
    return request.m_min_position.has_value() ? std::max(start, *request.m_min_position) : start;
}

bool is_leaving(const route_context& context, const core::endpoint_id& id,
                const control::endpoint_record& record) {
    const bool drained = context.m_preset != nullptr && context.m_preset->m_drained_endpoints.contains(id);
    return context.m_rules.m_exclude_leaving && (record.m_leaving || drained);
}

bool has_owner(const route_context& context, const control::endpoint_record& record) {
    return !record.m_owner.value().empty() && context.m_state.m_proxies.contains(record.m_owner);
}

bool is_usable(const route_context& context, const candidate& replica) {
    const control::endpoint_record& record = *replica.m_record;
    const bool failed =
        (replica.m_hints != nullptr && replica.m_hints->m_failure.is_suspect(context.m_now)) ||
        context.m_positions.is_owner_suspect(record.m_owner, context.m_now);
    return record.m_role == control::endpoint_role::replica && has_owner(context, record) && !failed &&
           !is_leaving(context, *replica.m_id, record) &&
           !context.m_request.m_excluded.contains(*replica.m_id);
}

std::uint64_t mix_bits(std::uint64_t value) {
    value = (value ^ (value >> 33U)) * 0xff51afd7ed558ccdULL;
    value = (value ^ (value >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

std::vector<candidate> usable_replicas(const route_context& context) {
    std::vector<candidate> usable;
    std::uint64_t ordinal = 0;
    for (const core::endpoint_id& id : context.m_group.m_members) {
        ++ordinal;
        const auto found = context.m_state.m_endpoints.find(id);
        if (found == context.m_state.m_endpoints.end()) {
            continue;
        }
        candidate each{&id, &found->second, context.m_positions.find(id), 0,
                       mix_bits(context.m_request.m_random + ordinal)};
        if (!is_usable(context, each)) {
            continue;
        }
        const double slots = std::max(1U, found->second.m_slots);
        const bool same_zone = found->second.m_zone == context.m_request.m_zone;
        each.m_cost = (same_zone ? 0 : remote_zone_cost) +
                      (each.m_hints == nullptr ? 0 : each.m_hints->m_outstanding / slots);
        usable.push_back(each);
    }
    return usable;
}

template <class Predicate>
const candidate* cheapest(const std::vector<candidate>& candidates, const Predicate& allowed) {
    const candidate* best = nullptr;
    for (const candidate& each : candidates) {
        const bool better = best == nullptr || each.m_cost < best->m_cost ||
                            (each.m_cost == best->m_cost && each.m_spread < best->m_spread);
        if (allowed(each) && better) {
            best = &each;
        }
    }
    return best;
}

route_decision send_to(const core::endpoint_id& id, const control::endpoint_record& record,
                       route_reason reason) {
    route_decision decision;
    decision.m_endpoint = id;
    decision.m_owner = record.m_owner;
    decision.m_epoch = record.m_owner_epoch;
    decision.m_replica = record.m_role == control::endpoint_role::replica;
    decision.m_reason = reason;
    return decision;
}

route_decision send_to_replica(const route_context& context, const candidate& chosen, route_reason reason,
                               core::milliseconds wait) {
    route_decision decision = send_to(*chosen.m_id, *chosen.m_record, reason);
    decision.m_min_position = context.m_min_position;
    decision.m_position_wait = wait;
    return decision;
}

route_decision send_to_primary(const route_context& context, route_reason reason) {
    const control::group_record& group = context.m_group;
    if (context.m_rules.m_require_current && !context.m_request.m_view_current) {
        return refuse(core::reason::control_not_current);
    }
    const auto found = context.m_state.m_endpoints.find(group.m_primary);
    if (group.m_promotion_in_progress || group.m_primary.value().empty() ||
        found == context.m_state.m_endpoints.end() ||
        found->second.m_role != control::endpoint_role::primary) {
        return refuse(core::reason::no_primary);
    }
    // The session has seen a later term than this view, so the primary of this view has been replaced.
    const auto& required = context.m_request.m_min_position;
    if (context.m_rules.m_refuse_old_terms && required.has_value() && required->m_term > group.m_term) {
        return refuse(core::reason::control_not_current);
    }
    if (is_leaving(context, found->first, found->second)) {
        return refuse(core::reason::endpoint_leaving);
    }
    if (!has_owner(context, found->second)) {
        return refuse(core::reason::owner_unreachable);
    }
    if (context.m_request.m_excluded.contains(found->first)) {
        return refuse(core::reason::no_eligible_endpoint);
    }
    return send_to(found->first, found->second, reason);
}

bool reached(const route_context& context, const candidate& replica) {
    const auto& required = context.m_min_position;
    if (!required.has_value() || replica.m_hints == nullptr || !replica.m_hints->m_position.has_value()) {
        return false;
    }
    return !context.m_rules.m_check_position || *replica.m_hints->m_position >= *required;
}

bool not_behind(const route_context& context, const candidate& replica) {
    return replica.m_hints == nullptr || replica.m_hints->m_behind_until.passed(context.m_now);
}

// Returns `limit`, but at most half of the remaining time, so that a retry at the primary is still possible.
core::milliseconds bounded_wait(const route_context& context, core::milliseconds limit) {
    const auto remaining =
        std::chrono::duration_cast<core::milliseconds>(context.m_request.m_deadline.remaining(context.m_now));
    return std::min(limit, remaining / 2);
}

route_decision route_by_position(const route_context& context, const std::vector<candidate>& replicas,
                                 route_reason when_reached, core::milliseconds max_wait) {
    const auto is_reached = [&context](const candidate& each) { return reached(context, each); };
    const auto may_reach = [&context](const candidate& each) { return not_behind(context, each); };
    const candidate* chosen = cheapest(replicas, is_reached);
    if (chosen != nullptr) {
        return send_to_replica(context, *chosen, when_reached, core::milliseconds{0});
    }
    chosen = cheapest(replicas, may_reach);
    const core::milliseconds wait = bounded_wait(context, max_wait);
    if (chosen != nullptr && wait.count() > 0) {
        return send_to_replica(context, *chosen, route_reason::position_expected, wait);
    }
    return send_to_primary(context, replicas.empty() ? route_reason::primary_no_replica
                                                     : route_reason::primary_replicas_behind);
}

// The owner verifies the data age. A replica that recently failed this check is skipped.
route_decision route_by_age(const route_context& context, const std::vector<candidate>& replicas) {
    const auto may_prove = [&context](const candidate& each) { return not_behind(context, each); };
    const candidate* chosen = cheapest(replicas, may_prove);
    if (chosen != nullptr) {
        return send_to_replica(context, *chosen, route_reason::age_allowed, core::milliseconds{0});
    }
    return send_to_primary(context, replicas.empty() ? route_reason::primary_no_replica
                                                     : route_reason::primary_replicas_behind);
}

route_decision route_read(const route_context& context) {
    const route_request& request = context.m_request;
    const std::vector<candidate> replicas = usable_replicas(context);
    const auto decide = [&]() {
        if (request.m_purpose == request_purpose::export_read) {
            return route_by_position(context, replicas, route_reason::settled_day, max_export_wait);
        }
        if (request.m_min_position.has_value()) {
            return route_by_position(context, replicas, route_reason::position_reached, max_position_wait);
        }
        if (request.m_max_age.has_value()) {
            return route_by_age(context, replicas);
        }
        return send_to_primary(context, route_reason::primary_no_token);
    };
    route_decision decision = decide();
    decision.m_replica_eligible = !replicas.empty();
    return decision;
}

} // namespace

std::string_view to_string(route_reason value) {
    return reason_names.at(static_cast<std::size_t>(value));
}

std::string describe(const route_decision& decision) {
    if (decision.refused()) {
        return "reason=" + std::string(core::to_string(decision.m_refusal));
    }
    return "endpoint=" + decision.m_endpoint.value() + " owner=" + decision.m_owner.value() +
           " reason=" + std::string(to_string(decision.m_reason)) +
           " wait_ms=" + std::to_string(decision.m_position_wait.count());
}

route_decision choose_endpoint(const control::control_state& state, const position_table& positions,
                               const route_request& request, core::time_point now, const route_rules& rules) {
    const auto group = state.m_groups.find(request.m_group);
    if (group == state.m_groups.end()) {
        return refuse(request.m_view_current ? core::reason::unknown_group
                                             : core::reason::control_not_current);
    }
    const route_context context{state,
                                positions,
                                request,
                                now,
                                rules,
                                group->second,
                                preset_of(state, request.m_service),
                                min_position(group->second, request, rules)};
    if (request.m_purpose != request_purpose::write) {
        return route_read(context);
    }
    if (rules.m_require_current && request.m_view_current && !request.m_lease_valid) {
        return refuse(core::reason::lease_lapsed);
    }
    return send_to_primary(context, route_reason::write_to_primary);
}

const core::group_id& group_of_key(const control::service_record& service, std::string_view key) {
    // 64-bit FNV-1a. std::hash is not used because its result differs between standard libraries.
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char byte : key) {
        hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3ULL;
    }
    return service.m_groups.at(mix_bits(hash) % service.m_groups.size());
}

} // namespace mangoquay::routing
