// Random publications by concurrent operators, validated by applyPublication and by an independent oracle
// that tracks the value of each section, its last change and the references between sections.

#include "ConfigFold.h"
#include "Fuzz.h"
#include "Suite.h"

#include <set>

using namespace fescue;
using nlohmann::json;

class ConfigFolding : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigFolding);
    CPPUNIT_TEST(verdictsMatchTheOracle);
    CPPUNIT_TEST(readersAgreeAfterPassingTheConfigurationOn);
    CPPUNIT_TEST(oldSoftwareStopsAtUnsupportedRules);
    CPPUNIT_TEST(unreadableEntriesAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void verdictsMatchTheOracle();
    void readersAgreeAfterPassingTheConfigurationOn();
    void oldSoftwareStopsAtUnsupportedRules();
    void unreadableEntriesAreRejected();
};

REGISTER_SUITE(ConfigFolding);

namespace {

const std::vector<std::string> names { "models/m0", "models/m1", "services/s0", "pools/p0", "pools/p1" };

// The change of a section by a test publication: one of a few values, some of which are invalid.
struct SectionChange {
    std::string section_;
    int value_ = 0;
    bool isRemoval_ = false;
    std::uint64_t staleBy_ = 0; ///< 0 means the version in force when the entry is appended.
};

std::ostream& operator<<(std::ostream& out, const SectionChange& change)
{
    return out << (change.isRemoval_ ? "-" : "+") << change.section_ << "=" << change.value_ << "~"
               << change.staleBy_;
}

json bodyOf(const SectionChange& change)
{
    if (change.value_ == 4)
        return { { "no_such_member", true } };
    if (change.section_[0] == 'm')
        return { { "context_limit", change.value_ + 1 } };
    if (change.section_[0] == 's')
        return { { "timeout_ms", change.value_ + 1 } };
    // Both pools declare target t0 when the value is 3, so one of them must be rejected.
    std::string target = change.value_ == 3 ? "t0" : change.section_.substr(6);
    json pool { { "zone", "z" }, { "targets", { { { "id", target }, { "url", "http://h" } } } } };
    if (change.value_ == 2)
        pool["service"] = "s0";
    else
        pool["models"] = { change.value_ == 1 ? "m1" : "m0" };
    return pool;
}

// Reference implementation of the acceptance rules, with sections as numbers.
struct Oracle {
    std::map<std::string, int> sections_;
    std::map<std::string, std::uint64_t> changedAt_;

    bool isValid(const std::map<std::string, int>& sections) const
    {
        int sharedTargets = 0;
        for (const auto& [section, value] : sections) {
            if (value == 4)
                return false;
            if (section[0] != 'p')
                continue;
            std::string needed = value == 2 ? "services/s0" : value == 1 ? "models/m1" : "models/m0";
            if (!sections.count(needed))
                return false;
            sharedTargets += value == 3 ? 1 : 0;
        }
        return sharedTargets < 2;
    }

