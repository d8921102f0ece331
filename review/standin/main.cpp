// Runs one case: `cases NAME RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
// not run. With TROUBLE=0 in the environment the disruption is left out.
#include "cases.h"
#include "world.h"

#include <cstdlib>
#include <iostream>
#include <map>

int main(int count, char** words) {
    const std::map<std::string, int (*)(bool)> cases{
        {"planned-replacement", &cases::planned_replacement},
        {"replaced-control-host", &cases::replaced_control_host},
        {"busy-transaction-at-stop", &cases::busy_transaction_at_stop},
    };
    const auto found = count == 3 ? cases.find(words[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: cases NAME RECORD\n";
        return 2;
    }
    const char* trouble = std::getenv("TROUBLE");
    world::open_record(words[2]);
    const int code = found->second(trouble == nullptr || std::string(trouble) != "0");
    world::record("exit code " + std::to_string(code));
    std::cout << words[1] << ": " << (code == 0 ? "the rule held" : code == 1 ? "the rule was broken" : "could not run")
              << "\n";
    std::cout.flush();
    std::_Exit(code); // Threads of connections may still wait for their sockets.
}
