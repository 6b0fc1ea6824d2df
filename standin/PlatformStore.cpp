#include "PlatformStore.h"

#include "BootClock.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <charconv>
#include <fmt/format.h>
#include <list>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace fescue::standin {

namespace {

    using nlohmann::json;

    constexpr int lengthBytes = 4;
    constexpr int offsetBytes = 8;
    constexpr std::size_t pageSize = 500;
    // The answer ends with the record that reaches it.
    constexpr std::size_t bytesPerKb = 1024;
    constexpr std::size_t defaultReadKb = 1024;
    constexpr std::size_t pageBytes = bytesPerKb * bytesPerKb;

    struct Record {
        std::string key_;
        std::string value_;
    };

    struct Partition {
        std::uint64_t first_ = 0; ///< Offset of the oldest retained record.
        std::vector<Record> records_; ///< Starting at offset `first_`.
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest_;
        std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>
            writers_; ///< Last sequence and offset.
        std::uint64_t end() const { return first_ + records_.size(); }

        void add(const std::string& key, const std::string& value)
        {
            if (value.empty())
                newest_.erase(key);
            else
                newest_[key] = { end(), value };
            records_.push_back({ key, value });
        }
    };

    std::string encodeBigEndian(std::uint64_t number, int width)
    {
        std::string bytes;
        for (int i = width - 1; i >= 0; --i)
            bytes += static_cast<char>((number >> (i * 8)) & 0xff);
        return bytes;
    }

    std::uint64_t decodeBigEndian(const std::string& bytes, std::size_t at, std::size_t width)
    {
        std::uint64_t number = 0;
        for (std::size_t i = 0; i < width && at + i < bytes.size(); ++i)
            number = (number << 8) | static_cast<unsigned char>(bytes[at + i]);
        return number;
    }

    std::string toBase64(std::string bytes)
    {
        using namespace boost::archive::iterators;
        using Encoder = base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
        std::size_t padding = (3 - bytes.size() % 3) % 3;
        std::string text(Encoder(bytes.cbegin()), Encoder(bytes.cend()));
        return text.append(padding, '=');
    }

    std::string decodePercent(std::string_view encoded)
    {
        std::string text;
        while (!encoded.empty()) {
            unsigned char byte = 0;
            const char* digits = encoded.data() + 1;
            bool isCode = encoded[0] == '%' && encoded.size() > 2
                && std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2;
            text += isCode ? static_cast<char>(byte) : encoded[0];
            encoded.remove_prefix(isCode ? 3 : 1);
        }
        return text;
    }

    std::string queryValue(const std::string& target, const std::string& name)
    {
        for (const char* start : { "?", "&" }) {
            std::string prefix = start + name + "=";
            std::size_t at = target.find(prefix);
            if (at == std::string::npos)
                continue;
            std::size_t from = at + prefix.size();
            return decodePercent(std::string_view(target).substr(from, target.find('&', from) - from));
        }
        return {};
    }

    std::uint64_t queryNumber(const std::string& target, const std::string& name)
    {
        std::string text = queryValue(target, name);
        std::uint64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    void answer(FrontReply& reply, int status, const std::string& body)
    {
        HttpHead head;
        head.status_ = status;
        reply.answer(std::move(head), body);
    }

} // namespace

struct PlatformStore::Impl {
    using PartitionId = std::pair<std::string, std::string>;

    // A long-poll read that waits for a record.
    struct WaitingRead {
        PartitionId partition_;
        std::uint64_t from_;
        std::size_t maxBytes_;
        MonotonicTime deadline_;
        std::shared_ptr<FrontReply> reply_;
        const View* view_;
    };

    // A port that serves the records.
    struct Server {
        View view_;
        StoreFaults faults_; ///< In addition to those of the store.
        std::unique_ptr<FrontServer> front_;
    };

    asio::io_context& io_;
    StoreFaults faults_;
    std::map<PartitionId, Partition> partitions_;
    std::vector<WaitingRead> waitingReads_;
    std::vector<std::shared_ptr<FrontReply>> unanswered_;
    std::uint64_t appends_ = 0;
    std::uint16_t lastWriterPort_ = 0;
    std::list<Server> servers_; ///< The first one is the store's own.

    explicit Impl(asio::io_context& io)
        : io_(io)
    {
        addServer([](const std::string&, const std::string& value) { return value; });
    }

