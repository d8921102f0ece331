// Replaces the member that has been out of contact for longest.
#include "fleet/admission_choice.h"

#include <algorithm>

namespace mangoquay::fleet {

std::optional<admission> choose_admission(const admission_request& request, core::time_point now) {
    const auto is_joining_host = [&](const member_contact& member) {
        return member.m_host == request.m_joining_host;
    };
    if (std::ranges::any_of(request.m_members, is_joining_host)) {
        return std::nullopt;
    }
    const member_contact* lost = nullptr;
    for (const member_contact& member : request.m_members) {
        const bool out_of_contact =
            member.m_host != request.m_self && member.m_last_contact + contact_timeout < now;
        if (out_of_contact && (lost == nullptr || member.m_last_contact < lost->m_last_contact)) {
            lost = &member;
        }
    }
    if (lost != nullptr) {
        return admission{lost->m_host};
    }
    if (request.m_members.size() < request.m_target_size + request.m_max_standbys) {
        return admission{};
    }
    return std::nullopt;
}

} // namespace mangoquay::fleet
