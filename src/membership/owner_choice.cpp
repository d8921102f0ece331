// Assigns endpoints to proxies and balances the load within a zone.
#include "membership/owner_choice.h"

#include <algorithm>
#include <optional>

namespace mangoquay::membership {
namespace {

using core::endpoint_id;
using core::entry_host_id;
using host_set = std::set<entry_host_id>;

constexpr std::uint64_t fnv_offset = 14695981039346656037ULL;
constexpr std::uint64_t fnv_prime = 1099511628211ULL;

std::uint64_t hash_text(std::uint64_t hash, const std::string& text) {
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * fnv_prime;
    }
    return (hash ^ 0xffU) * fnv_prime; // Separator, so that "a" + "bc" and "ab" + "c" have different hashes.
}

// With FNV alone, similar names have similar high bits. This finalizer distributes them.
std::uint64_t mix_bits(std::uint64_t hash) {
    hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31U);
}

class owner_chooser {
public:
    owner_chooser(const control::control_state& state, const owner_inputs& inputs)
        : m_state(state), m_inputs(inputs) {
        for (const entry_host_id& host : inputs.m_candidates) {
            m_by_zone[state.m_proxies.at(host).m_zone].insert(host);
            m_load[host] = 0;
        }
        for (const auto& [id, endpoint] : state.m_endpoints) {
            ++m_endpoints_of_zone[endpoint.m_zone];
            if (has_valid_owner(endpoint)) {
                ++m_load[endpoint.m_owner];
            }
        }
    }

    std::vector<control::assign_owner> run() {
        // Endpoints without an owner are assigned before those that only need a better owner.
        assign_where([this](const auto&, const auto& endpoint) { return !has_valid_owner(endpoint); });
        assign_reachable();
        assign_where([this](const auto& id, const auto& endpoint) {
            return has_valid_owner(endpoint) && !m_inputs.m_pinned.contains(id) &&
                   !m_inputs.m_candidates.contains(endpoint.m_owner);
        });
        if (m_assignments.empty()) {
            balance();
        }
        return std::move(m_assignments);
    }

private:
    [[nodiscard]] bool has_valid_owner(const control::endpoint_record& endpoint) const {
        return m_inputs.m_leased.contains(endpoint.m_owner);
    }

    [[nodiscard]] bool limit_reached() const { return m_assignments.size() >= max_assignments_per_tick; }

    void assign(const endpoint_id& id, const control::endpoint_record& endpoint, const entry_host_id& owner) {
        const auto last = m_state.m_last_epochs.find(id);
        const core::owner_epoch known =
            last == m_state.m_last_epochs.end() ? core::owner_epoch{} : last->second;
        const std::uint64_t epoch = std::max(known, endpoint.m_owner_epoch).value() + 1;
        m_assignments.push_back({id, owner, core::owner_epoch{epoch}});
        if (has_valid_owner(endpoint)) {
            --m_load[endpoint.m_owner];
        }
        ++m_load[owner];
    }

    template <class Condition>
    void assign_where(Condition condition) {
        for (const auto& [id, endpoint] : m_state.m_endpoints) {
            if (limit_reached()) {
                return;
            }
            if (!condition(id, endpoint)) {
                continue;
            }
            const auto owner = best_owner(id, endpoint);
            if (owner) {
                assign(id, endpoint, *owner);
            }
        }
    }

    void assign_reachable() {
        for (const auto& [id, host] : m_inputs.m_reachable_from) {
            const auto endpoint = m_state.m_endpoints.find(id);
            if (limit_reached() || endpoint == m_state.m_endpoints.end() ||
                !has_valid_owner(endpoint->second) || endpoint->second.m_owner == host ||
                !m_inputs.m_candidates.contains(host)) {
                continue;
            }
            assign(id, endpoint->second, host);
        }
    }