    std::uint16_t addServer(View view)
    {
        Server& server = servers_.emplace_back();
        server.view_ = std::move(view);
        server.front_ = std::make_unique<FrontServer>(
            io_, "127.0.0.1:0",
            [this, &server](const FrontRequest& request, std::shared_ptr<FrontReply> reply) {
                handle(request, std::move(reply), server);
            },
            [](int, const char*, const HttpHead*) {});
        return server.front_->port();
    }

    void handle(const FrontRequest& request, std::shared_ptr<FrontReply> reply, Server& server)
    {
        for (const StoreFaults* faults : { &faults_, &server.faults_ }) {
            if (faults->isSilent_) {
                unanswered_.push_back(std::move(reply));
                return;
            }
            bool isRefusedAppend
                = faults->refusesAppends_ && request.head_.target_.rfind("/log-append", 0) == 0;
            if (faults->isDown_ || isRefusedAppend)
                return answer(*reply, faults->downStatus_, "");
            if (faults->holdsLongPolls_ && queryNumber(request.head_.target_, "wait-ms") > 0) {
                unanswered_.push_back(std::move(reply));
                return;
            }
        }
        const View* view = &server.view_;
        const std::string& target = request.head_.target_;
        PartitionId id { queryValue(target, "topic"), queryValue(target, "part") };
        if (target.rfind("/log-append", 0) == 0)
            append(id, request, std::move(reply), server);
        else if (target.rfind("/log-read", 0) == 0)
            read(id, target, std::move(reply), view);
        else if (target.rfind("/log-newest", 0) == 0)
            readNewest(id, target, *reply, *view);
        else
            answer(*reply, 404, "");
    }

    void append(const PartitionId& id, const FrontRequest& request, std::shared_ptr<FrontReply> reply,
        const Server& server)
    {
        Partition& partition = partitions_[id];
        std::string writer = queryValue(request.head_.target_, "producer");
        std::uint64_t sequence = queryNumber(request.head_.target_, "seq");
        auto known = partition.writers_.find(writer);
        bool isRepeat = known != partition.writers_.end() && known->second.first == sequence;
        if (writer.empty()) {
            known = partition.writers_.end(); // Each append without a writer is applied.
            isRepeat = false;
        }
        if (known != partition.writers_.end() && !isRepeat && sequence != known->second.first + 1)
            return answer(*reply, 409, json { { "why", "seq" } }.dump());
        std::uint64_t offset = isRepeat ? known->second.second : partition.end();
        if (!isRepeat) {
            ++appends_;
            addRecords(partition, request.body_);
            if (!writer.empty()) {
                partition.writers_[writer] = { sequence, offset };
                lastWriterPort_ = server.front_->port();
            }
        }
        if (faults_.answersToDrop_ > 0) {
            --faults_.answersToDrop_;
            unanswered_.push_back(std::move(reply));
        } else {
            answer(*reply, 200, json { { "offset", offset }, { "end-offset", partition.end() } }.dump());
        }
        answerWaitingReads(id);
    }

    static void addRecords(Partition& partition, const std::string& body)
    {
        std::size_t at = 0;
        while (at + lengthBytes < body.size()) {
            std::size_t length = decodeBigEndian(body, at, lengthBytes);
            at += lengthBytes;
            std::size_t keyLength = decodeBigEndian(body, at, 1);
            partition.add(
                body.substr(at + 1, keyLength), body.substr(at + 1 + keyLength, length - 1 - keyLength));
            at += length;
        }
    }

    void read(
        const PartitionId& id, const std::string& target, std::shared_ptr<FrontReply> reply, const View* view)
    {
        const Partition& partition = partitions_[id];
        std::uint64_t from = queryNumber(target, "from");
        if (from < partition.first_)
            return answer(*reply, 410, json { { "first-offset", partition.first_ } }.dump());
        std::uint64_t wait = queryNumber(target, "wait-ms");
        std::uint64_t maxKb = queryNumber(target, "max-kb");
        std::size_t maxBytes = (maxKb > 0 ? maxKb : defaultReadKb) * bytesPerKb;
        if (from >= partition.end() && wait > 0) {
            waitingReads_.push_back(
                { id, from, maxBytes, bootNow() + Milliseconds { wait }, std::move(reply), view });
            return;
        }
        answerRead(id, from, maxBytes, *reply, *view);
    }

