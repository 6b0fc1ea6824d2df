// Runs the suites named on the command line; each is registered under the name of its file.

#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/TextTestProgressListener.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <iostream>

int main(int argc, char** argv)
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::TextTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);
    CppUnit::TestRunner runner;
    for (int i = 1; i < argc; ++i)
        runner.addTest(CppUnit::TestFactoryRegistry::getRegistry(argv[i]).makeTest());
    runner.run(controller);
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    if (collector.runTests() == 0) {
        std::cerr << "no suite with this name; pass the name of a test file without its extension\n";
        return 2;
    }
    return collector.wasSuccessful() ? 0 : 1;
}
