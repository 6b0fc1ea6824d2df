// A configuration offered by another VM replaces the current one only if it has read further.

#include "ConfigReader.h"
#include "Suite.h"

using namespace fescue;

class ConfigOffers : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigOffers);
    CPPUNIT_TEST(adoptsOnlyConfigurationsThatHaveReadFurther);
    CPPUNIT_TEST_SUITE_END();

public:
    void adoptsOnlyConfigurationsThatHaveReadFurther();
};

REGISTER_SUITE(ConfigOffers);

void ConfigOffers::adoptsOnlyConfigurationsThatHaveReadFurther()
{
    std::vector<Config> configs(1);
    for (std::uint64_t offset = 1; offset <= 3; ++offset) {
        Config next = configs.back();
        std::string version = std::to_string(next.version_.value_);
        applyPublication(next, { offset },
            R"({"sections": {"models/m": {"context_limit": )" + std::to_string(offset)
                + R"(}}, "built_on": {"models/m": )" + version + "}}");
        configs.push_back(next);
    }
    HttpClient client;
    std::vector<std::uint64_t> reportedVersions;
    ConfigReader reader({}, client,
        [&reportedVersions](const Config& config) { reportedVersions.push_back(config.version_.value_); });
    CHECK(!reader.status().hasConfig_);
    for (std::size_t offered : { 2U, 1U, 2U, 3U, 0U, 1U })
        reader.offer(configs[offered]);
    CHECK_EQUAL(std::uint64_t { 3 }, reader.config()->version_.value_);
    CHECK((reportedVersions == std::vector<std::uint64_t> { 2, 3 }));
}
