// Registry of measurements. Each source file of this folder registers its measurement under a name, and
// main.cpp runs them.
#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace mangoquay::performance {

struct measurement {
    std::string m_name;
    std::function<void(std::ostream&)> m_run; // Writes lines of the form `name case=... value=... unit=...`.
};

inline std::vector<measurement>& measurements() {
    static std::vector<measurement> all;
    return all;
}

// Registers a measurement during static initialisation. Always returns true, for the initialiser of a
// constant.
inline bool add_measurement(std::string name, std::function<void(std::ostream&)> run) {
    measurements().push_back({std::move(name), std::move(run)});
    return true;
}

} // namespace mangoquay::performance
