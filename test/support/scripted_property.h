// Properties of decision cores that are driven by a script: a sequence of pseudo-random numbers from which a
// model takes its choices. RapidCheck chooses the seed of the sequence and shrinks its length; RC_PARAMS sets
// the seed of RapidCheck. The script generates its numbers itself, because RapidCheck takes a hundred times
// longer to generate a list than the cores under test take to run.
#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <functional>
#include <iostream>
#include <random>
#include <string>

namespace mangoquay::testing {

class script {
public:
    script(std::uint32_t seed, std::size_t length) : m_numbers(seed), m_left(length) {}

    [[nodiscard]] bool finished() const { return m_left == 0; }
    // Returns the next number, which is below `bound`; 0 once the script is finished.
    std::uint32_t next_below(std::uint32_t bound) {
        if (finished()) {
            return 0;
        }
        --m_left;
        return static_cast<std::uint32_t>(m_numbers() % bound);
    }
    // Returns true with a probability of 1/`bound`; false once the script is finished if `bound` is above 1.
    bool one_in(std::uint32_t bound) { return next_below(bound) == bound - 1; }

private:
    std::mt19937_64 m_numbers;
    std::size_t m_left = 0;
};

// Runs a model over a script. Returns a description of the violation, or an empty string if the property
// held.
using scripted_body = std::function<std::string(script&)>;

struct script_size {
    int m_runs = 200;
    std::size_t m_numbers = 300;
};

inline auto scripted(const scripted_body& body, std::size_t numbers) {
    return [body, numbers] {
        const auto seed = *rc::gen::noShrink(
            rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint32_t>(0, 1U << 31U)));
        const auto length =
            *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(numbers / 2, numbers + 1));
        script steps(seed, length);
        const std::string violation = body(steps);
        if (!violation.empty()) {
            RC_FAIL(violation);
        }
    };
}

inline rc::detail::TestResult run_scripted(const scripted_body& body, script_size size, bool shrink) {
    rc::detail::TestParams params = rc::detail::configuration().testParams;
    params.maxSuccess = size.m_runs;
    params.disableShrinking = !shrink;
    return rc::detail::checkTestable(scripted(body, size.m_numbers), rc::detail::TestMetadata(), params);
}

// Returns true if no script violates the property; otherwise prints the violation.
inline bool property_holds(const scripted_body& body, script_size size = {}) {
    const auto result = run_scripted(body, size, true);
    if (!result.is<rc::detail::SuccessResult>()) {
        rc::detail::printResultMessage(result, std::cerr);
    }
    return result.is<rc::detail::SuccessResult>();
}

// Returns true if some script violates the property. Used for models with an injected fault.
inline bool property_violated(const scripted_body& body, script_size size = {}) {
    return run_scripted(body, size, false).is<rc::detail::FailureResult>();
}

} // namespace mangoquay::testing
