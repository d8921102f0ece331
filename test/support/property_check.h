// Runs a property with a fixed seed and tells whether it holds; used where a test expects the property to
// fail because a fault was planted, which rc::check would report as a failure of the run.
#pragma once

#include <rapidcheck.h>

#include <iostream>
#include <utility>

namespace mangoquay::test {

enum class expectation { holds, fails };

// Prints the counterexample when the property was expected to hold. Nothing is shrunk where it must fail.
template <class Property>
bool meets_expectation(expectation expected, Property&& property, int successes = 300) {
    constexpr std::uint64_t fixed_seed = 20261204;
    rc::detail::TestParams parameters;
    parameters.seed = rc::detail::configuration().testParams.seed == 0
                          ? fixed_seed
                          : rc::detail::configuration().testParams.seed;
    parameters.maxSuccess = successes;
    parameters.disableShrinking = expected == expectation::fails;
    const rc::detail::TestResult result =
        rc::detail::checkTestable(std::forward<Property>(property), rc::detail::TestMetadata(), parameters);
    const bool holds = result.template is<rc::detail::SuccessResult>();
    if (!holds && expected == expectation::holds) {
        rc::detail::printResultMessage(result, std::cerr);
        std::cerr << '\n';
    }
    return holds == (expected == expectation::holds);
}

} // namespace mangoquay::test
