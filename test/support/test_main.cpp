// Runs all registered tests, or those whose name contains the argument of --only. Prints and skips the tests
// listed in the file named by --known-red. The exit code is 0 if at least one test ran and none failed.
#include "core/log.h"

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <getopt.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <string>
#include <vector>

namespace {

struct options {
    std::string m_only;
    std::set<std::string> m_known_red;
    bool m_verbose = false;
};

// Reads the test names from lines `test: NAME`. The other lines of an entry describe the failure and are
// ignored.
std::set<std::string> read_known_red(const std::string& path) {
    std::set<std::string> names;
    std::ifstream file(path);
    const std::string key = "test: ";
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(key)) {
            names.insert(line.substr(key.size()));
        }
    }
    return names;
}

options parse(int argc, char** argv) {
    options parsed;
    const option names[] = {{"only", required_argument, nullptr, 'o'},
                            {"known-red", required_argument, nullptr, 'k'},
                            {"verbose", no_argument, nullptr, 'v'},
                            {nullptr, 0, nullptr, 0}};
    for (int code = 0; (code = getopt_long(argc, argv, "", names, nullptr)) != -1;) {
        if (code == 'o') {
            parsed.m_only = optarg;
        } else if (code == 'k') {
            parsed.m_known_red = read_known_red(optarg);
        } else if (code == 'v') {
            parsed.m_verbose = true;
        } else {
            std::exit(2);
        }
    }
    return parsed;
}

void collect_leaves(CppUnit::Test& test, std::vector<CppUnit::Test*>& leaves) {
    if (test.getChildTestCount() == 0) {
        if (test.countTestCases() > 0) {
            leaves.push_back(&test);
        }
        return;
    }
    for (int index = 0; index < test.getChildTestCount(); ++index) {
        collect_leaves(*test.getChildTestAt(index), leaves);
    }
}

} // namespace

int main(int argc, char** argv) {
    const options chosen = parse(argc, argv);
    mangoquay::core::configure_log(mangoquay::core::log_level::error, "");
    // Property tests use a fixed seed unless the environment sets another one, so that CI results are
    // reproducible.
    setenv("RC_PARAMS", "seed=20261204", 0);
    CppUnit::Test* all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    std::vector<CppUnit::Test*> leaves;
    collect_leaves(*all, leaves);

    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    if (chosen.m_verbose) {
        controller.addListener(&progress);
    }
    int skipped = 0;
    for (CppUnit::Test* test : leaves) {
        if (test->getName().find(chosen.m_only) == std::string::npos) {
            continue;
        }
        if (chosen.m_known_red.contains(test->getName())) {
            std::cout << "known red, not run: " << test->getName() << '\n';
            ++skipped;
            continue;
        }
        test->run(&controller);
    }
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    const int failed = collector.testFailuresTotal();
    std::cout << "tests: " << collector.runTests() - failed << " passed, " << failed << " failed, " << skipped
              << " skipped\n";
    return failed == 0 && collector.runTests() > 0 ? 0 : 1;
}