    bool publish(const std::vector<SectionChange>& changes,
        const std::map<std::string, std::uint64_t>& builtOn, std::uint64_t offset)
    {
        std::map<std::string, int> next = sections_;
        std::set<std::string> changed;
        std::set<std::string> removed;
        std::set<std::string> set;
        for (const SectionChange& change : changes) {
            auto before = sections_.find(change.section_);
            (change.isRemoval_ ? removed : set).insert(change.section_);
            bool isSame = change.isRemoval_ ? before == sections_.end()
                                            : before != sections_.end() && before->second == change.value_;
            if (change.isRemoval_)
                next.erase(change.section_);
            else
                next[change.section_] = change.value_;
            if (!isSame)
                changed.insert(change.section_);
        }
        for (const std::string& section : removed) {
            if (set.count(section))
                return false;
        }
        for (const std::string& section : changed) {
            if (changedAt_[section] != builtOn.at(section))
                return false;
        }
        if (!isValid(next))
            return false;
        sections_ = next;
        for (const std::string& section : changed)
            changedAt_[section] = offset;
        return true;
    }
};

rc::Gen<SectionChange> anySectionChange()
{
    return rc::gen::build<SectionChange>(rc::gen::set(&SectionChange::section_, rc::gen::elementOf(names)),
        rc::gen::set(&SectionChange::value_,
            rc::gen::weightedElement<int>({ { 8, 0 }, { 4, 1 }, { 3, 2 }, { 3, 3 }, { 1, 4 } })),
        rc::gen::set(
            &SectionChange::isRemoval_, rc::gen::weightedElement<bool>({ { 3, false }, { 1, true } })),
        rc::gen::set(&SectionChange::staleBy_,
            rc::gen::weightedElement<std::uint64_t>({ { 4, 0 }, { 1, 1 }, { 1, 3 } })));
}

using History = std::vector<std::vector<SectionChange>>;

rc::Gen<History> anyHistory()
{
    auto publication = rc::gen::resize(
        4, rc::gen::nonEmpty(rc::gen::container<std::vector<SectionChange>>(anySectionChange())));
    return rc::gen::resize(40, rc::gen::container<History>(publication));
}

// At most one change per section, but a section may be both set and removed.
std::vector<SectionChange> withoutDuplicates(const std::vector<SectionChange>& changes)
{
    std::set<std::pair<std::string, bool>> seen;
    std::vector<SectionChange> kept;
    for (const SectionChange& change : changes) {
        if (seen.insert({ change.section_, change.isRemoval_ }).second)
            kept.push_back(change);
    }
    return kept;
}

std::map<std::string, std::uint64_t> builtOnVersions(
    const std::vector<SectionChange>& changes, Oracle& oracle)
{
    std::map<std::string, std::uint64_t> builtOn;
    for (const SectionChange& change : changes) {
        std::uint64_t at = oracle.changedAt_[change.section_];
        builtOn[change.section_] = at >= change.staleBy_ ? at - change.staleBy_ : 0;
    }
    return builtOn;
}

json entryOf(const std::vector<SectionChange>& changes, const std::map<std::string, std::uint64_t>& builtOn)
{
    json entry { { "author", "team" }, { "built_on", builtOn }, { "sections", json::object() },
        { "remove", json::array() } };
    for (const SectionChange& change : changes) {
        if (change.isRemoval_)
            entry["remove"].push_back(change.section_);
        else
            entry["sections"][change.section_] = bodyOf(change);
    }
    return entry;
}

// The entries of a history.
std::vector<std::string> entriesOf(const History& history)
{
    Oracle oracle;
    std::vector<std::string> entries;
    for (const auto& publication : history) {
        auto changes = withoutDuplicates(publication);
        auto builtOn = builtOnVersions(changes, oracle);
        entries.push_back(entryOf(changes, builtOn).dump());
        oracle.publish(changes, builtOn, entries.size());
    }
    return entries;
}

// The state in which two readers must agree.
std::string stateOf(const Config& config) { return toJson(config).dump(); }

template <typename Property> void check(const std::string& name, const Property& property)
{
    test::fuzz(name, [&property] { property(*anyHistory()); });
}

} // namespace

void ConfigFolding::verdictsMatchTheOracle()
{
    std::size_t accepted = 0;
    std::size_t rejected = 0;
    check("verdicts", [&](const History& history) {
        Oracle oracle;
        Config config;
        std::uint64_t offset = 0;
        for (const auto& publication : history) {
            ++offset;
            auto changes = withoutDuplicates(publication);
            auto builtOn = builtOnVersions(changes, oracle);
            Config before = config;
            bool isExpected = oracle.publish(changes, builtOn, offset);
            auto verdict = applyPublication(config, { offset }, entryOf(changes, builtOn).dump());
            RC_ASSERT(verdict.isAccepted_ == isExpected);
            ++(isExpected ? accepted : rejected);
            RC_ASSERT(config.version_ >= before.version_);
            RC_ASSERT(isExpected || config.sections_ == before.sections_);
            RC_ASSERT(isExpected || config.sectionVersions_ == before.sectionVersions_);
            RC_ASSERT(isExpected || config.version_ == before.version_);
            RC_ASSERT(config.sections_.size() == oracle.sections_.size());
            for (const auto& [section, value] : oracle.sections_)
                RC_ASSERT(config.sections_.at(section) == bodyOf({ section, value }));
        }
    });
    // Guards against generated histories that never accept or never reject a publication.
    CHECK(accepted > 1000);
    CHECK(rejected > 1000);
}

