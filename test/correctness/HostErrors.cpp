// Guards against an error of the host that passes by itself and is taken as final: codes of the network
// library do not compare equal to `std::errc`.

#include "HostErrors.h"
#include "Suite.h"

#include <asio/error.hpp>
#include <cerrno>

using namespace fescue;

class HostErrors : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HostErrors);
    CPPUNIT_TEST(errorsThatPassAreToldInEachCategory);
    CPPUNIT_TEST(errorsOfSettingsDoNotPass);
    CPPUNIT_TEST_SUITE_END();

public:
    void errorsThatPassAreToldInEachCategory()
    {
        for (int number : { EADDRINUSE, EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS, ENOMEM }) {
            CHECK(mayPass({ number, asio::error::get_system_category() }));
            CHECK(mayPass({ number, std::system_category() }));
        }
    }

    void errorsOfSettingsDoNotPass()
    {
        for (int number : { 0, EACCES, EINVAL, EAFNOSUPPORT })
            CHECK(!mayPass({ number, asio::error::get_system_category() }));
    }
};

REGISTER_SUITE(HostErrors);
