// review-cases CASE FOLDER: plays a case and writes FOLDER/record.txt.

#include "CaseKit.h"
#include "Cases.h"

#include <csignal>
#include <exception>
#include <iostream>
#include <map>

int main(int argc, char** argv)
{
    const std::map<std::string, int (*)()> cases { { "dark-crash", review::darkCrash },
        { "foreign-entries", review::foreignEntries }, { "silent-store", review::silentStore },
        { "zone-loss", review::zoneLoss } };
    auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: review-cases CASE FOLDER\n";
        return review::couldNotRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    review::openRecord(argv[2]);
    int status = review::couldNotRun;
    try {
        status = found->second();
    } catch (const std::exception& error) {
        review::record(std::string("could not run: ") + error.what());
    }
    review::record("exit status " + std::to_string(status));
    return status;
}
