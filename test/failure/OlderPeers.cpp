// Guards against VMs of an older release that count as lost because they do not know a message, while VMs are
// replaced one after the other.

#include "EntryVmHarness.h"
#include "PeerList.h"
#include "PeerTurns.h"
#include "Suite.h"

#include <fmt/format.h>

using namespace fescue;
using namespace fescue::test;

namespace {

// A VM of a release that knows the messages about budgets only.
class OlderPeer {
public:
    ScriptedTarget::Script script()
    {
        return [this](const HttpHead& request, const std::string&) -> TargetAction {
            if (request.target_ != "/turns") {
                ++unknown_;
                if (isSilent_)
                    return {};
                return { "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n" };
            }
            ++turns_;
            TurnReply reply;
            reply.decision_ = TurnDecision::Unavailable;
            std::string body = encode(reply);
            return { fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body) };
        };
    }

    std::atomic<bool> isSilent_ { false }; ///< Does not answer messages that it does not know.
    std::atomic<int> turns_ { 0 };
    std::atomic<int> unknown_ { 0 }; ///< Messages that it does not know.
};

TargetAction stream(const HttpHead& request, const std::string&)
{
    return { stampedHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
        + toChunk("id: 1\ndata: a\n\n") + "0\r\n\r\n" };
}

TargetAction respondWithRate(const HttpHead& request, const std::string& body)
{
    if (request.target_.rfind("/turn/", 0) == 0)
        return stream(request, body);
    return { stampedHead(request, "Server-Limit: 50\r\nContent-Length: 4\r\n") + "done" };
}

// One VM before four targets, and an older peer in place of a fifth.
struct Setup {
    OlderPeer peer_;
    EntryVmHarness vms_;

    Setup()
        : vms_({ respondWithRate, respondWithRate, respondWithRate, respondWithRate, peer_.script() })
    {
        vms_.announce(olderPeer, { "v1", false, false });
        PeerEntry entry = makeOlderPeer();
        vms_.runOnStore([&entry](standin::PlatformStore& store) {
            store.put("keyed.entry-vms", entry.vm_.value_, peerValue(entry));
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    }

    // A peer with a name by which it gives out the permits of the first target.
    PeerEntry makeOlderPeer() const
    {
        std::string address = fmt::format("127.0.0.1:{}", vms_.target(olderPeer).port());
        for (int i = 0;; ++i) {
            PeerEntry entry { { fmt::format("vm-older-{}", i) }, { "z" }, address, { "older" } };
            PeerList list;
            list.peers_ = { { entry.vm_, entry }, { { "vm-a" }, { { "vm-a" }, { "z" }, "", { "a" } } } };
            if (rankedVms(list, { "z" }, "i-app-0").front().vm_ == entry.vm_)
                return entry;
        }
    }

    // Sends first turns of programs; the budgets of about half of them are at the older peer.
    void sendTurns()
    {
        for (int i = 0; i < 12; ++i)
            vms_.request("POST", "/turn/1",
                requestHeaders + programHeaders("p" + std::to_string(++programs_), "1000"), "x");
    }

    static constexpr std::size_t olderPeer = 4;
    int programs_ = 0;
};

} // namespace

class OlderPeers : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OlderPeers);
    CPPUNIT_TEST(peerThatGivesOutNoPermitsIsStillAskedForBudgets);
    CPPUNIT_TEST(peerThatKeepsNoConversationsIsStillAskedForBudgets);
    CPPUNIT_TEST(peerThatDoesNotAnswerIsPassedOver);
    CPPUNIT_TEST_SUITE_END();

    // Sends turns that continue from unknown ones until the older peer is asked for one.
    static void askForConversation(Setup& setup)
    {
        int sent = 0;
        setup.vms_.waitUntil("the peer has been asked for a conversation", [&setup, &sent] {
            setup.vms_.request("POST", "/kept/1",
                fmt::format("Fescuewinch-Request-Id: k{0}\r\nFescuewinch-Deadline-Ms: 1200\r\n"
                            "Fescuewinch-Program-Id: k{0}\r\nFescuewinch-Previous-Turn: unknown-{0}\r\n",
                    ++sent),
                "x");
            return setup.peer_.unknown_ > 0;
        });
    }

public:
    void peerThatGivesOutNoPermitsIsStillAskedForBudgets()
    {
        Setup setup;
        setup.vms_.waitUntil("the peer has been asked for permits", [&setup] {
            CHECK_EQUAL(200, statusOf(setup.vms_.request("GET", "/read/1", requestHeaders)));
            return setup.peer_.unknown_ > 0;
        });
        setup.sendTurns();
        CHECK(setup.peer_.turns_ > 0);
    }

    void peerThatKeepsNoConversationsIsStillAskedForBudgets()
    {
        Setup setup;
        askForConversation(setup);
        int before = setup.peer_.turns_;
        setup.sendTurns();
        CHECK(setup.peer_.turns_ > before);
    }

    void peerThatDoesNotAnswerIsPassedOver()
    {
        Setup setup;
        setup.peer_.isSilent_ = true;
        askForConversation(setup);
        setup.sendTurns();
        CHECK_EQUAL(0, setup.peer_.turns_.load());
    }
};

REGISTER_SUITE(OlderPeers);
