// The member that was out of contact for longest makes room.
#include "fleet/admission_choice.h"

#include <algorithm>

namespace mangoquay::fleet {

std::optional<admission> choose_admission(const admission_request& request, core::time_point now) {
    const auto is_newcomer = [&](const voter_contact& one) { return one.m_host == request.m_newcomer; };
    if (std::ranges::any_of(request.m_members, is_newcomer)) {
        return std::nullopt;
    }
    const voter_contact* lost = nullptr;
    for (const voter_contact& one : request.m_members) {
        const bool out_of_contact = one.m_host != request.m_self && one.m_contact + replace_after < now;
        if (out_of_contact && (lost == nullptr || one.m_contact < lost->m_contact)) {
            lost = &one;
        }
    }
    if (lost != nullptr) {
        return admission{lost->m_host};
    }
    if (request.m_members.size() < request.m_wanted) {
        return admission{};
    }
    return std::nullopt;
}

} // namespace mangoquay::fleet
