// Properties of all decoders of documents and messages from outside: bytes that are damaged, or of another
// kind, are read or refused, and end nothing. The corpus holds one document or message a file, binary ones in
// hex.

#include "BudgetEscrow.h"
#include "ConversationMessages.h"
#include "CrashRecords.h"
#include "Documents.h"
#include "Fuzz.h"
#include "Headers.h"
#include "PeerCaps.h"
#include "PeerList.h"
#include "PeerPermits.h"
#include "PeerStreams.h"
#include "PeerTurns.h"
#include "RelayedCall.h"
#include "SettingsDocument.h"
#include "Suite.h"

#include <filesystem>
#include <fstream>
#include <iterator>

using namespace fescue;
using namespace fescue::test;

namespace {

constexpr MonotonicTime now { Milliseconds { 5000 } };

std::string fromHex(const std::string& text)
{
    std::string bytes;
    for (std::size_t i = 0; i + 1 < text.size(); i += 2)
        bytes += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16));
    return bytes;
}

std::vector<std::string> readCorpus()
{
    std::vector<std::string> corpus;
    for (const auto& entry : std::filesystem::directory_iterator(FESCUE_SOURCES "/test/fuzz/corpus")) {
        std::ifstream file(entry.path(), std::ios::binary);
        std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
        while (!text.empty() && text.back() == '\n')
            text.pop_back();
        corpus.push_back(entry.path().extension() == ".hex" ? fromHex(text) : text);
    }
    return corpus;
}

// Replaces some numbers in a text by ones at and beyond the limits of types.
void spoilNumber(std::string& text)
{
    static const std::vector<std::string> numbers { "-1", "0", "1e300", "-1e300", "1e999", "4294967296",
        "9223372036854775807", "-9223372036854775808", "18446744073709551615",
        "123456789012345678901234567890", "0.5", "null", "\"7\"", "[]", "{}", "true" };
    std::size_t from = text.find_first_of("0123456789", *rc::gen::inRange<std::size_t>(0, text.size() + 1));
    if (from == std::string::npos)
        return;
    std::size_t end = std::min(text.find_first_not_of("0123456789", from), text.size());
    text.replace(from, end - from, *rc::gen::elementOf(numbers));
}

void damage(std::string& bytes)
{
    std::size_t at = *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
        bytes.resize(at);
        break;
    case 1:
        if (at < bytes.size())
            bytes[at] = *rc::gen::arbitrary<char>();
        break;
    case 2:
        bytes.insert(at, *rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
        break;
    case 3:
        // The heads of CBOR items with lengths and numbers of eight bytes.
        bytes.insert(
            at, std::string(1, *rc::gen::elementOf(std::string("\x1b\x3b\x5b\x7b\x9b\xbb\xfb"))) + "\x7f");
        break;
    default:
        spoilNumber(bytes);
    }
}

void decodeDocuments(const std::string& bytes)
{
    (void)platform::decodeSettings(bytes);
    (void)platform::decodeConfig(bytes);
    (void)platform::decodeTarget("i-1", bytes);
    (void)platform::decodeTarget(bytes, bytes);
    (void)parsePeer("vm-a", bytes);
    (void)parseClaim("p|vm-a#1", bytes);
    (void)parseClaim(bytes, "[1,2,3]");
    (void)parseCrashRecord("crash:0123456789abcdef:vm-a#1", bytes);
    (void)parseCrashRecord(bytes, bytes);
}

void decodeMessages(const std::string& bytes)
{
    (void)parseTurnRequest(bytes);
    (void)parseTurnReply(bytes);
    (void)parseTurnEnd(bytes);
    (void)parseStreams(bytes);
    (void)parseOriginQuery(bytes);
    (void)parseOriginReply(bytes);
    (void)parsePermitRequest(bytes, now);
    (void)parsePermitReply(bytes, now);
    (void)parseStockReport(bytes);
    (void)parseGrantReply(bytes);
    (void)parseRelayedCall(bytes, now);
    (void)parseTurnPointer(bytes);
    (void)parseKeptTurn(bytes);
    (void)parseChainQuery(bytes);
    (void)parseChainReply(bytes, now);
    (void)parseTurns(bytes, now);
    (void)parseKeepRequest(bytes, now);
}

void decodeHeaders(const std::string& bytes)
{
    HttpHead head;
    head.status_ = 503;
    for (const char* name : { "Fescuewinch-Request-Id", "Resumes", "Fescuewinch-Previous-Turn", "Cookie",
             "Last-Event-Id", "Fescuewinch-Deadline-Ms", "Fescuewinch-Program-Id",
             "Fescuewinch-Program-Deadline-Ms", "Fescuewinch-Token-Budget", "Fescuewinch-Token-Count",
             "Fescuewinch-Prefix-Hash", "Fescuewinch-Instance-Load", "Server-Limit", "Server-Leaving" })
        head.headers_.push_back({ name, bytes });
    (void)platform::decodeCallTags(head);
    (void)platform::decodeAnswerTags(head);
    (void)takeOutcome(head);
}

} // namespace

class DecoderFuzz : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DecoderFuzz);
    CPPUNIT_TEST(corpusIsRead);
    CPPUNIT_TEST(damagedDocumentsEndNothing);
    CPPUNIT_TEST(damagedMessagesEndNothing);
    CPPUNIT_TEST(damagedHeadersEndNothing);
    CPPUNIT_TEST_SUITE_END();

    // Applies a decoder to entries of the corpus with several damages each.
    template <typename Decoder> static void fuzzCorpus(const std::string& name, Decoder decode)
    {
        constexpr int maxDamages = 4;
        std::vector<std::string> corpus = readCorpus();
        fuzz(name, [&] {
            std::string bytes = *rc::gen::elementOf(corpus);
            int damages = *rc::gen::inRange(0, maxDamages + 1);
            for (int i = 0; i < damages; ++i)
                damage(bytes);
            decode(bytes);
        });
    }

public:
    void corpusIsRead()
    {
        int settings = 0;
        int configs = 0;
        int targets = 0;
        int messages = 0;
        for (const std::string& bytes : readCorpus()) {
            settings += platform::decodeSettings(bytes).has_value() ? 1 : 0;
            configs += platform::decodeConfig(bytes).has_value() ? 1 : 0;
            targets += platform::decodeTarget("i-1", bytes).has_value() ? 1 : 0;
            messages += parseTurnRequest(bytes) || parseTurnEnd(bytes) || parseStreams(bytes)
                    || parseOriginQuery(bytes) || parseOriginReply(bytes)
                ? 1
                : 0;
        }
        CHECK(settings >= 1 && configs >= 1 && targets >= 1 && messages >= 5);
    }

    void damagedDocumentsEndNothing() { fuzzCorpus("documents", decodeDocuments); }
    void damagedMessagesEndNothing() { fuzzCorpus("messages", decodeMessages); }
    void damagedHeadersEndNothing() { fuzzCorpus("headers", decodeHeaders); }
};

REGISTER_SUITE(DecoderFuzz);
