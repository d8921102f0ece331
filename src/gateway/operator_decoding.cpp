// Decodes the bodies of operator changes and of endpoint announcements.
#include "gateway/body_decoding.h"

#include "gateway/decode_body.h"
#include "settings/socket_address_text.h"

#include <limits>

namespace mangoquay::gateway {
namespace {

using core::json_reader;

constexpr std::uint64_t max_count = 100000;
constexpr std::uint64_t max_duration_ms = 3600000;

void read_request_id(json_reader& reader, core::request_id& into) {
    reader.require("request_id", "an id that a resend repeats");
    into = core::request_id(reader.identifier("request_id").value_or(""));
}

// The expected revision makes concurrent changes safe, and the request id makes resending safe.
template <class Change>
void read_revision_and_request_id(json_reader& reader, Change& change) {
    reader.require("expected_revision", "the revision that the change is based on; 0: it must not exist yet");
    constexpr std::uint64_t max_value = std::numeric_limits<std::int64_t>::max();
    change.m_expected_revision =
        core::revision(reader.integer("expected_revision", 0, max_value).value_or(0));
    read_request_id(reader, change.m_request_id);
}

std::optional<control::socket_address> read_address(json_reader& reader, const char* name) {
    reader.require(name, settings::address_format);
    const auto text = reader.text(name);
    auto address = text.has_value() ? settings::parse_socket_address(*text) : std::nullopt;
    if (text.has_value() && !address.has_value()) {
        reader.add_error(name, settings::address_format);
    }
    return address;
}

template <class Id>
void read_required_id(json_reader& reader, const char* name, const char* allowed, Id& into) {
    reader.require(name, allowed);
    into = Id(reader.identifier(name).value_or(""));
}

} // namespace

core::result<control::put_service> decode_put_service(std::string_view body) {
    return decode_body<control::put_service>(body, [](json_reader& reader, auto&) {
        control::put_service change;
        read_revision_and_request_id(reader, change);
        reader.require("groups", "an array of group ids; their order decides the group of a key");
        for (const std::string& group : reader.identifiers("groups").value_or(std::vector<std::string>{})) {
            change.m_record.m_groups.emplace_back(group);
        }
        read_required_id(reader, "preset", "the name of a preset", change.m_record.m_preset);
        const auto deadline = reader.integer("default_deadline_ms", 1, max_duration_ms);
        change.m_record.m_default_deadline_ms =
            static_cast<std::uint32_t>(deadline.value_or(change.m_record.m_default_deadline_ms));
        return change;
    });
}

core::result<control::put_preset> decode_put_preset(std::string_view body) {
    return decode_body<control::put_preset>(body, [](json_reader& reader, auto&) {
        control::put_preset change;
        read_revision_and_request_id(reader, change);
        control::preset_record& record = change.m_record;
        const auto read = [&reader](const char* name, std::uint32_t& field, std::uint64_t max_value) {
            field = static_cast<std::uint32_t>(reader.integer(name, 0, max_value).value_or(field));
        };
        read("reserved_short_slots", record.m_reserved_short_slots, max_count);
        read("queue_bound_per_slot", record.m_queue_bound_per_slot, max_count);
        read("shed_wait_ms", record.m_shed_wait_ms, max_duration_ms);
        read("warm_connections", record.m_warm_connections, max_count);
        read("largest_max_age_ms", record.m_max_age_limit_ms, max_duration_ms);
        read("retry_budget_percent", record.m_retry_budget_percent, 100);
        for (const std::string& endpoint :
             reader.identifiers("drained_endpoints").value_or(std::vector<std::string>{})) {
            record.m_drained_endpoints.insert(core::endpoint_id(endpoint));
        }
        return change;
    });
}

core::result<control::select_preset> decode_select_preset(std::string_view body) {
    return decode_body<control::select_preset>(body, [](json_reader& reader, auto&) {
        control::select_preset change;
        read_revision_and_request_id(reader, change);
        read_required_id(reader, "preset", "the name of a preset", change.m_preset);
        return change;
    });
}

core::result<core::request_id> decode_request_id(std::string_view body) {
    return decode_body<core::request_id>(body, [](json_reader& reader, auto&) {
        core::request_id id;
        read_request_id(reader, id);
        return id;
    });
}

core::result<control::announce_endpoint> decode_announcement(std::string_view body) {
    return decode_body<control::announce_endpoint>(body, [](json_reader& reader, auto&) {
        control::announce_endpoint announced;
        read_required_id(reader, "group", "the id of the endpoint's group", announced.m_group);
        read_required_id(reader, "zone", "the availability zone of the endpoint", announced.m_zone);
        announced.m_address = read_address(reader, "address").value_or(control::socket_address{});
        reader.require("role", "\"primary\" or \"replica\"");
        const bool primary = reader.choice("role", {"primary", "replica"}).value_or(1) == 0;
        announced.m_role = primary ? control::endpoint_role::primary : control::endpoint_role::replica;
        constexpr std::uint64_t max_value = std::numeric_limits<std::uint32_t>::max();
        announced.m_term =
            core::term(static_cast<std::uint32_t>(reader.integer("term", 0, max_value).value_or(0)));
        reader.require("slots", "the number of statements that may run at once");
        reader.require("connections", "the number of connections that may be open at once");
        announced.m_slots = static_cast<std::uint32_t>(reader.integer("slots", 1, max_count).value_or(1));
        announced.m_connections =
            static_cast<std::uint32_t>(reader.integer("connections", 2, max_count).value_or(2));
        return announced;
    });
}

core::result<control::drain_endpoint> decode_drain(std::string_view body) {
    return decode_body<control::drain_endpoint>(body, [](json_reader& reader, auto&) {
        control::drain_endpoint change;
        change.m_leaving = reader.boolean("leaving").value_or(true);
        return change;
    });
}

core::result<core::endpoint_id> decode_hand_over(std::string_view body) {
    return decode_body<core::endpoint_id>(body, [](json_reader& reader, auto&) {
        return core::endpoint_id(reader.identifier("endpoint").value_or(""));
    });
}

core::result<control_host_replacement> decode_replacement(std::string_view body) {
    return decode_body<control_host_replacement>(body, [](json_reader& reader, auto&) {
        control_host_replacement replacement;
        read_required_id(reader, "host", "the id of the new control host", replacement.m_host);
        replacement.m_peer_address = read_address(reader, "peer_address").value_or(control::socket_address{});
        return replacement;
    });
}

core::result<std::set<core::entry_host_id>> decode_blocked_peers(std::string_view body) {
    using peers = std::set<core::entry_host_id>;
    return decode_body<peers>(body, [](json_reader& reader, auto&) {
        reader.require("peers", "an array of entry host ids");
        peers blocked;
        for (const std::string& peer : reader.identifiers("peers").value_or(std::vector<std::string>{})) {
            blocked.insert(core::entry_host_id(peer));
        }
        return blocked;
    });
}

} // namespace mangoquay::gateway
