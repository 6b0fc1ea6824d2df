// Random publications by racing operators, judged by foldPublication and by an oracle that knows only
// the rules of the brief: what each section holds, who changed it last, and what refers to what.

#include "ConfigFold.h"
#include "Fuzz.h"
#include "Suite.h"

#include <set>

using namespace fescue;
using nlohmann::json;

class ConfigFolding : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigFolding);
    CPPUNIT_TEST(verdictsAreThoseOfTheOracle);
    CPPUNIT_TEST(readersAgreeHoweverTheyRead);
    CPPUNIT_TEST(softwareOfAnotherVersionStopsInsteadOfDisagreeing);
    CPPUNIT_TEST(unreadableEntriesChangeNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void verdictsAreThoseOfTheOracle();
    void readersAgreeHoweverTheyRead();
    void softwareOfAnotherVersionStopsInsteadOfDisagreeing();
    void unreadableEntriesChangeNothing();
};

REGISTER_SUITE(ConfigFolding);

namespace {

const std::vector<std::string> names { "models/m0", "models/m1", "services/s0", "pools/p0", "pools/p1" };

// What a test publication declares of a section: a few values, some of which are not valid.
struct Wish {
    std::string section_;
    int value_ = 0;
    bool isRemoval_ = false;
    std::uint64_t staleBy_ = 0; ///< 0 names the version in force when the entry is appended.
};

std::ostream& operator<<(std::ostream& out, const Wish& wish)
{
    return out << (wish.isRemoval_ ? "-" : "+") << wish.section_ << "=" << wish.value_ << "~"
               << wish.staleBy_;
}

json bodyOf(const Wish& wish)
{
    if (wish.value_ == 4)
        return { { "no_such_member", true } };
    if (wish.section_[0] == 'm')
        return { { "context_limit", wish.value_ + 1 } };
    if (wish.section_[0] == 's')
        return { { "timeout_ms", wish.value_ + 1 } };
    // Both pools declare target t0 when the value is 3: then one of them must be refused.
    std::string target = wish.value_ == 3 ? "t0" : wish.section_.substr(6);
    json pool { { "zone", "z" }, { "targets", { { { "id", target }, { "url", "http://h" } } } } };
    if (wish.value_ == 2)
        pool["service"] = "s0";
    else
        pool["models"] = { wish.value_ == 1 ? "m1" : "m0" };
    return pool;
}

// The oracle: sections as numbers, rules as the brief words them.
struct Oracle {
    std::map<std::string, int> held_;
    std::map<std::string, std::uint64_t> changedAt_;

    bool isValid(const std::map<std::string, int>& held) const
    {
        int sharedTargets = 0;
        for (const auto& [section, value] : held) {
            if (value == 4)
                return false;
            if (section[0] != 'p')
                continue;
            std::string needed = value == 2 ? "services/s0" : value == 1 ? "models/m1" : "models/m0";
            if (!held.count(needed))
                return false;
            sharedTargets += value == 3 ? 1 : 0;
        }
        return sharedTargets < 2;
    }

