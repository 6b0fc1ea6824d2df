#include "CborMessage.h"

#include "BoundedJson.h"

namespace fescue {

using nlohmann::json;

namespace {

    // Stops parsing at the first array or object that is nested too deep.
    class DepthCheck final : public nlohmann::json_sax<json> {
    public:
        bool start_array(std::size_t) override { return enter(); }
        bool start_object(std::size_t) override { return enter(); }
        bool end_array() override { return leave(); }
        bool end_object() override { return leave(); }
        bool null() override { return true; }
        bool boolean(bool) override { return true; }
        bool number_integer(number_integer_t) override { return true; }
        bool number_unsigned(number_unsigned_t) override { return true; }
        bool number_float(number_float_t, const string_t&) override { return true; }
        bool string(string_t&) override { return true; }
        bool binary(binary_t&) override { return true; }
        bool key(string_t&) override { return true; }
        bool parse_error(std::size_t, const std::string&, const json::exception&) override { return false; }

    private:
        bool enter() { return ++depth_ <= maxJsonDepth; }
        bool leave()
        {
            --depth_;
            return true;
        }

        int depth_ = 0;
    };

    // The library's decoder calls itself for each level.
    bool isTooDeep(const std::string& bytes)
    {
        DepthCheck check;
        return bytes.size() >= uncheckedJsonBytes
            && !json::sax_parse(bytes, &check, json::input_format_t::cbor);
    }

} // namespace

std::string toCborMessage(const json& document)
{
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

std::optional<json> parseCborMessage(const std::string& bytes)
{
    if (isTooDeep(bytes))
        return std::nullopt;
    // Even without exceptions, the library throws if an array or object claims to exceed the address space.
    try {
        json document = json::from_cbor(bytes, true, false);
        if (!document.is_discarded())
            return document;
    } catch (const json::out_of_range&) {
    }
    return std::nullopt;
}

std::optional<json> parseCborArray(const std::string& bytes, std::size_t count)
{
    auto document = parseCborMessage(bytes);
    if (document && (!document->is_array() || document->size() != count))
        document.reset();
    return document;
}

bool areNonNegativeIntegers(const json& fields, std::size_t from, std::size_t to)
{
    for (std::size_t i = from; i < to; ++i) {
        if (!fields[i].is_number_integer() || fields[i].get<std::int64_t>() < 0)
            return false;
    }
    return true;
}

bool areStrings(const json& fields, std::size_t from, std::size_t to)
{
    for (std::size_t i = from; i < to; ++i) {
        if (!fields[i].is_string())
            return false;
    }
    return true;
}

} // namespace fescue
