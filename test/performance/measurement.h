// Measurements register themselves under a name; the program runs all, or those whose name contains an
// argument.
#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace mangoquay::performance {

struct measurement {
    std::string m_name;
    std::function<void(std::ostream&)> m_run; // writes lines `name case=... value=... unit=...`
};

inline std::vector<measurement>& measurements() {
    static std::vector<measurement> all;
    return all;
}

inline bool add_measurement(std::string name, std::function<void(std::ostream&)> run) {
    measurements().push_back({std::move(name), std::move(run)});
    return true;
}

} // namespace mangoquay::performance
