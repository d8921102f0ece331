// Answers calls that promote a database.
#include "soak/platform_operator.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mangoquay::soak {

platform_executor::platform_executor(soak_world& world) : m_world(world) {
    m_listener = std::make_unique<listener>(world.m_fleet.executor_address(),
                                            [this](connection& caller) { answer(caller); });
}

platform_executor::~platform_executor() {
    m_listener.reset();
    for (std::thread& promotion : m_promotions) {
        promotion.join();
    }
}

void platform_executor::answer(connection& caller) {
    constexpr milliseconds limit{1000};
    const auto request = read_http_request(caller, steady_clock::now() + limit);
    if (!request) {
        return;
    }
    const auto body = nlohmann::json::parse(request->m_body, nullptr, false);
    const std::string service = body.is_object() ? body.value("service", "") : "";
    const std::string id = body.is_object() ? body.value("id", "") : "";
    const std::string token = head_field(request->m_head, "mangoquay-fencing-token");
    const int status = decide(service, id, std::strtoull(token.c_str(), nullptr, 10));
    m_world.m_record.write("promotion of " + id + " of " + service + ", token " + token + ", holder " +
                           head_field(request->m_head, "mangoquay-lease-holder") + ": " +
                           std::to_string(status));
    (void)caller.send("HTTP/1.1 " + std::to_string(status) +
                      " -\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
}

int platform_executor::decide(const std::string& service, const std::string& id, std::uint64_t token) {
    const std::lock_guard lock(m_mutex);
    for (const auto& one : m_world.m_services) {
        if (one->m_name.value() != service) {
            continue;
        }
        const platform_database* target = one->find(id);
        const bool is_up = target != nullptr && one->is_up(id);
        std::uint64_t& seen = m_seen_tokens[service];
        if (token < seen || !is_up) {
            seen = std::max(seen, token);
            return 409;
        }
        seen = token;
        m_promotions.emplace_back([promoted = one.get(), id] {
            sleep_for(promoted->m_limits.m_promote);
            promoted->promote(id);
        });
        return 200;
    }
    return 400;
}

} // namespace mangoquay::soak