void ConfigFolding::readersAgreeAfterPassingTheConfigurationOn()
{
    check("readers", [](const History& history) {
        auto entries = entriesOf(history);
        Config whole;
        Config pieces;
        for (std::uint64_t offset = 1; offset <= entries.size(); ++offset) {
            applyPublication(whole, { offset }, entries[offset - 1]);
            applyPublication(pieces, { offset }, entries[offset - 1]);
            // Occasionally one reader passes its configuration to a new process.
            if (*rc::gen::inRange(0, 3) == 0) {
                auto received = parseConfig(json::parse(toJson(pieces).dump()));
                RC_ASSERT(received.has_value());
                pieces = *received;
            }
            RC_ASSERT(stateOf(whole) == stateOf(pieces));
        }
    });
}

void ConfigFolding::oldSoftwareStopsAtUnsupportedRules()
{
    std::size_t blocked = 0;
    check("versions", [&blocked](const History& history) {
        auto entries = entriesOf(history);
        std::size_t raise = *rc::gen::inRange<std::size_t>(0, entries.size() + 1);
        std::uint64_t to = *rc::gen::elementOf(std::vector<std::uint64_t> { 1, 2, 3 });
        entries.insert(entries.begin() + static_cast<std::ptrdiff_t>(raise),
            json { { "author", "platform-team" }, { "rules", to } }.dump());
        Config old;
        Config current;
        std::string stopped;
        for (std::uint64_t offset = 1; offset <= entries.size(); ++offset) {
            auto verdict = applyPublication(current, { offset }, entries[offset - 1], 2);
            applyPublication(old, { offset }, entries[offset - 1], 1);
            RC_ASSERT(offset != raise + 1 || verdict.isAccepted_ == (to == 2));
            if (current.rulesVersion_ == 1)
                RC_ASSERT(stateOf(old) == stateOf(current));
            else if (stopped.empty())
                stopped = stateOf(old);
            RC_ASSERT(current.rulesVersion_ == 1 || stateOf(old) == stopped);
        }
        RC_ASSERT((old.blockedAt_.value_ != 0) == (to == 2));
        blocked += to == 2 ? 1 : 0;
    });
    CHECK(blocked > 100);
}

void ConfigFolding::unreadableEntriesAreRejected()
{
    Config config;
    applyPublication(config, { 1 }, R"({"sections": {"models/m0": {}}})");
    CHECK_EQUAL(std::uint64_t { 1 }, config.version_.value_);
    std::string deep = R"({"sections": {"models/m1": )" + std::string(1000000, '[');
    std::vector<std::string> entries { "", "\xff\xfe", "null", "[]", "{}", "{\"sections\": []}",
        R"({"sections": {"models/m0": {"context_limit": 9}}, "built_on": {"models/m0": 1.5}})",
        R"({"sections": {"models/m0": {"context_limit": 9}}, "built_on": {"models/m0": true}})",
        R"({"sections": {"models/m0": {"context_limit": 9}}, "built_on": {"models/m0": -1}})",
        R"({"sections": {"models/m0": {"context_limit": 1e400}}, "built_on": {"models/m0": 1}})",
        R"({"sections": {}, "removes": ["models/m0"]})", R"({"sections": {}, "remove": "models/m0"})",
        R"({"sections": {}, "author": 7})", R"({"rules": 2})", R"({"sections": {}, "rules": 2})", deep,
        deep + std::string(1000000, ']') + "}}", R"({"sections": {}})" + std::string(5 * 1024 * 1024, ' '),
        R"({"sections": {}, "author": ")" + std::string(300, 'x') + "\"}",
        R"({"sections": {"models/)" + std::string(1500, 'a') + "\xc3\xa9" + R"(": {}}})" };
    std::uint64_t offset = 1;
    for (const std::string& entry : entries) {
        auto verdict = applyPublication(config, { ++offset }, entry);
        CPPUNIT_ASSERT_MESSAGE(entry.substr(0, 100), !verdict.isAccepted_);
        CHECK(verdict.detail_.size() <= 1000);
        CHECK_EQUAL(offset, config.lastReadOffset_.value_);
        CHECK_EQUAL(std::uint64_t { 1 }, config.version_.value_);
        CHECK(!stateOf(config).empty());
    }
}