    bool publish(const std::vector<Wish>& wishes, const std::map<std::string, std::uint64_t>& builtOn,
        std::uint64_t offset)
    {
        std::map<std::string, int> next = held_;
        std::set<std::string> changed;
        std::set<std::string> removed;
        std::set<std::string> set;
        for (const Wish& wish : wishes) {
            auto before = held_.find(wish.section_);
            (wish.isRemoval_ ? removed : set).insert(wish.section_);
            bool isSame = wish.isRemoval_ ? before == held_.end()
                                          : before != held_.end() && before->second == wish.value_;
            if (wish.isRemoval_)
                next.erase(wish.section_);
            else
                next[wish.section_] = wish.value_;
            if (!isSame)
                changed.insert(wish.section_);
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
        held_ = next;
        for (const std::string& section : changed)
            changedAt_[section] = offset;
        return true;
    }
};

rc::Gen<Wish> anyWish()
{
    return rc::gen::build<Wish>(rc::gen::set(&Wish::section_, rc::gen::elementOf(names)),
        rc::gen::set(&Wish::value_,
            rc::gen::weightedElement<int>({ { 8, 0 }, { 4, 1 }, { 3, 2 }, { 3, 3 }, { 1, 4 } })),
        rc::gen::set(&Wish::isRemoval_, rc::gen::weightedElement<bool>({ { 3, false }, { 1, true } })),
        rc::gen::set(
            &Wish::staleBy_, rc::gen::weightedElement<std::uint64_t>({ { 4, 0 }, { 1, 1 }, { 1, 3 } })));
}

using History = std::vector<std::vector<Wish>>;

rc::Gen<History> anyHistory()
{
    auto publication
        = rc::gen::resize(4, rc::gen::nonEmpty(rc::gen::container<std::vector<Wish>>(anyWish())));
    return rc::gen::resize(40, rc::gen::container<History>(publication));
}

// One wish a section, but a section may be both set and removed.
std::vector<Wish> withoutDoubles(const std::vector<Wish>& wishes)
{
    std::set<std::pair<std::string, bool>> seen;
    std::vector<Wish> kept;
    for (const Wish& wish : wishes) {
        if (seen.insert({ wish.section_, wish.isRemoval_ }).second)
            kept.push_back(wish);
    }
    return kept;
}

std::map<std::string, std::uint64_t> basis(const std::vector<Wish>& wishes, Oracle& oracle)
{
    std::map<std::string, std::uint64_t> builtOn;
    for (const Wish& wish : wishes) {
        std::uint64_t at = oracle.changedAt_[wish.section_];
        builtOn[wish.section_] = at >= wish.staleBy_ ? at - wish.staleBy_ : 0;
    }
    return builtOn;
}

json entryOf(const std::vector<Wish>& wishes, const std::map<std::string, std::uint64_t>& builtOn)
{
    json entry { { "author", "team" }, { "built_on", builtOn }, { "sections", json::object() },
        { "remove", json::array() } };
    for (const Wish& wish : wishes) {
        if (wish.isRemoval_)
            entry["remove"].push_back(wish.section_);
        else
            entry["sections"][wish.section_] = bodyOf(wish);
    }
    return entry;
}

// The entries of a history, and the configuration after each.
std::vector<std::string> entriesOf(const History& history)
{
    Oracle oracle;
    std::vector<std::string> entries;
    for (const auto& publication : history) {
        auto wishes = withoutDoubles(publication);
        auto builtOn = basis(wishes, oracle);
        entries.push_back(entryOf(wishes, builtOn).dump());
        oracle.publish(wishes, builtOn, entries.size());
    }
    return entries;
}

// What must be equal where two readers agree.
std::string stateOf(const Config& config) { return toJson(config).dump(); }

template <typename Property> void check(const std::string& name, const Property& property)
{
    test::fuzz(name, [&property] { property(*anyHistory()); });
}

} // namespace

void ConfigFolding::verdictsAreThoseOfTheOracle()
{
    std::size_t accepted = 0;
    std::size_t rejected = 0;
    check("verdicts", [&](const History& history) {
        Oracle oracle;
        Config config;
        std::uint64_t offset = 0;
        for (const auto& publication : history) {
            ++offset;
            auto wishes = withoutDoubles(publication);
            auto builtOn = basis(wishes, oracle);
            Config before = config;
            bool isExpected = oracle.publish(wishes, builtOn, offset);
            auto verdict = foldPublication(config, { offset }, entryOf(wishes, builtOn).dump());
            RC_ASSERT(verdict.isAccepted_ == isExpected);
            ++(isExpected ? accepted : rejected);
            RC_ASSERT(config.version_ >= before.version_);
            RC_ASSERT(isExpected || config.sections_ == before.sections_);
            RC_ASSERT(isExpected || config.sectionVersions_ == before.sectionVersions_);
            RC_ASSERT(isExpected || config.version_ == before.version_);
            RC_ASSERT(config.sections_.size() == oracle.held_.size());
            for (const auto& [section, value] : oracle.held_)
                RC_ASSERT(config.sections_.at(section) == bodyOf({ section, value }));
        }
    });
    // A history in which nothing is accepted, or nothing refused, would prove nothing.
    CHECK(accepted > 1000);
    CHECK(rejected > 1000);
}

void ConfigFolding::readersAgreeHoweverTheyRead()
{
    check("readers", [](const History& history) {
        auto entries = entriesOf(history);
        Config whole;
        Config pieces;
        for (std::uint64_t offset = 1; offset <= entries.size(); ++offset) {
            foldPublication(whole, { offset }, entries[offset - 1]);
            foldPublication(pieces, { offset }, entries[offset - 1]);
            // One reader hands what it holds to a new process now and then.
            if (*rc::gen::inRange(0, 3) == 0) {
                auto handed = parseConfig(json::parse(toJson(pieces).dump()));
                RC_ASSERT(handed.has_value());
                pieces = *handed;
            }
            RC_ASSERT(stateOf(whole) == stateOf(pieces));
        }
    });
}

void ConfigFolding::softwareOfAnotherVersionStopsInsteadOfDisagreeing()
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
            auto verdict = foldPublication(current, { offset }, entries[offset - 1], 2);
            foldPublication(old, { offset }, entries[offset - 1], 1);
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

void ConfigFolding::unreadableEntriesChangeNothing()
{
    Config config;
    foldPublication(config, { 1 }, R"({"sections": {"models/m0": {}}})");
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
        auto verdict = foldPublication(config, { ++offset }, entry);
        CPPUNIT_ASSERT_MESSAGE(entry.substr(0, 100), !verdict.isAccepted_);
        CHECK(verdict.detail_.size() <= 1000);
        CHECK_EQUAL(offset, config.readTo_.value_);
        CHECK_EQUAL(std::uint64_t { 1 }, config.version_.value_);
        CHECK(!stateOf(config).empty());
    }
}
