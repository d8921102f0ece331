// review-case CASE PROGRAM RECORD FOLDER: plays one case. The variable TROUBLE=0 leaves the disruption out.
#include "case.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <map>

int main(int count, char** arguments) {
    using namespace review;
    if (count != 5) {
        std::cerr << "usage: review-case CASE PROGRAM RECORD FOLDER\n";
        return could_not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const auto is_on = [](const char* name) {
        const char* value = std::getenv(name);
        return value == nullptr || std::strcmp(value, "0") != 0;
    };
    record log(arguments[3]);
    const run_options options{arguments[2], arguments[4], is_on("TROUBLE"), is_on("REBORN"), is_on("REUSE")};
    const std::map<std::string, int (*)(record&, const run_options&)> cases{
        {"lost-reborn", run_lost_reborn}, {"lost-reused", run_lost_reused}, {"cut-answer", run_cut_answer}, {"large-answer", run_large_answer}, {"large-read", run_large_read}};
    const auto found = cases.find(arguments[1]);
    const int result = found == cases.end() ? could_not_run : found->second(log, options);
    log.write(result == held ? "the rule held" : result == broken ? "the rule was broken" : "the case couldn't run");
    return result;
}
