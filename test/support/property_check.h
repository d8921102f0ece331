// Runs a RapidCheck property with a fixed seed and returns whether it holds. Used by tests that expect a
// property to fail because of an injected fault; rc::check would report that as a failure of the run.
#pragma once

#include <rapidcheck.h>

#include <iostream>
#include <utility>

namespace mangoquay::test {

enum class expectation { holds, fails };

// Returns whether the property holds or fails as expected after `successes` runs. Prints the shrunk
// counterexample if the property was expected to hold. An expected failure is not shrunk.
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