    // Returns the host with the highest score among those below the average load, or the least loaded host
    // when none is below it.
    [[nodiscard]] std::optional<entry_host_id> best_owner(const endpoint_id& id,
                                                          const control::endpoint_record& endpoint) const {
        const auto zone = m_by_zone.find(endpoint.m_zone);
        const bool in_zone = zone != m_by_zone.end();
        const host_set& hosts = in_zone ? zone->second : m_inputs.m_candidates;
        if (hosts.empty()) {
            return std::nullopt;
        }
        const std::size_t endpoints =
            in_zone ? m_endpoints_of_zone.at(endpoint.m_zone) : m_state.m_endpoints.size();
        const std::size_t bound = (endpoints + hosts.size() - 1) / hosts.size();
        return *std::max_element(hosts.begin(), hosts.end(), [&](const auto& left, const auto& right) {
            return preference(left, id, bound) < preference(right, id, bound);
        });
    }

    // Orders hosts with a load below the bound first, then by the load in excess of the bound, then by score.
    [[nodiscard]] std::pair<std::int64_t, std::uint64_t>
    preference(const entry_host_id& host, const endpoint_id& id, std::size_t bound) const {
        const std::size_t load = m_load.at(host);
        const std::int64_t excess = load < bound ? 0 : static_cast<std::int64_t>(load - bound) + 1;
        return {-excess, rendezvous_score(host, id)};
    }

    void balance() {
        for (const auto& [zone, hosts] : m_by_zone) {
            if (m_assignments.size() >= max_balance_moves_per_tick) {
                return;
            }
            if (!return_to_zone(zone)) {
                move_to_least_loaded(zone, hosts);
            }
        }
    }

    bool return_to_zone(const core::availability_zone& zone) {
        for (const auto& [id, endpoint] : m_state.m_endpoints) {
            if (endpoint.m_zone == zone && !m_inputs.m_pinned.contains(id) &&
                m_state.m_proxies.at(endpoint.m_owner).m_zone != zone &&
                !m_inputs.m_reachable_from.contains(id)) {
                assign(id, endpoint, *best_owner(id, endpoint));
                return true;
            }
        }
        return false;
    }

    // Moves one endpoint from the most to the least loaded proxy when their loads differ by two or more.
    // Moves the endpoint with the highest score for the target, because it is the least likely to be moved
    // again.
    void move_to_least_loaded(const core::availability_zone& zone, const host_set& hosts) {
        const auto by_load = [&](const auto& left, const auto& right) {
            return m_load.at(left) < m_load.at(right);
        };
        const auto [least_loaded, most_loaded] = std::minmax_element(hosts.begin(), hosts.end(), by_load);
        if (m_load.at(*most_loaded) < m_load.at(*least_loaded) + 2) {
            return;
        }
        const std::pair<const endpoint_id, control::endpoint_record>* best = nullptr;
        for (const auto& entry : m_state.m_endpoints) {
            const bool movable = entry.second.m_zone == zone && entry.second.m_owner == *most_loaded &&
                                 !m_inputs.m_pinned.contains(entry.first);
            if (movable && (best == nullptr || rendezvous_score(*least_loaded, entry.first) >
                                                   rendezvous_score(*least_loaded, best->first))) {
                best = &entry;
            }
        }
        if (best != nullptr) {
            assign(best->first, best->second, *least_loaded);
        }
    }

    const control::control_state& m_state;
    const owner_inputs& m_inputs;
    std::map<core::availability_zone, host_set> m_by_zone;
    std::map<core::availability_zone, std::size_t> m_endpoints_of_zone;
    std::map<entry_host_id, std::size_t> m_load;
    std::vector<control::assign_owner> m_assignments;
};

} // namespace

std::uint64_t rendezvous_score(const entry_host_id& host, const endpoint_id& endpoint) {
    return mix_bits(hash_text(hash_text(fnv_offset, host.value()), endpoint.value()));
}

std::vector<control::assign_owner> choose_owners(const control::control_state& state,
                                                 const owner_inputs& inputs) {
    return owner_chooser(state, inputs).run();
}

} // namespace mangoquay::membership