    void answerRead(
        const PartitionId& id, std::uint64_t from, std::size_t maxBytes, FrontReply& reply, const View& view)
    {
        const Partition& partition = partitions_[id];
        std::string body
            = encodeBigEndian(partition.end(), offsetBytes) + encodeBigEndian(partition.first_, offsetBytes);
        for (std::uint64_t at = from; at < partition.end() && body.size() < maxBytes; ++at) {
            const Record& record = partition.records_[at - partition.first_];
            std::string value = record.value_.empty() ? std::string() : view(id.first, record.value_);
            body += encodeBigEndian(1 + record.key_.size() + value.size(), lengthBytes);
            body += encodeBigEndian(record.key_.size(), 1) + record.key_ + value;
        }
        answer(reply, 200, body);
    }

    void readNewest(const PartitionId& id, const std::string& target, FrontReply& reply, const View& view)
    {
        const Partition& partition = partitions_[id];
        json items = json::array();
        std::string after = queryValue(target, "after");
        auto at = after.empty() ? partition.newest_.begin() : partition.newest_.upper_bound(after);
        std::size_t bytes = 0;
        for (; at != partition.newest_.end() && items.size() < pageSize && bytes < pageBytes; ++at) {
            items.push_back({ { "key", at->first }, { "value", toBase64(view(id.first, at->second.second)) },
                { "offset", at->second.first } });
            bytes += at->second.second.size();
        }
        bool hasMore = at != partition.newest_.end();
        answer(reply, 200,
            json { { "items", items }, { "has-more", hasMore }, { "end-offset", partition.end() } }.dump());
    }

    void answerWaitingReads(const PartitionId& id)
    {
        auto waiting = std::move(waitingReads_);
        waitingReads_.clear();
        for (WaitingRead& entry : waiting) {
            if (entry.partition_ == id)
                answerRead(id, entry.from_, entry.maxBytes_, *entry.reply_, *entry.view_);
            else
                waitingReads_.push_back(std::move(entry));
        }
    }
};

PlatformStore::PlatformStore(asio::io_context& io)
    : impl_(std::make_shared<Impl>(io))
{
}

PlatformStore::~PlatformStore() = default;

std::uint16_t PlatformStore::port() const { return impl_->servers_.front().front_->port(); }

std::uint16_t PlatformStore::addView(View view) { return impl_->addServer(std::move(view)); }

StoreFaults& PlatformStore::faults() { return impl_->faults_; }

StoreFaults& PlatformStore::faultsAt(std::uint16_t port)
{
    for (Impl::Server& server : impl_->servers_) {
        if (server.front_->port() == port)
            return server.faults_;
    }
    throw std::logic_error("no server of the stand-in store has this port");
}

void PlatformStore::put(const std::string& topic, const std::string& key, const std::string& value)
{
    Impl::PartitionId id { topic, "0" };
    impl_->partitions_[id].add(key, value);
    impl_->answerWaitingReads(id);
}

void PlatformStore::compact(const std::string& topic)
{
    for (auto& [id, partition] : impl_->partitions_) {
        if (id.first != topic)
            continue;
        partition.first_ = partition.end();
        partition.records_.clear();
    }
}

void PlatformStore::compactAll()
{
    for (auto& [id, partition] : impl_->partitions_) {
        partition.first_ = partition.end();
        partition.records_.clear();
    }
}

std::uint16_t PlatformStore::lastWriterPort() const { return impl_->lastWriterPort_; }

std::map<std::string, std::string> PlatformStore::newest(const std::string& topic) const
{
    return newestOfAll(topic);
}

std::map<std::string, std::string> PlatformStore::newestOfAll(const std::string& topicPrefix) const
{
    std::map<std::string, std::string> all;
    for (const auto& [id, partition] : impl_->partitions_) {
        if (id.first.rfind(topicPrefix, 0) != 0)
            continue;
        for (const auto& [key, entry] : partition.newest_)
            all[key] = entry.second;
    }
    return all;
}

std::uint64_t PlatformStore::appends() const { return impl_->appends_; }

void PlatformStore::tick(MonotonicTime now)
{
    auto waiting = std::move(impl_->waitingReads_);
    impl_->waitingReads_.clear();
    for (Impl::WaitingRead& entry : waiting) {
        if (now >= entry.deadline_)
            impl_->answerRead(entry.partition_, entry.from_, entry.maxBytes_, *entry.reply_, *entry.view_);
        else
            impl_->waitingReads_.push_back(std::move(entry));
    }
    for (auto& server : impl_->servers_)
        server.front_->tick(now);
}

} // namespace fescue::standin
